package member

import (
	"flag"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"pgregory.net/rapid"

	"quillrail/internal/fleet/link"
)

// The fixed seed gives the same steps in each run; -rapid.seed on the command line sets another one.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

func metadata(name string, n, tag uint64) Metadata {
	return Metadata{Name: name, Incarnation: Incarnation{n, tag}, Major: Major, Minor: Minor}
}

// A new incarnation is later than every known one of its name. With an empty disk it is not before the clock either; if the clock
// was stepped back, the incarnation observed by others still counts.
func TestNextIncarnationIsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored, observed := rapid.Uint64Range(0, 9).Draw(t, "stored"), rapid.Uint64Range(0, 9).Draw(t, "heard")
		clock := time.Duration(rapid.Int64Range(-5, 20).Draw(t, "ms")) * time.Millisecond
		l := Next(stored, observed, clock, 1)
		if l.Number <= stored || l.Number <= observed || stored == 0 && int64(l.Number) < clock.Milliseconds() {
			t.Fatalf("after %d stored and %d observed, at %v: %v", stored, observed, clock, l)
		}
	})
}

// A process that was mistaken for an earlier one continues under a later number, but neither under a lower one, nor after a later
// process of its name has been observed.
func TestRenumberOnlyToLaterNumber(t *testing.T) {
	v := NewView(metadata("me", 5, 5), 0)
	if v.Renumber(Incarnation{4, 5}) || v.Renumber(Incarnation{5, 5}) || v.Self().Incarnation.Number != 5 {
		t.Errorf("continues under %v, which is not later", v.Self().Incarnation)
	}
	if !v.Renumber(Incarnation{9, 5}) || v.Self().Incarnation.Number != 9 {
		t.Errorf("does not continue under a later number: %v", v.Self().Incarnation)
	}
	v.Observe(Event{metadata("me", 12, 6), Serving})
	if v.Renumber(Incarnation{20, 5}) || v.MayAct() {
		t.Error("continues although a later process exists")
	}
}

// The view matches a reference model: of each name the latest incarnation counts, and of that the last event.
func TestViewAgainstReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(metadata("me", 5, 5), 0)
		latest, state := map[string]Incarnation{}, map[string]State{}
		for range 60 {
			name := rapid.SampledFrom([]string{"a", "b", "me"}).Draw(t, "name")
			c := metadata(name, rapid.Uint64Range(1, 8).Draw(t, "n"), rapid.Uint64Range(4, 6).Draw(t, "tag"))
			s := State(rapid.IntRange(0, int(Left)).Draw(t, "state"))
			what := v.Observe(Event{c, s})
			d := c.Incarnation.Compare(Incarnation{5, 5})
			if name == "me" {
				want := map[bool]Transition{true: Superseded, false: DuplicateName}[d > 0]
				if d == 0 || s >= Suspected {
					want = Nothing
				}
				if what != want || what == Superseded && v.MayAct() {
					t.Fatalf("%v %v: %v", c, s, what)
				}
				continue
			}
			if c.Incarnation.Compare(latest[name]) < 0 {
				if what != Stale {
					t.Fatalf("event of an earlier incarnation: %v, want Stale", what)
				}
				continue
			}
			latest[name], state[name] = c.Incarnation, s
			if v.LatestIncarnation(name) != c.Incarnation.Number {
				t.Fatalf("latest incarnation is %d after %v", v.LatestIncarnation(name), c)
			}
		}
		alive := 1
		for _, s := range state {
			if s < Suspected {
				alive++
			}
		}
		if v.Alive() != alive {
			t.Fatalf("%d alive, want %d", v.Alive(), alive)
		}
	})
}

// A process that was paused must not act on shared state until a peer has answered.
func TestPausedProcessMayNotActUntilConfirmed(t *testing.T) {
	v := NewView(metadata("me", 1, 1), 0)
	v.Observe(Event{metadata("a", 1, 1), Serving})
	if !v.Heartbeat(time.Second) || !v.MayAct() {
		t.Error("one second is taken for a pause")
	}
	if v.Heartbeat(time.Second+pauseLimit+1) || v.MayAct() {
		t.Error("the pause is not detected")
	}
	if v.Heartbeat(time.Second + pauseLimit + 2); v.MayAct() {
		t.Error("may act after a further heartbeat, without an answer")
	}
	if v.ConfirmContact(); !v.MayAct() {
		t.Error("may not act although a peer has answered")
	}
}

func TestMetadataCheckRejectsInvalid(t *testing.T) {
	for i, c := range []Metadata{{}, metadata("", 1, 1), metadata("a", 0, 1), {Name: "a", Incarnation: Incarnation{1, 1}, Major: Major + 1},
		{Name: "a", Incarnation: Incarnation{1, 1}, Major: Major, State: Gone}} {
		if c.Check() == nil {
			t.Errorf("metadata %d is accepted", i)
		}
	}
}

// recorder is a Handler that records what a transport reports, and signals on changed.
type recorder struct {
	mu         sync.Mutex
	events     []Event
	states     []string
	messages   []string
	problems   []string
	localState string
	changed    chan struct{}
}

func (e *recorder) note(f func()) {
	e.mu.Lock()
	f()
	e.mu.Unlock()
	select {
	case e.changed <- struct{}{}:
	default:
	}
}
func (e *recorder) Event(x Event)        { e.note(func() { e.events = append(e.events, x) }) }
func (e *recorder) RemoteState(b []byte) { e.note(func() { e.states = append(e.states, string(b)) }) }
func (e *recorder) Broadcast(b []byte)   { e.note(func() { e.messages = append(e.messages, string(b)) }) }
func (e *recorder) ReportProblem(what string) {
	e.note(func() { e.problems = append(e.problems, what) })
}
func (e *recorder) LocalState() []byte { return []byte(e.localState) }
func (e *recorder) Message(from link.Hello, m link.Message, done func()) {
	e.note(func() { e.messages = append(e.messages, from.Name+" "+m.Part+" "+string(m.Body)) })
	done()
}

// waitFor waits until seen returns true.
func (e *recorder) waitFor(t *testing.T, what string, seen func() bool) {
	t.Helper()
	late := time.After(20 * time.Second)
	for {
		e.mu.Lock()
		ok := seen()
		e.mu.Unlock()
		if ok {
			return
		}
		select {
		case <-e.changed:
		case <-late:
			t.Fatalf("not reported within 20 s: %s; %+v", what, e)
		}
	}
}

// freeAddr returns an address that is free for datagrams and connections. It is in a part of loopback that only this process
// uses: at 127.0.0.1 a connection of another process could take the port before it is bound.
func freeAddr(t *testing.T) string {
	own := net.IPv4(127, 100, byte(os.Getpid()>>8), byte(os.Getpid()))
	l, err := net.Listen("tcp", net.JoinHostPort(own.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func openTransport(t *testing.T, fleet, bind string, self Metadata, seeds ...string) (*Transport, *recorder) {
	t.Helper()
	rec := &recorder{localState: "state of " + self.Name, changed: make(chan struct{}, 1)}
	transport, err := Open(Options{Fleet: fleet, Bind: bind, Seeds: seeds, Self: self}, rec, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return transport, rec
}

// Gateways join, exchange their states at once, pass on broadcasts and messages, and notice one that leaves. A gateway of another
// fleet can't join and is reported.
func TestTransportJoinsSyncsAndLeaves(t *testing.T) {
	a, b := freeAddr(t), freeAddr(t)
	transportA, recorderA := openTransport(t, "one", a, metadata("a", 1, 1), a)
	defer transportA.Close(false)
	transportB, recorderB := openTransport(t, "one", b, metadata("b", 1, 1), a, b)
	if transportB.Join(10*time.Second) != 1 {
		t.Fatal("the seed has not answered")
	}
	recorderA.waitFor(t, "b's metadata", func() bool {
		return slices.ContainsFunc(recorderA.events, func(e Event) bool { return e.Metadata.Name == "b" })
	})
	recorderA.waitFor(t, "b's state", func() bool { return len(recorderA.states) > 0 && recorderA.states[0] == "state of b" })
	recorderB.waitFor(t, "a's state", func() bool { return len(recorderB.states) > 0 && recorderB.states[0] == "state of a" })
	if !transportA.Broadcast([]byte("update")) {
		t.Error("no room for a broadcast")
	}
	recorderB.waitFor(t, "the broadcast", func() bool { return len(recorderB.messages) > 0 && recorderB.messages[0] == "update" })
	if !transportB.Send("a", link.Message{Part: "p", Body: []byte("hi")}) || transportB.Send("z", link.Message{}) {
		t.Error("a message to a known gateway is refused, or one to an unknown gateway is accepted")
	}
	recorderA.waitFor(t, "a message", func() bool { return slices.Contains(recorderA.messages, "b p hi") })
	if transportA.Broadcast(make([]byte, maxBroadcast+1)) || transportA.Dropped() != 1 {
		t.Error("a broadcast that does not fit into a datagram is not counted as dropped")
	}
	foreign, foreignRecorder := openTransport(t, "two", freeAddr(t), metadata("c", 1, 1), a)
	if foreign.Join(10*time.Second) != 0 || len(foreignRecorder.events) > 1 {
		t.Error("a gateway of another fleet has joined")
	}
	foreign.Close(false)
	recorderA.waitFor(t, "the gateway of another fleet", func() bool { return len(recorderA.problems) > 0 })
	transportB.Close(true)
	recorderA.waitFor(t, "b leaving", func() bool { return recorderA.events[len(recorderA.events)-1].State == Left })
}
