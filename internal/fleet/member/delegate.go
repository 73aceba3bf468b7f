package member

import (
	"fmt"
	"io"
	"strings"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
)

// broadcast is a message in memberlist's queue of broadcasts.
type broadcast []byte

func (n broadcast) Invalidates(memberlist.Broadcast) bool { return false }

func (n broadcast) Message() []byte { return n }

func (n broadcast) Finished() {}

// The methods that memberlist calls.

// NodeMeta returns this gateway's encoded metadata.
func (t *Transport) NodeMeta(limit int) []byte {
	b, err := msgpack.Marshal(t.metadata.Load())
	if err != nil || len(b) > limit {
		t.reportOnce(fmt.Sprintf("metadata of %d bytes is too large to be sent", len(b)))
		return nil
	}
	return b
}

// NotifyMsg handles a broadcast message from another gateway.
func (t *Transport) NotifyMsg(b []byte) {
	if len(b) > maxBroadcast {
		return
	}
	t.handler.Broadcast(append([]byte(nil), b...))
}

// GetBroadcasts returns the queued broadcasts that fit into the next datagram.
func (t *Transport) GetBroadcasts(overhead, limit int) [][]byte {
	return t.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns the state that this gateway sends in an exchange with another one.
func (t *Transport) LocalState(bool) []byte {
	b := t.handler.LocalState()
	if len(b) > maxState {
		t.reportOnce(fmt.Sprintf("state of %d bytes is too large to be sent", len(b)))
		return nil
	}
	return b
}

// MergeRemoteState handles the state that another gateway has sent in an exchange.
func (t *Transport) MergeRemoteState(b []byte, _ bool) {
	switch {
	case len(b) == 0:
	case len(b) > maxState:
		t.reportOnce(fmt.Sprintf("state of %d bytes from another gateway is too large and is ignored", len(b)))
	default:
		t.handler.RemoteState(append([]byte(nil), b...))
	}
}

// event reports an observation of a gateway to the handler. If detected is Joining, the gateway is alive, and the state that it
// announces is reported; otherwise detected is reported.
func (t *Transport) event(n *memberlist.Node, detected State) {
	metadata, err := metadataOf(n)
	if err != nil {
		t.reportOnce(err.Error())
		return
	}
	t.setRoute(metadata.Name, route{n.Address(), detected == Joining})
	e := Event{Metadata: metadata, State: metadata.State}
	if detected != Joining {
		e.State = detected
	}
	t.handler.Event(e)
}

// metadataOf decodes and checks the metadata of a memberlist node.
func metadataOf(n *memberlist.Node) (c Metadata, err error) {
	if err := msgpack.Unmarshal(n.Meta, &c); err != nil {
		return c, fmt.Errorf("member: metadata of %s can't be decoded: %w", n.Name, err)
	}
	if c.Name != n.Name {
		return c, fmt.Errorf("member: metadata of %s has the name %s", n.Name, c.Name)
	}
	return c, c.Check()
}

// NotifyJoin handles that another gateway has joined.
func (t *Transport) NotifyJoin(n *memberlist.Node) { t.event(n, Joining) }

// NotifyUpdate handles that another gateway has changed its metadata.
func (t *Transport) NotifyUpdate(n *memberlist.Node) { t.event(n, Joining) }

// NotifyLeave handles that another gateway has left or has been declared dead.
func (t *Transport) NotifyLeave(n *memberlist.Node) {
	if c, err := metadataOf(n); err == nil && c.State == Draining { // announced before leaving; memberlist itself calls both cases a leave
		t.event(n, Left)
	} else {
		t.event(n, Gone)
	}
}

// NotifyConflict handles that two processes use one name at two addresses.
func (t *Transport) NotifyConflict(a, b *memberlist.Node) {
	for _, n := range []*memberlist.Node{a, b} {
		if n.Name == t.opts.Self.Name {
			t.event(n, Joining)
		}
	}
	t.reportOnce(fmt.Sprintf("two processes use the name %s: at %s and at %s", a.Name, a.Address(), b.Address()))
}

// NotifyAlive rejects a gateway whose metadata is invalid.
func (t *Transport) NotifyAlive(n *memberlist.Node) error {
	_, err := metadataOf(n)
	if err != nil {
		t.reportOnce(err.Error())
	}
	return err
}

// reportOnce reports a problem to the handler, unless it has been reported before.
func (t *Transport) reportOnce(what string) {
	if _, reported := t.reported.LoadOrStore(what, true); !reported {
		t.handler.ReportProblem(what)
	}
}

// logWriter receives memberlist's log. Its errors and warnings are logged at debug level, since most of them are about peers
// that are not reachable.
type logWriter struct{ t *Transport }

func (l *logWriter) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	switch {
	case strings.Contains(text, "label"): // the label of another fleet, or none
		l.t.reportOnce("a message of another fleet is not heard")
	case strings.HasPrefix(text, "[ERR]"), strings.HasPrefix(text, "[WARN]"):
		l.t.log.Debug(text)
	}
	return len(b), nil
}

var _ io.Writer = (*logWriter)(nil)
