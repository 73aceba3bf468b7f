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

// running starts a gateway on real sockets with a worker stand-in, and its turns with their timers.
func running(t *testing.T, sockets int, w *worker) *Gateway {
	t.Helper()
	far, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 64, Accepted: 64}, func(c sock.Conn) sock.Handler {
		return &worker{c, w.hold, w.came}
	}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(far.Stop)
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", far.Addr(), "%WORKER%", far.Addr(), `"sockets":1024`,
		fmt.Sprintf(`"sockets":%d`, sockets)).Replace(text)))
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

// request is a whole call under an id of its own.
func request(id int) string {
	return fmt.Sprintf("POST /do/00000000000000ff/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %016x\r\n"+
		"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id)
}

// Far more connections at once than there are places, a request on each and each kept open by its client: every request is
// answered, by the gateway or by the worker through it, and none is closed unanswered.
func TestCrowdOfConnections(t *testing.T) {
	const crowd, sockets = 200, 96
	open := make(chan struct{})
	close(open)
	g := running(t, sockets, &worker{hold: open})
	ends := make(chan error, crowd)
	stay := make(chan struct{})
	defer close(stay)
	for id := range crowd {
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				ends <- err
				return
			}
			_, err = io.WriteString(conn, request(id))
			if err == nil {
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
			}
			ends <- err
			<-stay
			conn.Close()
		}()
	}
	failed := 0
	for range crowd {
		if err := <-ends; err != nil {
			failed++
			t.Logf("no answer: %v", err)
		}
	}
	if failed > 0 {
		t.Errorf("%d of %d connections were closed with no answer", failed, crowd)
	}
}

// A client that ends its writing side only cannot be told from one that has closed its connection: nothing more is sent for
// it, what is out is given up, and its connection is closed. What it sent whole before is never answered by halves.
func TestHalfCloseCountsAsLeaving(t *testing.T) {
	w := &worker{hold: make(chan struct{}), came: make(chan string, 9)}
	g := running(t, 1024, w)
	conn, err := net.Dial("tcp", g.net.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	io.WriteString(conn, request(1))
	if first := <-w.came; !strings.HasPrefix(first, "CALL 0000000000000001 ") {
		t.Fatalf("the worker got %q", first)
	}
	conn.(*net.TCPConn).CloseWrite()
	if got, err := io.ReadAll(conn); len(got) != 0 || err != nil {
		t.Errorf("answered %q, %v", got, err)
	}
	if next := <-w.came; !strings.HasPrefix(next, "CANCEL 0000000000000001") {
		t.Errorf("the worker got %q after the client had left", next)
	}
	close(w.hold)
	opened := make(chan int)
	g.loop.Post(func() { opened <- g.core.InFlight() })
	if n := <-opened; n != 0 {
		t.Errorf("%d requests are open", n)
	}
}

// Workers that hang, a list that says nothing, and clients by the hundred that send garbage, half requests or nothing, or do not
// read, free nobody of an answer: each request sent whole beside them has one.
func TestTroubleElsewhereFreesNobodyOfAnAnswer(t *testing.T) {
	const asking, sockets, wait = 60, 96, 30 * time.Second
	w := &worker{hold: make(chan struct{})}
	defer close(w.hold)
	g := running(t, sockets, w)
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
		io.WriteString(conn, []string{"", "\x00\x01\r\n\r\n", request(n)[:40], strings.Repeat("GET /check HTTP/1.1\r\n\r\n", 5)}[n%4])
	}
	ends := make(chan error, asking)
	for id := range asking {
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				ends <- err
				return
			}
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(wait))
			io.WriteString(conn, strings.Replace(request(1000+id), "Wait-Ms: 4000", "Wait-Ms: 300", 1))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err == nil && resp.StatusCode < 500 {
				err = fmt.Errorf("answered %d by a worker that hangs", resp.StatusCode)
			}
			ends <- err
		}()
	}
	for range asking {
		if err := <-ends; err != nil {
			t.Errorf("a request has no answer: %v", err)
		}
	}
}
