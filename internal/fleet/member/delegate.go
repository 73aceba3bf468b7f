package member

import (
	"fmt"
	"io"
	"strings"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
)

// broadcast is a piece of news on its way.
type broadcast []byte

func (n broadcast) Invalidates(memberlist.Broadcast) bool { return false }

func (n broadcast) Message() []byte { return n }

func (n broadcast) Finished() {}

// What memberlist asks and tells.

// NodeMeta returns this gateway's card.
func (t *Transport) NodeMeta(limit int) []byte {
	b, err := msgpack.Marshal(t.card.Load())
	if err != nil || len(b) > limit {
		t.trouble(fmt.Sprintf("a card of %d bytes is not told", len(b)))
		return nil
	}
	return b
}

// NotifyMsg takes a piece of news.
func (t *Transport) NotifyMsg(b []byte) {
	if len(b) > maxBroadcast {
		return
	}
	t.h.Broadcast(append([]byte(nil), b...))
}

// GetBroadcasts returns the news that goes with the next datagram.
func (t *Transport) GetBroadcasts(overhead, limit int) [][]byte {
	return t.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns what this gateway knows.
func (t *Transport) LocalState(bool) []byte {
	b := t.h.LocalState()
	if len(b) > maxState {
		t.trouble(fmt.Sprintf("what is known takes %d bytes and is not told", len(b)))
		return nil
	}
	return b
}

// MergeRemoteState takes what another one knows.
func (t *Transport) MergeRemoteState(b []byte, _ bool) {
	switch {
	case len(b) == 0:
	case len(b) > maxState:
		t.trouble(fmt.Sprintf("what another gateway knows takes %d bytes and is not heard", len(b)))
	default:
		t.h.RemoteState(append([]byte(nil), b...))
	}
}

func (t *Transport) event(n *memberlist.Node, found State) {
	c, err := cardOf(n)
	if err != nil {
		t.trouble(err.Error())
		return
	}
	t.addrs.Store(c.Name, route{n.Address(), found == Joining})
	e := Event{Card: c, State: c.State}
	if found != Joining {
		e.State = found
	}
	t.h.Event(e)
}

func cardOf(n *memberlist.Node) (c Metadata, err error) {
	if err := msgpack.Unmarshal(n.Meta, &c); err != nil {
		return c, fmt.Errorf("member: what %s says of itself is not understood: %w", n.Name, err)
	}
	if c.Name != n.Name {
		return c, fmt.Errorf("member: %s says that it is %s", n.Name, c.Name)
	}
	return c, c.Check()
}

// NotifyJoin takes that another gateway is there.
func (t *Transport) NotifyJoin(n *memberlist.Node) { t.event(n, Joining) }

// NotifyUpdate takes that another gateway tells something else of itself.
func (t *Transport) NotifyUpdate(n *memberlist.Node) { t.event(n, Joining) }

// NotifyLeave takes that another gateway has gone.
func (t *Transport) NotifyLeave(n *memberlist.Node) {
	if c, err := cardOf(n); err == nil && c.State == Draining { // it has said so before; memberlist does not tell the two apart here
		t.event(n, Left)
	} else {
		t.event(n, Gone)
	}
}

// NotifyConflict hears that two processes have one name at two addresses.
func (t *Transport) NotifyConflict(a, b *memberlist.Node) {
	for _, n := range []*memberlist.Node{a, b} {
		if n.Name == t.o.Self.Name {
			t.event(n, Joining)
		}
	}
	t.trouble(fmt.Sprintf("the name %s is at %s and at %s", a.Name, a.Address(), b.Address()))
}

// NotifyAlive refuses who can't be understood.
func (t *Transport) NotifyAlive(n *memberlist.Node) error {
	_, err := cardOf(n)
	if err != nil {
		t.trouble(err.Error())
	}
	return err
}

// trouble tells something once.
func (t *Transport) trouble(what string) {
	if _, told := t.said.LoadOrStore(what, true); !told {
		t.h.Trouble(what)
	}
}

// logWriter takes memberlist's own log. What it calls errors are mostly peers that are not there.
type logWriter struct{ t *Transport }

func (l *logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	switch {
	case strings.Contains(text, "label"): // another fleet, or nobody's
		l.t.trouble("a message of another fleet is not heard")
	case strings.HasPrefix(text, "[ERR]"), strings.HasPrefix(text, "[WARN]"):
		l.t.log.Debug(text)
	}
	return len(b), nil
}

var _ io.Writer = (*logWriter)(nil)
