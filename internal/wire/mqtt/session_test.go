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

// A broker that is silent, or breaks the protocol, is left and tried again.
func TestSessionLeavesABadBroker(t *testing.T) {
	for _, say := range []string{"", "\x20\x02\x00\x00", "\x20\x03\x00\x87\x00", "\x00\x00", "\x20\x03\x00\x00\x00\x20\x03\x00\x00\x00"} {
		w := wiretest.New(t)
		var peers []*wiretest.Peer
		w.Listen("b", func(c *wiretest.Conn) sock.Handler {
			peers = append(peers, &wiretest.Peer{Conn: c})
			c.Write([]byte(say))
			return peers[len(peers)-1]
		})
		s := NewSession(w.Loop, w, Options{Broker: "b", ClientID: "x", KeepAlive: 4 * time.Second,
			Subscribe: []string{"t"}}, nil, nil, w.Log())
		s.Connect()
		w.Pass(30 * time.Second)
		if len(peers) < 2 || !peers[0].Over || s.Up() {
			t.Errorf("%q: %d connections, up %v", say, len(peers), s.Up())
		}
	}
}

// Until its session is up a link has no worker to offer, and says so at once.
func TestLinkWithoutSession(t *testing.T) {
	s := newStage(t)
	s.jobs.cut("gw")
	s.publish("read", "", "c1", 1)
	s.Pass(2 * time.Second)
	s.want("outcome c1", "served") // the session was back in time
	got := decide.Good
	l := NewLink(s.Loop, s, Options{Broker: "nowhere"}, "r", nil, 1, nil, s.Log())
	l.Serve(ends(func(how decide.Outcome) { got = how }))
	l.Send(core.Attempt{Host: Prefix + "w9", Call: &core.Call{}})
	if got != decide.NoConn {
		t.Errorf("outcome %d, want no connection", got)
	}
}

type ends func(decide.Outcome)

func (e ends) Ended(_ core.Ref, end core.AttemptResult) { e(end.Outcome) }

func (e ends) Probed(_ core.Ref, how decide.Outcome, _ *decide.Report) { e(how) }

func (e ends) Wrote(int) {}

func (e ends) Loaded(_ core.Ref, how decide.Outcome, _ int) { e(how) }

// locked lets the stand-in broker be used by the several I/O goroutines of real sockets.
type locked struct {
	mu *sync.Mutex
	h  sock.Handler
}

func (l locked) Data(b []byte) error { l.mu.Lock(); defer l.mu.Unlock(); return l.h.Data(b) }

func (l locked) Closed(err error) { l.mu.Lock(); defer l.mu.Unlock(); l.h.Closed(err) }

// echo is a core that serves each call at once, and counts.
type echo struct{ runs map[string]int }

func (e echo) Count(int, string) {}

func (e echo) Submit(c core.Call) core.Ref { e.runs[c.Key]++; c.Reply.Served(c.Body); return 0 }

// The front on loopback: a keyed call whose acknowledgement is lost is delivered again after the connection broke,
// and answered from memory.
func TestRedeliveryOnRealSockets(t *testing.T) {
	var mu sync.Mutex
	b := newBroker()
	b.holdAcks = true
	host, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 256, Accepted: 256}, func(c sock.Conn) sock.Handler { return locked{&mu, b.accept(c)} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer host.Stop()
	net, err := sock.Listen("", sock.Limits{Descriptors: 256, Accepted: 256}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer net.Stop()
	now := time.Hour // moved by the test, so that the backoff takes no time
	loop := core.NewLoop(func() time.Duration { return now })
	runs := echo{map[string]int{}}
	f := NewFront(loop, net, runs, wiretest.Site(), Options{Broker: host.Addr(), ClientID: "gw", Subscribe: []string{"call/#"},
		Expiry: time.Minute, KeepAlive: time.Hour}, time.Hour, 1, nil, zap.NewNop())
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
		User: []Pair{{"class", "command"}, {"tenant", "a"}, {"function", fn}, {"key", "k"}}}})
	mu.Unlock()
	until(func() bool { return len(b.published) == 1 && f.Waiting() == 0 })
	mu.Lock()
	b.cut("gw")
	mu.Unlock()
	until(func() bool { return !f.Up() })
	now += retryFirst
	loop.RunOnce() // the backoff is over
	until(func() bool { return len(b.published) == 2 && f.Waiting() == 0 })
	if runs.runs["k"] != 1 || b.published[1].Props.Get("outcome") != "served" || b.connects != 2 {
		t.Errorf("ran %v, %d connects, answers %+v", runs.runs, b.connects, b.published)
	}
}

// The time that a worker is told is what is left as the call is published, also where the broker takes no bytes for a while;
// a call whose time is over by then is not published at all.
func TestBudgetIsOfTheMomentOfPublishing(t *testing.T) {
	for wait, published := range map[time.Duration]bool{time.Second: true, 2500 * time.Millisecond: false} {
		s := newStage(t)
		conn := s.link.session.conn.(*wiretest.Conn)
		var budgets []string
		s.worker.got = func(p *Packet) {
			if p.Type == Publish && p.Topic == "w1/calls" {
				budgets = append(budgets, p.Props.Get("budget-ms"))
			}
		}
		conn.Slow = 1000
		s.link.Send(core.Attempt{Ref: 7, Host: Prefix + "w1", Deadline: s.Now() + 2*time.Second, Call: &core.Call{ID: "x"}})
		s.Pass(wait)
		s.Skip(150 * time.Millisecond) // the turn comes late as well
		conn.Flush()
		s.Run()
		want := 0
		if published {
			want = 1
		}
		if len(budgets) != want || published && budgets[0] != "850" {
			t.Errorf("after %v of 2 s: told %q", wait, budgets)
		}
	}
}
