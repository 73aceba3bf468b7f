package lifecycle

import (
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/sock"
)

// stubSockets are the limits of the stand-ins.
var stubSockets = sock.Limits{Descriptors: 64, Accepted: 64}

// brokerStub is a broker on a real socket that acknowledges everything. Its one client is the gateway.
type brokerStub struct {
	t          *testing.T
	addr       string
	net        *sock.Net     // nil while the broker is away
	subscribed chan struct{} // receives each SUBSCRIBE
	outcomes   chan string   // receives the correlation data and the outcome of each message from the gateway
	mu         sync.Mutex
	conn       sock.Conn // of the process that subscribed last
}

// startBroker starts a broker that is stopped at the end of the test.
func startBroker(t *testing.T) *brokerStub {
	b := &brokerStub{t: t, addr: "127.0.0.1:0", subscribed: make(chan struct{}, 99), outcomes: make(chan string, 99)}
	b.open()
	t.Cleanup(b.close)
	return b
}

// open lets the broker be reached, at the same address as before if it has been closed.
func (b *brokerStub) open() {
	var err error
	b.net, err = sock.Listen(b.addr, stubSockets, func(c sock.Conn) sock.Handler { return &brokerStubConn{broker: b, conn: c} }, zap.NewNop())
	if err != nil {
		b.t.Fatal(err)
	}
	b.addr = b.net.Addr()
}

// close ends all connections, and the broker can't be reached until open.
func (b *brokerStub) close() {
	if b.net != nil {
		b.net.Stop()
		b.net = nil
	}
}

type brokerStubConn struct {
	broker *brokerStub
	conn   sock.Conn
	parser mqtt.Parser
}

func (c *brokerStubConn) Closed(error) {}
func (c *brokerStubConn) Data(b []byte) error {
	return c.parser.Feed(b, func(p *mqtt.Packet) {
		switch p.Type {
		case mqtt.Connect:
			c.conn.Write(mqtt.Append(nil, mqtt.Connack, 0, []byte{0, mqtt.Success, 0}))
		case mqtt.Subscribe:
			c.conn.Write(mqtt.Append(nil, mqtt.Suback, 0, []byte{p.Body[0], p.Body[1], 0, 1}))
			c.broker.mu.Lock()
			c.broker.conn = c.conn
			c.broker.mu.Unlock()
			c.broker.subscribed <- struct{}{}
		case mqtt.Publish:
			c.conn.Write(mqtt.AppendPuback(nil, p.ID, mqtt.Success))
			c.broker.outcomes <- string(p.Props.Correlation) + " " + p.Props.Get("outcome")
		}
	})
}

// deliver sends the gateway a call with a key, which is its correlation data as well, without the DUP flag.
func (b *brokerStub) deliver(id uint16, key string) {
	call := mqtt.Message{Topic: "t", Payload: []byte("go"), Props: mqtt.Props{ResponseTopic: "back", Correlation: []byte(key),
		User: []mqtt.Pair{{Name: "class", Value: "read"}, {Name: "tenant", Value: "a"}, {Name: "function", Value: "00000000000000ff"},
			{Name: "key", Value: key}}}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn.Write(mqtt.AppendPublish(nil, &call, id, 0))
}

// startWorker starts a worker that answers a call when it can receive from release.
func startWorker(t *testing.T) (worker *workerStub, addr string) {
	worker = &workerStub{release: make(chan struct{}), received: make(chan string, 99)}
	net, err := sock.Listen("127.0.0.1:0", stubSockets, func(c sock.Conn) sock.Handler {
		return &workerStub{conn: c, release: worker.release, received: worker.received}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(net.Stop)
	return worker, net.Addr()
}

// upgradableConfig returns the configuration of a gateway whose processes find each other, with a class of keyed calls that come by MQTT.
func upgradableConfig(t *testing.T, worker string, broker *brokerStub) *Config {
	conf, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", worker,
		`"idempotent"`, `"deduplicated"`, `"all"`, `"zone"`).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	conf.Extensions = &Extensions{Enabled: true}
	calls := &conf.Extensions.Calls
	calls.Broker, calls.ClientID, calls.Listen, calls.SessionExpiry, calls.KeepAlive = broker.addr, "c", []string{"t"}, 9, 9
	conf.StateDir = t.TempDir()
	return conf
}
