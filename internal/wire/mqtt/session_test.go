package mqtt

import (
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// A session closes its connection to a broker that is silent or violates the protocol, and connects again.
func TestSessionReconnectsAfterBrokerFault(t *testing.T) {
	for _, input := range []string{"", "\x20\x02\x00\x00", "\x20\x03\x00\x87\x00", "\x00\x00", "\x20\x03\x00\x00\x00\x20\x03\x00\x00\x00"} {
		world := wiretest.New(t)
		var peers []*wiretest.Peer
		world.Listen("b", func(c *wiretest.Conn) sock.Handler {
			peers = append(peers, &wiretest.Peer{Conn: c})
			c.Write([]byte(input))
			return peers[len(peers)-1]
		})
		session := NewSession(world.Loop, world, Options{Broker: "b", ClientID: "x", KeepAlive: 4 * time.Second,
			Subscribe: []string{"t"}}, nil, nil, world.Log())
		session.Connect()
		world.Advance(30 * time.Second)
		if len(peers) < 2 || !peers[0].Ended || session.Up() {
			t.Errorf("%q: %d connections, up %v", input, len(peers), session.Up())
		}
	}
}

// A link whose session is not up has no worker to offer, and reports so at once.
func TestLinkWithoutSessionReportsNoConnection(t *testing.T) {
	gw := newTestGateway(t)
	gw.workerBroker.disconnect("gw")
	gw.publish("read", "", "c1", 1)
	gw.Advance(2 * time.Second)
	gw.wantRecords("outcome c1", "served") // the session was restored in time
	got := decide.Good
	l := NewLink(gw.Loop, gw, Options{Broker: "nowhere"}, "r", nil, nil, 1, nil, gw.Log())
	l.SetReceiver(outcomeFunc(func(outcome decide.Outcome) { got = outcome }))
	l.Send(core.Attempt{Host: Prefix + "w9", Call: &core.Call{}})
	if got != decide.NoConn {
		t.Errorf("outcome %d, want no connection", got)
	}
}

// outcomeFunc is a core.ResultHandler that is called with each outcome.
type outcomeFunc func(decide.Outcome)

func (e outcomeFunc) Ended(_ core.Ref, end core.AttemptResult) { e(end.Outcome) }

func (e outcomeFunc) Probed(_ core.Ref, outcome decide.Outcome, _ *decide.Report) { e(outcome) }

func (e outcomeFunc) Wrote(int) {}

func (e outcomeFunc) Loaded(_ core.Ref, outcome decide.Outcome, _ int) { e(outcome) }

// lockedHandler lets the fake broker be used by several I/O goroutines of real sockets.
type lockedHandler struct {
	mu *sync.Mutex
	h  sock.Handler
}

func (l lockedHandler) Data(b []byte) error { l.mu.Lock(); defer l.mu.Unlock(); return l.h.Data(b) }

func (l lockedHandler) Closed(err error) { l.mu.Lock(); defer l.mu.Unlock(); l.h.Closed(err) }

// echoCore serves each call at once with its own body, and counts executions by key.
type echoCore struct{ runs map[string]int }

func (e echoCore) Count(int, string) {}

func (e echoCore) Submit(c core.Call) core.Ref { e.runs[c.Key]++; c.Reply.Served(c.Body); return 0 }

// On real sockets, a keyed call whose acknowledgement is lost is delivered again after the connection broke, and is answered from
// memory.
func TestRedeliveryOnRealSockets(t *testing.T) {
	var mu sync.Mutex
	b := newBroker()
	b.dropAcks = true
	brokerNet, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 256, Accepted: 256},
		func(c sock.Conn) sock.Handler { return lockedHandler{&mu, b.accept(c)} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer brokerNet.Stop()
	clientNet, err := sock.Listen("", sock.Limits{Descriptors: 256, Accepted: 256}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer clientNet.Stop()
	now := time.Hour // advanced by the test, so that it need not wait for the backoff
	loop := core.NewLoop(func() time.Duration { return now })
	runs := echoCore{map[string]int{}}
	f := NewFront(loop, clientNet, runs, wiretest.Site(), Options{Broker: brokerNet.Addr(), ClientID: "gw", Subscribe: []string{"call/#"},
		SessionExpiry: time.Minute, KeepAlive: time.Hour}, time.Hour, 1, nil, zap.NewNop())
	f.Connect()
	until := func(what func() bool) {
		for {
			mu.Lock()
			done := what()
			mu.Unlock()
			if done {
				return
			}
			loop.Wait()
			loop.RunOnce()
		}
	}
	until(func() bool { return f.Up() && len(b.sessions["gw"].filters) > 0 })
	mu.Lock()
	b.publish(Message{Topic: "call/x", Payload: []byte("hi"), Props: Props{ResponseTopic: "back", Correlation: []byte("c"),
		User: []Pair{{"class", "command"}, {"tenant", "a"}, {"function", testFunction}, {"key", "k"}}}})
	mu.Unlock()
	until(func() bool { return len(b.published) == 1 && f.Waiting() == 0 })
	mu.Lock()
	b.disconnect("gw")
	mu.Unlock()
	until(func() bool { return !f.Up() })
	now += minBackoff
	loop.RunOnce() // the backoff has expired
	until(func() bool { return len(b.published) == 2 && f.Waiting() == 0 })
	if runs.runs["k"] != 1 || b.published[1].Props.Get("outcome") != "served" || b.connects != 2 {
		t.Errorf("ran %v, %d connects, answers %+v", runs.runs, b.connects, b.published)
	}
}

// The budget sent to a worker is what is left when the call is published, also if the broker reads nothing for a while. A call
// without budget left by then is not published at all.
func TestBudgetIsComputedWhenPublished(t *testing.T) {
	for wait, published := range map[time.Duration]bool{time.Second: true, 2500 * time.Millisecond: false} {
		gw := newTestGateway(t)
		conn := gw.link.session.conn.(*wiretest.Conn)
		var budgets []string
		gw.worker.onPublish = func(p *Packet) {
			if p.Type == Publish && p.Topic == "w1/calls" {
				budgets = append(budgets, p.Props.Get("budget-ms"))
			}
		}
		conn.UnsentBytes = 1000
		gw.link.Send(core.Attempt{Ref: 7, Host: Prefix + "w1", Deadline: gw.Now() + 2*time.Second, Call: &core.Call{ID: "x"}})
		gw.Advance(wait)
		gw.Stall(150 * time.Millisecond) // the event loop runs late as well
		conn.Flush()
		gw.Run()
		want := 0
		if published {
			want = 1
		}
		if len(budgets) != want || published && budgets[0] != "850" {
			t.Errorf("flushed %v after Send, with 2 s to the deadline: budgets %q", wait, budgets)
		}
	}
}
