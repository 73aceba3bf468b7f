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

// The time for the last answers follows from the classes: SIGKILL comes 0.7 s after the longest deadline, of which the
// platform counts 3 s at most.
func TestDrainFollowsTheDeadlines(t *testing.T) {
	for deadline, want := range map[string]time.Duration{"4": 3300 * time.Millisecond, "1.2": 1500 * time.Millisecond} {
		c, err := ParseConfig([]byte(strings.NewReplacer(`"deadline-s":4`, `"deadline-s":`+deadline, "%WORKER%", "127.0.0.1:2").
			Replace(text)))
		if err != nil {
			t.Fatal(err)
		}
		if got := (&Gateway{conf: c}).longest(); got != want {
			t.Errorf("deadline %s s: %v, want %v", deadline, got, want)
		}
	}
}

// worker is a stand-in on a real socket that answers every call.
type worker struct {
	c    sock.Conn
	hold chan struct{}
	came chan string // what comes, where the test looks at it
}

func (w *worker) Data(b []byte) error {
	for line := range strings.Lines(string(b)) {
		words := strings.Fields(line)
		if w.came != nil && len(words) > 1 {
			w.came <- line
		}
		if len(words) < 4 || words[0] != "CALL" { // it stands for the bulletin as well, which has no news
			continue
		}
		go func() { // never on the I/O goroutine
			<-w.hold
			w.c.Write([]byte(words[1] + " OK detail=warm 4\r\ndone\r\n"))
		}()
	}
	return nil
}

func (w *worker) Closed(error) {}

// A gateway on real sockets: ready, a call served, SIGTERM while another is open, its answer, the end. The clock
// is the test's, so that the drain takes no time.
func TestGatewayServesAndDrains(t *testing.T) {
	for _, side := range []string{"", mqttOn} { // with MQTT and export on, and nobody there to speak to
		s, err := ParseExtensions(side)
		if err != nil {
			t.Fatal(err)
		}
		for _, drained := range []bool{false, true} { // SIGTERM ends a gateway that operators have drained as well
			servesAndDrains(t, s, drained)
		}
	}
}

const mqttOn = `enabled = true
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

func servesAndDrains(t *testing.T, side *Extensions, drained bool) {
	hold := make(chan struct{})
	workers, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 64, Accepted: 64}, func(c sock.Conn) sock.Handler { return &worker{c: c, hold: hold} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Stop()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", workers.Addr(), "%WORKER%", workers.Addr()).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	c.Extensions = side
	var mu sync.Mutex
	now := 1000 * time.Hour
	g, err := Start(c, func() time.Duration { mu.Lock(); defer mu.Unlock(); return now }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.net.Stop()
	ended := make(chan struct{})
	g.done = func() { close(ended) }
	go func() { // the turn
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
	hold <- struct{}{}
	if got := <-first; got != "200done" {
		t.Fatalf("first call: %s", got)
	}
	second := call("0000000000000002")
	for open := 0; open == 0; { // until it has been taken
		got := make(chan int)
		g.loop.Post(func() { got <- g.core.InFlight() })
		open = <-got
	}
	pass := func(d time.Duration) {
		mu.Lock()
		now += d
		mu.Unlock()
		done := make(chan struct{})
		g.loop.Post(func() { close(done) })
		select {
		case <-done:
		case <-ended: // no turn will come
		}
	}
	if drained {
		g.loop.Post(func() {
			(*desk)(g).Drain()
			g.reload(g.conf, nil) // SIGHUP leaves it drained
			if (*desk)(g).Ready() == nil {
				t.Error("ready though drained")
			}
		})
		pass(0)
	}
	g.loop.Post(g.drain)
	pass(0)
	pass(keepAccept)
	pass(time.Second) // the call is still open: the process must not end
	select {
	case <-ended:
		t.Fatal("ended with a call open")
	default:
	}
	hold <- struct{}{}
	if got := <-second; got != "200done" {
		t.Errorf("second call: %s", got)
	}
	for {
		pass(lastFlush)
		select {
		case <-ended:
			return
		default:
		}
	}
}
