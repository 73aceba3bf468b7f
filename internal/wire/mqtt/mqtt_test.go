package mqtt

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

const fn = "7f3a9c21e0b4d655"

// stage is a gateway with the MQTT front, the real core and module, and workers that subscribe, between two
// stand-in brokers in memory.
type stage struct {
	*wiretest.World
	calls, jobs *broker
	front       *Front
	core        *core.Core
	link        *Link
	life        int
	runs        map[string]int // executions by key
	records     map[string][]string
	perLife     map[string]int // outcomes by life and key
	client      *end           // publishes calls, gets outcomes
	worker      *end
	ranAt       map[string]time.Duration
	site        *settings.Site
	mute        bool // the worker runs calls but does not answer
	byID        map[string]*Packet
}

// end is a bare client of a broker, for the test's own sides.
type end struct {
	conn   sock.Conn
	parser Parser
	got    func(*Packet)
	next   uint16
}

func (e *end) Data(b []byte) error { return e.parser.Feed(b, e.got) }
func (e *end) Closed(error)        { e.conn = nil }

func (s *stage) join(b *broker, id string, got func(*Packet), filters ...string) *end {
	e := &end{}
	e.got = func(p *Packet) {
		if p.Type == Publish {
			if p.ID > 0 {
				e.conn.Write(AppendPuback(nil, p.ID, Success))
			}
			got(p)
		}
	}
	near, _ := s.Pair(e, func(c *wiretest.Conn) sock.Handler { return b.accept(c) })
	e.conn = near
	near.Write(AppendConnect(nil, id, true, 0, &Props{}))
	near.Write(AppendSubscribe(nil, 1, filters))
	s.Run()
	return e
}

func newStage(t testing.TB) *stage { return newStageAt(t, wiretest.Site()) }

func newStageAt(t testing.TB, site *settings.Site) *stage {
	s := &stage{World: wiretest.New(t), site: site, calls: newBroker(), jobs: newBroker(), runs: map[string]int{},
		ranAt: map[string]time.Duration{}, records: map[string][]string{}, perLife: map[string]int{}, byID: map[string]*Packet{}}
	s.Listen("calls", func(c *wiretest.Conn) sock.Handler { return s.calls.accept(c) })
	s.Listen("jobs", func(c *wiretest.Conn) sock.Handler { return s.jobs.accept(c) })
	s.client = s.join(s.calls, "client", func(p *Packet) {
		corr := string(p.Props.Correlation)
		s.records["outcome "+corr] = append(s.records["outcome "+corr], p.Props.Get("outcome"))
	}, "back/#")
	s.worker = s.join(s.jobs, "worker", s.work, "w1/calls", "w1/calls/cancel")
	s.jobs.retained["w1/status"] = &Packet{Payload: []byte("ready")}
	s.start()
	return s
}

// work is the worker: it counts the execution and answers. As all workers of the site do, it drops the repeat of
// a key for 8 s: the module sends a keyed call again within that time and hall only.
func (s *stage) work(p *Packet) {
	if p.Topic != "w1/calls" {
		return
	}
	key := p.Props.Get("key")
	if p.Props.Get("class") == "once" { // nothing is dropped there
		s.runs[string(p.Payload)]++
	} else if at, ok := s.ranAt[key]; key == "" || !ok || s.Now()-at >= 8*time.Second {
		s.runs[key]++
		s.ranAt[key] = s.Now()
	}
	s.byID[key] = p
	if !s.mute {
		s.reply(p, "ok")
	}
}

func (s *stage) reply(p *Packet, outcome string) {
	s.worker.next++
	s.worker.conn.Write(AppendPublish(nil, &Message{Topic: p.Props.ResponseTopic, Payload: []byte("did it"),
		Props: Props{Correlation: p.Props.Correlation, User: []Pair{{"outcome", outcome}, {"detail", "warm"}}}}, s.worker.next, 0))
}

// start brings a gateway up that remembers nothing.
func (s *stage) start() {
	s.life++
	site := s.site
	life := s.life
	observe := func(r core.Record) {
		if life != s.life {
			return // deadlines of a gateway that is dead
		}
		s.records["record "+r.Call.Key] = append(s.records["record "+r.Call.Key], r.Answer)
		s.perLife[fmt.Sprint(life, r.Call.Key)]++
	}
	tell := func(whole bool, members []core.Member) { s.core.List(whole, members) }
	s.link = NewLink(s.Loop, s, Options{Broker: "jobs", ClientID: "gw", KeepAlive: 20 * time.Second}, "answers/gw",
		[]Worker{{Name: Prefix + "w1", Topic: "w1/calls", StatusTopic: "w1/status"}}, uint64(s.life), tell, s.Log())
	var err error
	if s.core, err = core.New(s.Loop, site.Decide, 7, s.link, observe, s.Log()); err != nil {
		s.T.Fatal(err)
	}
	s.link.Serve(s.core)
	s.front = NewFront(s.Loop, s, s.core, site, Options{Broker: "calls", ClientID: "gw", Subscribe: []string{"call/#"},
		Expiry: 300 * time.Second, KeepAlive: 20 * time.Second}, 400*time.Second, uint64(s.life), observe, s.Log())
	s.link.Connect()
	s.front.Connect()
	s.Run()
}

// kill ends the gateway as SIGKILL does: its connections break and its memory is gone.
func (s *stage) kill() {
	s.front.session.stopped, s.link.session.stopped = true, true
	for _, c := range []sock.Conn{s.front.session.conn, s.link.session.conn} {
		if c != nil {
			c.Close()
		}
	}
	s.Run()
}

func (s *stage) publish(class, key, corr string, expiry uint32) {
	m := Message{Topic: "call/lift", Payload: []byte("go"), Props: Props{ResponseTopic: "back/client",
		Correlation: []byte(corr), Expiry: expiry, HasExpiry: expiry > 0,
		User: []Pair{{"class", class}, {"tenant", "a"}, {"function", fn}, {"key", key}}}}
	s.client.next++
	s.client.conn.Write(AppendPublish(nil, &m, s.client.next, 0))
	s.Run()
}

func (s *stage) want(what string, list ...string) {
	s.T.Helper()
	if got := s.records[what]; !slices.Equal(got, list) {
		s.T.Errorf("%s: %q, want %q", what, got, list)
	}
}

func (s *stage) ran(key string, n int) {
	s.T.Helper()
	if s.runs[key] != n {
		s.T.Errorf("key %s ran %d times, want %d", key, s.runs[key], n)
	}
}

func TestCallIsServedOverMQTT(t *testing.T) {
	s := newStage(t)
	s.publish("command", "k1", "c1", 3)
	s.ran("k1", 1)
	s.want("outcome c1", "served")
	s.want("record k1", "served")
}

// A drained gateway refuses what is new and counts it, answers what it knows, goes on with what is open, and fails what
// may have run before it was started; resumed, it takes the same call.
func TestDrainOverMQTT(t *testing.T) {
	s := newStage(t)
	s.publish("command", "k1", "c1", 3)
	s.mute = true
	s.publish("command", "k2", "c2", 3)
	s.front.Drain()
	s.publish("command", "k1", "c1", 3)
	s.publish("command", "k3", "c3", 3)
	s.reply(s.byID["k2"], "ok")
	s.Run()
	s.want("outcome c1", "served", "served")
	s.want("outcome c2", "served")
	s.want("outcome c3", "refused")
	s.ran("k3", 0)
	if f := s.core.Figures(); f.Classes[1].Shed != 1 || f.Classes[1].OK != 2 || f.Active != 0 {
		t.Errorf("figures %+v", f)
	}
	s.front.Resume()
	s.mute = false
	s.publish("command", "k3", "c3", 3)
	s.want("outcome c3", "refused", "served")
	s.ran("k3", 1)
}

// A dropped session has the broker deliver a keyed call again, after its answer and while it is open.
func TestRedeliveryDoesNotRunAgain(t *testing.T) {
	s := newStage(t)
	s.calls.holdAcks = true
	s.publish("command", "k1", "c1", 3)
	s.calls.cut("gw")
	s.Pass(time.Second) // the session is resumed, and k1 comes again
	s.ran("k1", 1)
	s.want("outcome c1", "served", "served")
	s.mute = true
	s.publish("command", "k2", "c2", 3)
	s.calls.redeliver("gw") // joins the open call
	s.Run()
	s.ran("k2", 1)
	s.want("outcome c2")
	s.reply(s.byID["k2"], "ok")
	s.Run()
	s.want("record k2", "served")
	s.ran("k2", 1)
}

// The gateway dies with a keyed call out. The call was acknowledged before it was sent on, unless the
// acknowledgement was lost; then the new life must not run it.
func TestRestartedGatewayFailsWhatMayHaveRun(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newStage(t)
		s.mute, s.calls.holdAcks = true, lost
		s.publish("command", "k1", "c1", 3)
		s.kill()
		s.calls.holdAcks = false
		s.start()
		s.Pass(5 * time.Second)
		s.ran("k1", 1)
		if lost {
			s.want("outcome c1", "failed")
			s.want("record k1", "failed")
		} else {
			s.want("outcome c1")
		}
		s.mute = false
		s.publish("command", "k2", "c2", 3) // new keys are served as ever
		s.want("outcome c2", "served")
	}
}

// The acknowledgement leaves before the first attempt does, or a gateway that dies between them would have the
// broker deliver again what runs already.
func TestKeyedCallIsAcknowledgedBeforeItGoesOut(t *testing.T) {
	s := newStage(t)
	acked := -1
	work := s.worker.got
	s.worker.got = func(p *Packet) {
		if p.Type == Publish && acked < 0 {
			acked = len(s.calls.sessions["gw"].out)
		}
		work(p)
	}
	s.publish("command", "k1", "c1", 3)
	if acked != 0 {
		t.Errorf("%d messages unacknowledged when the worker got the call", acked)
	}
}

// A safe call is kept by the broker until its outcome: a gateway that dies is followed by one that runs it.
func TestSafeCallOutlivesAGateway(t *testing.T) {
	s := newStage(t)
	s.mute = true
	s.publish("read", "", "c1", 3)
	s.kill()
	s.mute = false
	s.start()
	s.Pass(time.Second)
	s.want("outcome c1", "served")
}

// Calls that must not run twice, between brokers that break connections and deliver again, a worker that errs, is
// silent, leaves and comes back, and a gateway that is killed and started anew. With the guard taken out, that is with
// the class told as one that may be repeated, the same play runs some of them twice.
func TestNeverTwiceOverMQTT(t *testing.T) {
	play := func(seed uint64, effect decide.Effect) (twice, ran int) {
		site := wiretest.Site()
		site.Classes = append(site.Classes, "once")
		site.Decide.Classes = append(site.Decide.Classes, decide.Class{Aim: time.Second, Deadline: 4 * time.Second, Worth: 5, Effect: effect})
		s, rng := newStageAt(t, site), rand.New(rand.NewPCG(seed, 4))
		s.worker.got = func(p *Packet) {
			if s.mute = rng.IntN(3) == 0; p.Type == Publish && p.Topic == "w1/calls" && !s.mute {
				if word := []string{"busy", "miss", "error", "ok", "ok", "ok"}[rng.IntN(6)]; word != "ok" {
					if s.reply(p, word); word == "error" {
						s.runs[string(p.Payload)]++
					}
					return
				}
			}
			s.work(p)
		}
		for n := range 150 {
			m := Message{Topic: "call/lift", Payload: fmt.Append(nil, "once ", n), Props: Props{ResponseTopic: "back/client",
				Correlation: fmt.Append(nil, n), Expiry: 3, HasExpiry: true, User: []Pair{{"class", "once"}, {"tenant", "a"}, {"function", fn}}}}
			s.client.next++
			s.client.conn.Write(AppendPublish(nil, &m, s.client.next, 0))
			s.Run()
			switch k := rng.IntN(24); k {
			case 0, 1:
				s.calls.cut("gw")
			case 2, 3:
				s.jobs.cut("gw")
			case 4, 5:
				s.calls.redeliver("gw")
			case 6:
				s.kill()
				s.start()
			case 7, 8:
				s.jobs.publish(Message{Topic: "w1/status", Payload: []byte([]string{"gone", "ready"}[k-7])})
			case 9, 10:
				s.calls.holdAcks = k == 9
			}
			s.Pass(time.Duration(rng.IntN(400)) * time.Millisecond)
		}
		s.Pass(10 * time.Second)
		for _, n := range s.runs {
			if ran += n; n > 1 {
				twice++
			}
		}
		return twice, ran
	}
	without := 0
	for seed := range uint64(12) {
		if twice, ran := play(seed, decide.Unsafe); twice > 0 || ran < 20 {
			t.Errorf("seed %d: %d of %d ran twice", seed, twice, ran)
		}
		twice, _ := play(seed, decide.Safe)
		without += twice
	}
	t.Logf("figures: seeds=12 twice=0 twice_without_guard=%d", without)
	if without < 12 {
		t.Errorf("without the guard only %d ran twice", without)
	}
}

// A client that vanishes, a worker that vanishes, a worker that never answers: one recorded outcome each.
func TestVanishedSubscribersStillGiveOneOutcome(t *testing.T) {
	s := newStage(t)
	s.mute = true
	s.publish("command", "k1", "c1", 2)
	s.client.conn.Close()
	s.Run()
	s.reply(s.byID["k1"], "ok")
	s.Pass(3 * time.Second)
	s.want("record k1", "served")

	s.client = s.join(s.calls, "client", func(p *Packet) {
		s.records["outcome "+string(p.Props.Correlation)] = []string{p.Props.Get("outcome")}
	}, "back/#")
	s.publish("command", "k2", "c2", 2)
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("gone")}) // its last will
	s.Pass(3 * time.Second)
	s.ran("k2", 1)
	s.want("record k2", "failed")

	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	s.Pass(20 * time.Second) // warm again
	s.publish("command", "k3", "c3", 2)
	s.Pass(3 * time.Second)
	s.want("record k3", "failed")
	s.want("outcome c3", "failed")
	s.reply(s.byID["k3"], "ok") // too late
	s.Run()
	s.want("record k3", "failed")
}

// Messages that can't be calls are failed and acknowledged, and never reach a worker; a refusal says when to
// come back, and the same key may then come again.
func TestBadCallsAndRefusals(t *testing.T) {
	s := newStage(t)
	s.publish("nonsense", "k1", "c1", 2)
	s.want("outcome c1", "failed")
	s.publish("command", "", "c2", 2)
	s.want("outcome c2", "failed")
	if len(s.runs) > 0 || len(s.calls.sessions["gw"].out) > 0 {
		t.Errorf("runs %v, unacknowledged %d", s.runs, len(s.calls.sessions["gw"].out))
	}
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("draining")})
	s.Run()
	s.publish("command", "k3", "c3", 2)
	s.Pass(3 * time.Second)
	s.want("outcome c3", "refused")
	s.jobs.publish(Message{Topic: "w1/status", Payload: []byte("ready")})
	s.Pass(20 * time.Second)
	s.publish("command", "k3", "c3", 2)
	s.ran("k3", 1)
	s.want("outcome c3", "refused", "served")
	s.publish("read", "k3", "c4", 2)
	s.publish("command", "k3", "c5", 2)
	s.want("outcome c5", "served")
}

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

// FuzzDelivery plays random steps (calls, redeliveries, cuts, restarts, lost acknowledgements, time) and checks
// the model: no key runs twice, and within one life of the gateway no call has two recorded outcomes.
func FuzzDelivery(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 0, 8, 1, 9})
	f.Add([]byte{6, 0, 0, 2, 3, 1, 5, 0, 4, 7, 7, 7})
	f.Add([]byte{7, 0, 5, 0, 5, 1, 5, 9, 9, 6, 0, 2, 8, 9})
	f.Fuzz(func(t *testing.T, steps []byte) {
		s := newStage(t)
		var keys []string
		for i, step := range steps[:min(len(steps), 40)] {
			switch step % 10 {
			case 0, 8:
				keys = append(keys, fmt.Sprint("k", i))
				s.publish("command", keys[len(keys)-1], fmt.Sprint("c", i), 1+uint32(step%4))
			case 1:
				s.publish("read", "", fmt.Sprint("c", i), 2)
			case 2:
				s.calls.cut("gw")
			case 3:
				s.jobs.cut("gw")
			case 4:
				s.calls.redeliver("gw")
			case 5:
				s.kill()
				s.start()
			case 6:
				s.calls.holdAcks = !s.calls.holdAcks
			case 7:
				s.mute = !s.mute
			case 9:
				s.Pass(700 * time.Millisecond)
			}
			s.Run()
		}
		s.calls.holdAcks = false
		s.Pass(15 * time.Second)
		for _, k := range keys {
			if s.runs[k] > 1 {
				t.Errorf("%s ran %d times", k, s.runs[k])
			}
			if n := len(s.records["record "+k]); n == 0 && s.life == 1 {
				t.Errorf("%s has no outcome", k)
			}
		}
		for k, n := range s.perLife {
			if n > 1 && strings.Contains(k, "k") { // safe calls have no key
				t.Errorf("%s has %d outcomes", k, n)
			}
		}
		if n := s.core.Open(); n > 0 {
			t.Errorf("%d calls still open", n)
		}
	})
}

// FuzzPackets feeds arbitrary bytes, cut anywhere, to the parser: it must not panic, and the cut must not matter.
func FuzzPackets(f *testing.F) {
	m := Message{Topic: "a/b", Payload: []byte("x"), Props: Props{ResponseTopic: "r", Correlation: []byte{1},
		User: []Pair{{"n", "v"}}, Expiry: 9, HasExpiry: true}}
	f.Add(AppendPuback(AppendPublish(nil, &m, 7, 8), 7, NoSubscribers), 3)
	f.Add(AppendConnect(nil, "id", true, 9, &Props{ReceiveMax: 3}), 1)
	f.Add(binary.BigEndian.AppendUint64([]byte{0x30, 0xff, 0xff, 0xff}, 1<<60), 2)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(cut, len(data)))
		var whole, parts []*Packet
		var p, q Parser
		err := p.Feed(data, func(x *Packet) { whole = append(whole, x) })
		if err2 := q.Feed(data[:cut], func(x *Packet) { parts = append(parts, x) }); err2 == nil {
			err2 = q.Feed(data[cut:], func(x *Packet) { parts = append(parts, x) })
			if (err == nil) != (err2 == nil) || len(whole) != len(parts) {
				t.Errorf("whole: %d, %v; cut at %d: %d, %v", len(whole), err, cut, len(parts), err2)
			}
		}
	})
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

func (e ends) Ended(_ core.Ref, end core.End)                          { e(end.How) }
func (e ends) Probed(_ core.Ref, how decide.Outcome, _ *decide.Report) { e(how) }
func (e ends) Wrote(int)                                               {}
func (e ends) Loaded(_ core.Ref, how decide.Outcome, _ int)            { e(how) }

// locked lets the stand-in broker be used by the several I/O goroutines of real sockets.
type locked struct {
	mu *sync.Mutex
	h  sock.Handler
}

func (l locked) Data(b []byte) error { l.mu.Lock(); defer l.mu.Unlock(); return l.h.Data(b) }
func (l locked) Closed(err error)    { l.mu.Lock(); defer l.mu.Unlock(); l.h.Closed(err) }

// echo is a core that serves each call at once, and counts.
type echo struct{ runs map[string]int }

func (e echo) Count(int, string)         {}
func (e echo) Take(c core.Call) core.Ref { e.runs[c.Key]++; c.Reply.Served(c.Body); return 0 }

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
			loop.Turn()
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
	loop.Turn() // the backoff is over
	until(func() bool { return len(b.published) == 2 && f.Waiting() == 0 })
	if runs.runs["k"] != 1 || b.published[1].Props.Get("outcome") != "served" || b.connects != 2 {
		t.Errorf("ran %v, %d connects, answers %+v", runs.runs, b.connects, b.published)
	}
}
