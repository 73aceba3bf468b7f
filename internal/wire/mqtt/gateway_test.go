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

const testFunction = "7f3a9c21e0b4d655"

// testGateway is a gateway with the MQTT front, the real core and module, and a worker that subscribes. The front and the worker
// link each have a broker in memory.
type testGateway struct {
	*wiretest.World
	callBroker, workerBroker *broker
	front                    *Front
	core                     *core.Core
	link                     *Link
	incarnation              int            // number of the current one; start begins the next
	runs                     map[string]int // executions by key, or by payload for class "once"
	// Outcomes of calls: under "outcome " and the correlation as the client got them, under "record " and the key as recorded.
	records        map[string][]string
	perIncarnation map[string]int // recorded outcomes by incarnation and key
	client         *brokerClient  // publishes calls and receives their outcomes
	worker         *brokerClient
	ranAt          map[string]time.Duration // last execution, by key
	site           *settings.Site
	workerAnswer   []byte             // body of the worker's answers
	workerSilent   bool               // the worker runs calls but does not answer
	byKey          map[string]*Packet // last message that the worker got, by key
}

// brokerClient is a minimal client of a broker, for the client and the worker of the test.
type brokerClient struct {
	conn      sock.Conn
	parser    Parser
	onPublish func(*Packet)
	lastID    uint16
}

func (client *brokerClient) Data(b []byte) error { return client.parser.Feed(b, client.onPublish) }

func (client *brokerClient) Closed(error) { client.conn = nil }

func (g *testGateway) connectClient(b *broker, id string, onPublish func(*Packet), filters ...string) *brokerClient {
	client := &brokerClient{parser: Parser{MaxPacket: maxFormatPacket}}
	client.onPublish = func(p *Packet) {
		if p.Type == Publish {
			if p.ID > 0 {
				client.conn.Write(AppendPuback(nil, p.ID, Success))
			}
			onPublish(p)
		}
	}
	near, _ := g.Pair(client, func(c *wiretest.Conn) sock.Handler { return b.accept(c) })
	client.conn = near
	near.Write(AppendConnect(nil, id, true, 0, &Props{}))
	near.Write(AppendSubscribe(nil, 1, filters))
	g.Run()
	return client
}

func newTestGateway(t testing.TB) *testGateway { return newTestGatewayAt(t, wiretest.Site()) }

func newTestGatewayAt(t testing.TB, site *settings.Site) *testGateway {
	g := &testGateway{World: wiretest.New(t), site: site, callBroker: newBroker(), workerBroker: newBroker(), runs: map[string]int{},
		ranAt: map[string]time.Duration{}, records: map[string][]string{}, perIncarnation: map[string]int{}, byKey: map[string]*Packet{},
		workerAnswer: []byte("did it")}
	g.Listen("calls", func(c *wiretest.Conn) sock.Handler { return g.callBroker.accept(c) })
	g.Listen("jobs", func(c *wiretest.Conn) sock.Handler { return g.workerBroker.accept(c) })
	g.client = g.connectClient(g.callBroker, "client", func(p *Packet) {
		corr := string(p.Props.Correlation)
		g.records["outcome "+corr] = append(g.records["outcome "+corr], p.Props.Get("outcome"))
	}, "back/#")
	g.worker = g.connectClient(g.workerBroker, "worker", g.runCall, "w1/calls", "w1/calls/cancel")
	g.workerBroker.retained["w1/status"] = &Packet{Payload: []byte("ready")}
	g.start()
	return g
}

// runCall is the worker: it counts the execution and answers. Like all workers of the site it drops a repeated key for 8 s, since
// the module sends a keyed call again only within that time and zone.
func (g *testGateway) runCall(p *Packet) {
	if p.Topic != "w1/calls" {
		return
	}
	key := p.Props.Get("key")
	if p.Props.Get("class") == "once" { // workers don't drop repeated calls of this class
		g.runs[string(p.Payload)]++
	} else if at, ok := g.ranAt[key]; key == "" || !ok || g.Now()-at >= 8*time.Second {
		g.runs[key]++
		g.ranAt[key] = g.Now()
	}
	g.byKey[key] = p
	if !g.workerSilent {
		g.replyAsWorker(p, "ok")
	}
}

func (g *testGateway) replyAsWorker(p *Packet, outcome string) {
	g.worker.lastID++
	g.worker.conn.Write(AppendPublish(nil, &Message{Topic: p.Props.ResponseTopic, Payload: g.workerAnswer,
		Props: Props{Correlation: p.Props.Correlation, User: []Pair{{"outcome", outcome}, {"detail", "warm"}}}}, g.worker.lastID, 0))
}

// start starts a gateway that remembers nothing.
func (g *testGateway) start() {
	g.incarnation++
	site := g.site
	incarnation := g.incarnation
	observe := func(r core.Record) {
		if incarnation != g.incarnation {
			return // a deadline of a gateway that was killed
		}
		g.records["record "+r.Call.Key] = append(g.records["record "+r.Call.Key], r.Answer)
		g.perIncarnation[fmt.Sprint(incarnation, r.Call.Key)]++
	}
	onMembers := func(complete bool, members []core.Member) { g.core.ApplyList(complete, members) }
	g.link = NewLink(g.Loop, g, Options{Broker: "jobs", ClientID: "gw", KeepAlive: 20 * time.Second}, "answers/gw",
		[]Worker{{Name: Prefix + "w1", Topic: "w1/calls", StatusTopic: "w1/status"}}, site.Decide.Classes, uint64(g.incarnation), onMembers, g.Log())
	var err error
	if g.core, err = core.New(g.Loop, site.Decide, 7, g.link, observe, g.Log()); err != nil {
		g.T.Fatal(err)
	}
	g.link.SetReceiver(g.core)
	g.front = NewFront(g.Loop, g, g.core, site, Options{Broker: "calls", ClientID: "gw", Subscribe: []string{"call/#"},
		SessionExpiry: 300 * time.Second, KeepAlive: 20 * time.Second}, 400*time.Second, uint64(g.incarnation), observe, g.Log())
	g.link.Connect()
	g.front.Connect()
	g.Run()
}

// kill ends the gateway as SIGKILL does: its connections break and its memory is lost.
func (g *testGateway) kill() {
	g.front.session.stopped, g.link.session.stopped = true, true
	for _, c := range []sock.Conn{g.front.session.conn, g.link.session.conn} {
		if c != nil {
			c.Close()
		}
	}
	g.Run()
}

func (g *testGateway) publish(class, key, corr string, expiry uint32) {
	m := Message{Topic: "call/lift", Payload: []byte("go"), Props: Props{ResponseTopic: "back/client",
		Correlation: []byte(corr), Expiry: expiry, HasExpiry: expiry > 0,
		User: []Pair{{"class", class}, {"tenant", "a"}, {"function", testFunction}, {"key", key}}}}
	g.client.lastID++
	g.client.conn.Write(AppendPublish(nil, &m, g.client.lastID, 0))
	g.Run()
}

func (g *testGateway) wantRecords(what string, list ...string) {
	g.T.Helper()
	if got := g.records[what]; !slices.Equal(got, list) {
		g.T.Errorf("%s: %q, want %q", what, got, list)
	}
}

func (g *testGateway) wantRuns(key string, n int) {
	g.T.Helper()
	if g.runs[key] != n {
		g.T.Errorf("key %s ran %d times, want %d", key, g.runs[key], n)
	}
}
