package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/wire/sock"
)

// The time for the last answers is derived from the deadlines of the classes. The platform sends SIGKILL 0.7 s after the longest one,
// which it counts as 3 s at most.
func TestDrainLimitFollowsClassDeadlines(t *testing.T) {
	for deadline, want := range map[string]time.Duration{"4": 3300 * time.Millisecond, "1.2": 1500 * time.Millisecond} {
		c, err := ParseConfig([]byte(strings.NewReplacer(`"deadline-s":4`, `"deadline-s":`+deadline, "%WORKER%", "127.0.0.1:2").
			Replace(configText)))
		if err != nil {
			t.Fatal(err)
		}
		if got := (&Gateway{conf: c}).drainLimit(); got != want {
			t.Errorf("deadline %s s: drain limit %v, want %v", deadline, got, want)
		}
	}
}

// workerStub is a worker on a real socket that answers every call once it can receive from release.
type workerStub struct {
	conn     sock.Conn
	release  chan struct{}
	received chan string // the lines that arrive, or nil if the test doesn't need them
}

func (w *workerStub) Data(b []byte) error {
	for line := range strings.Lines(string(b)) {
		words := strings.Fields(line)
		if w.received != nil && len(words) > 1 {
			w.received <- line
		}
		if len(words) < 4 || words[0] != "CALL" { // the stub serves as the bulletin, too, which publishes nothing
			continue
		}
		go func() { // the I/O goroutine must not block
			<-w.release
			w.conn.Write([]byte(words[1] + " OK detail=warm 4\r\ndone\r\n"))
		}()
	}
	return nil
}

func (w *workerStub) Closed(error) {}

// A gateway on real sockets becomes ready and serves a call; at SIGTERM with another call in flight it waits for the answer and then
// ends. The test sets the clock, so that the drain takes no real time.
func TestGatewayServesAndDrains(t *testing.T) {
	for _, extensions := range []string{"", extensionsText} { // off, and on without a broker or collector that answers
		s, err := ParseExtensions(extensions)
		if err != nil {
			t.Fatal(err)
		}
		for _, drained := range []bool{false, true} { // SIGTERM also ends a gateway that operators have drained
			serveAndDrain(t, s, drained)
		}
	}
}

const extensionsText = `enabled = true
[calls]
broker = "127.0.0.1:1"
client_id = "c"
listen = ["t"]
session_expiry_s = 9
keep_alive_s = 9
[workers]
broker = "127.0.0.1:1"
client_id = "w"
replies = "r"
keep_alive_s = 9
[[workers.worker]]
name = "one"
topic = "one/calls"
status = "one/status"
zone = "x"
[export]
enabled = true
collector = "127.0.0.1:1"
queue = 10
`

func serveAndDrain(t *testing.T, extensions *Extensions, drained bool) {
	release := make(chan struct{})
	workers, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 64, Accepted: 64},
		func(c sock.Conn) sock.Handler { return &workerStub{conn: c, release: release} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Stop()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", workers.Addr(), "%WORKER%", workers.Addr()).Replace(configText)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = extensions
	var mu sync.Mutex
	now := 1000 * time.Hour
	g, err := Start(c, func() time.Duration { mu.Lock(); defer mu.Unlock(); return now }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.net.Stop()
	ended := make(chan struct{})
	g.done = func() { close(ended) }
	go func() { // the event loop
		for {
			select {
			case <-ended:
				return
			default:
				g.loop.Wait()
				g.loop.RunOnce()
			}
		}
	}()
	call := func(id string) <-chan string {
		got := make(chan string, 1)
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				got <- err.Error()
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET /check HTTP/1.1\r\n\r\n")
			r := bufio.NewReader(conn)
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
				got <- fmt.Sprint(resp, err)
				return
			} else if _, err := r.Discard(int(resp.ContentLength)); err != nil {
				got <- err.Error()
				return
			}
			fmt.Fprintf(conn, "POST /do/00000000000000ff/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %s\r\n"+
				"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				got <- err.Error()
				return
			}
			body := make([]byte, resp.ContentLength)
			resp.Body.Read(body)
			got <- fmt.Sprint(resp.StatusCode, string(body))
		}()
		return got
	}
	first := call("0000000000000001")
	release <- struct{}{}
	if got := <-first; got != "200done" {
		t.Fatalf("first call: %s", got)
	}
	second := call("0000000000000002")
	for open := 0; open == 0; { // until the gateway has accepted the call
		got := make(chan int)
		g.loop.Post(func() { got <- g.core.InFlight() })
		open = <-got
	}
	advance := func(d time.Duration) {
		mu.Lock()
		now += d
		mu.Unlock()
		done := make(chan struct{})
		g.loop.Post(func() { close(done) })
		select {
		case <-done:
		case <-ended: // there will be no further loop iteration
		}
	}
	if drained {
		g.loop.Post(func() {
			(*operatorAPI)(g).Drain()
			g.reload(g.conf, nil) // after SIGHUP the gateway is still drained
			if (*operatorAPI)(g).Ready() == nil {
				t.Error("gateway is ready although it is drained")
			}
		})
		advance(0)
	}
	g.loop.Post(g.drain)
	advance(0)
	advance(callWindow)
	advance(time.Second) // the call is still in flight: the process must not end
	select {
	case <-ended:
		t.Fatal("gateway ended with a call in flight")
	default:
	}
	release <- struct{}{}
	if got := <-second; got != "200done" {
		t.Errorf("second call: %s", got)
	}
	for {
		advance(flushDelay)
		select {
		case <-ended:
			return
		default:
		}
	}
}
