package member

import (
	"quillrail/internal/fleet/link"
)

// route is the address of a gateway, and whether the gateway is alive.
type route struct {
	addr  string
	alive bool
}

// setRoute stores the route of a gateway.
func (t *Transport) setRoute(name string, to route) {
	former, _ := t.routes.Swap(name, to)
	if known, ok := former.(route); ok && known.alive {
		t.alive.Add(-1)
	}
	if to.alive {
		t.alive.Add(1)
	}
}

// fleetSize returns how many gateways are alive, this one included. The queue of broadcasts calls it while it is locked, so it must not
// take the lock of memberlist's list, under which events are reported.
func (t *Transport) fleetSize() int { return max(1, int(t.alive.Load())) }

// aliveAddrs returns the addresses of the other gateways that are alive.
func (t *Transport) aliveAddrs() (addrs []string) {
	t.routes.Range(func(name, p any) bool {
		if target := p.(route); target.alive && name != t.opts.Self.Name {
			addrs = append(addrs, target.addr)
		}
		return true
	})
	return addrs
}

// Send queues a message for one gateway on the link to it. It returns false if the gateway is unknown or the queue is full.
func (t *Transport) Send(to string, m link.Message) bool {
	addr, ok := t.routes.Load(to)
	return ok && t.links.Send(addr.(route).addr, m)
}

// SendAll queues a message for each gateway that is alive, on the links. It is for messages that must not be late: gossip
// reaches all gateways eventually, but sometimes reaches one gateway of nine only after two seconds.
func (t *Transport) SendAll(m link.Message) {
	for _, addr := range t.aliveAddrs() {
		t.links.Send(addr, m)
	}
}

// Sync exchanges state with one gateway that is alive: it tries them one by one until one answers, and reports whether one has.
func (t *Transport) Sync() bool {
	for _, addr := range t.aliveAddrs() {
		if n, err := t.list.Join([]string{addr}); err == nil && n > 0 {
			return true
		}
	}
	return false
}
