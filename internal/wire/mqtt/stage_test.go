package mqtt

import (
	"fmt"
	"slices"
	"testing"
	"time"

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

func (e *end) Closed(error) { e.conn = nil }

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
	tell := func(whole bool, members []core.Member) { s.core.ApplyList(whole, members) }
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
