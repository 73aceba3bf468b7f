package lifecycle

import (
	"context"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/sock"
)

// brokerStub is a broker on a real socket that acknowledges everything. Its one client is the gateway.
type brokerStub struct {
	subscribed chan struct{} // receives each SUBSCRIBE
	outcomes   chan string   // receives the outcome of each message from the gateway
	mu         sync.Mutex
	conn       sock.Conn // of the process that subscribed last
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
			c.broker.outcomes <- p.Props.Get("outcome")
		}
	})
}

// deliver sends the gateway a call with a key, without the DUP flag.
func (b *brokerStub) deliver(id uint16) {
	call := mqtt.Message{Topic: "t", Payload: []byte("go"), Props: mqtt.Props{ResponseTopic: "back", Correlation: []byte("c"),
		User: []mqtt.Pair{{Name: "class", Value: "read"}, {Name: "tenant", Value: "a"}, {Name: "function", Value: "00000000000000ff"},
			{Name: "key", Value: "k"}}}}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conn.Write(mqtt.AppendPublish(nil, &call, id, 0))
}

// A call with a key that the broker delivers a second time after an upgrade, as a message of its own, must not run a second time.
func TestRedeliveredCallRunsOnceThroughUpgrade(t *testing.T) {
	limits := sock.Limits{Descriptors: 64, Accepted: 64}
	worker := workerStub{release: make(chan struct{}), received: make(chan string, 99)}
	close(worker.release) // it answers at once
	workers, err := sock.Listen("127.0.0.1:0", limits, func(c sock.Conn) sock.Handler {
		return &workerStub{conn: c, release: worker.release, received: worker.received}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Stop()
	broker := &brokerStub{subscribed: make(chan struct{}, 9), outcomes: make(chan string, 9)}
	brokerNet, err := sock.Listen("127.0.0.1:0", limits, func(c sock.Conn) sock.Handler {
		return &brokerStubConn{broker: broker, conn: c}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer brokerNet.Stop()
	conf, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", workers.Addr(),
		`"idempotent"`, `"deduplicated"`, `"all"`, `"zone"`).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	conf.Extensions = &Extensions{Enabled: true}
	calls := &conf.Extensions.Calls
	calls.Broker, calls.ClientID, calls.Listen, calls.SessionExpiry, calls.KeepAlive = brokerNet.Addr(), "c", []string{"t"}, 9, 9
	conf.StateDir = t.TempDir()
	start := func() (*Gateway, context.Context) {
		g, err := Start(conf, core.WallClock, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		run, end := context.WithCancel(context.Background())
		t.Cleanup(func() { end(); g.net.Stop() })
		g.done = end
		go g.loop.Run(run)
		return g, run
	}
	old, running := start()
	<-broker.subscribed
	broker.deliver(1)
	if got := <-broker.outcomes; got != "served" {
		t.Fatalf("the call was %s", got)
	}
	untilTrue(old, func() bool { return old.upgrade.server != nil })
	start()
	untilTrue(old, func() bool { return old.upgrade.successorReady })
	old.loop.Post(old.drain)
	<-running.Done()
	<-broker.subscribed // by the new process
	broker.deliver(2)
	if got := <-broker.outcomes; got != "served" {
		t.Errorf("the call that was delivered again was %s, want the outcome that it had", got)
	}
	runs := 0
	for len(worker.received) > 0 {
		if line := <-worker.received; strings.HasPrefix(line, "CALL ") {
			runs++
		}
	}
	if runs != 1 {
		t.Errorf("the call ran %d times, want once", runs)
	}
}
