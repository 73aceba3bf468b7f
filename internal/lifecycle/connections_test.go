package lifecycle

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

// startOnSockets runs a gateway on real sockets, with a worker stub that behaves like w, and its event loop with real timers, until
// the test ends.
func startOnSockets(t *testing.T, sockets int, w *workerStub) *Gateway {
	t.Helper()
	stubServer, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 64, Accepted: 64}, func(c sock.Conn) sock.Handler {
		return &workerStub{c, w.release, w.received}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stubServer.Stop)
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", stubServer.Addr(), "%WORKER%", stubServer.Addr(), `"sockets":1024`,
		fmt.Sprintf(`"sockets":%d`, sockets)).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = &Extensions{}
	g, err := Start(c, core.WallClock, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); g.loop.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; g.net.Stop() })
	return g
}

// requestText returns a complete call with this request id.
func requestText(id int) string {
	return fmt.Sprintf("POST /do/00000000000000ff/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %016x\r\n"+
		"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id)
}

// Clients open far more connections at once than the gateway may hold, send a request on each, and leave them open. Each request is
// answered, by the worker or by a refusal of the gateway; no connection is closed without an answer.
func TestConnectionsBeyondLimitAreAllAnswered(t *testing.T) {
	const connections, sockets = 200, 96
	open := make(chan struct{})
	close(open)
	g := startOnSockets(t, sockets, &workerStub{release: open})
	ends := make(chan error, connections)
	stay := make(chan struct{})
	defer close(stay)
	for id := range connections {
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				ends <- err
				return
			}
			_, err = io.WriteString(conn, requestText(id))
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			}
			ends <- err
			<-stay
			conn.Close()
		}()
	}
	failed := 0
	for range connections {
		if err := <-ends; err != nil {
			failed++
			t.Logf("connection without an answer: %v", err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d connections were closed without an answer", failed, connections)
	}
}

// The gateway cannot distinguish a client that closes only its writing side from one that has closed the connection. It sends nothing
// more for this client, cancels its calls in flight and closes the connection. It never sends a partial answer.
func TestHalfCloseCancelsOpenCall(t *testing.T) {
	stub := &workerStub{release: make(chan struct{}), received: make(chan string, 9)}
	g := startOnSockets(t, 1024, stub)
	conn, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, requestText(1))
	if first := <-stub.received; !strings.HasPrefix(first, "CALL 0000000000000001 ") {
		t.Fatalf("the worker received %q, want the call", first)
	}
	conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(conn); len(got) != 0 || err != nil {
		t.Errorf("the client received %q, error %v, want nothing", got, err)
	}
	if next := <-stub.received; !strings.HasPrefix(next, "CANCEL 0000000000000001") {
		t.Errorf("the worker received %q after the client had left, want CANCEL", next)
	}
	close(stub.release)
	opened := make(chan int)
	g.loop.Post(func() { opened <- g.core.InFlight() })
	if n := <-opened; n != 0 {
		t.Errorf("%d requests are in flight, want none", n)
	}
}

// Each complete request is answered, although the workers hang, the bulletin sends nothing, and 200 other clients send garbage, partial
// requests or nothing, or don't read their answers.
func TestEveryRequestIsAnsweredDespiteFaultyPeers(t *testing.T) {
	const callers, sockets, wait = 60, 96, 30 * time.Second
	stub := &workerStub{release: make(chan struct{})}
	defer close(stub.release)
	g := startOnSockets(t, sockets, stub)
	var others []net.Conn
	defer func() {
		for _, c := range others {
			c.Close()
		}
	}()
	for n := range 200 {
		conn, err := net.Dial("tcp", g.net.Addr())
		if err != nil {
			t.Fatal(err)
		}
		others = append(others, conn)
		io.WriteString(conn, []string{"", "\x00\x01\r\n\r\n", requestText(n)[:40], strings.Repeat("GET /check HTTP/1.1\r\n\r\n", 5)}[n%4])
	}
	ends := make(chan error, callers)
	for id := range callers {
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				ends <- err
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(wait))
			io.WriteString(conn, strings.Replace(requestText(1000+id), "Wait-Ms: 4000", "Wait-Ms: 300", 1))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode < 500 {
				err = fmt.Errorf("status %d although the worker hangs, want 500 or above", resp.StatusCode)
			}
			ends <- err
		}()
	}
	for range callers {
		if err := <-ends; err != nil {
			t.Errorf("a request has no valid answer: %v", err)
		}
	}
}
