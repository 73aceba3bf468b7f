package member

import (
	"quillrail/internal/fleet/link"
)

// route is where a gateway is reached, and whether it is there.
type route struct {
	addr  string
	there bool
}

// there are the addresses of the other gateways that are there.
func (t *Transport) there() (addrs []string) {
	t.addrs.Range(func(name, p any) bool {
		if p := p.(route); p.there && name != t.o.Self.Name {
			addrs = append(addrs, p.addr)
		}
		return true
	})
	return addrs
}

// Send has a message sent to one gateway, over the link to it. It reports whether there was room.
func (t *Transport) Send(to string, m link.Message) bool {
	addr, ok := t.addrs.Load(to)
	return ok && t.links.Send(addr.(route).addr, m)
}

// SendAll has a message sent to each of the others: for what must not be late. Gossip reaches all in the end, but one in
// nine only after two seconds now and then.
func (t *Transport) SendAll(m link.Message) {
	for _, addr := range t.there() {
		t.links.Send(addr, m)
	}
}

// Ask exchanges what is known with another gateway that is there. It reports whether one has answered.
func (t *Transport) Ask() bool {
	for _, addr := range t.there() {
		if n, err := t.list.Join([]string{addr}); err == nil && n > 0 {
			return true
		}
	}
	return false
}
