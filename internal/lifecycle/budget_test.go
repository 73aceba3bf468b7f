package lifecycle

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// deadlineChecker checks each call, as it is written to a worker, against the deadline of its client. Its maps are by request id.
type deadlineChecker struct {
	*wiretest.World
	clientDeadline map[string]time.Duration
	clientLeft     map[string]time.Duration // when the client closed its connection
	written        map[string]int           // number of attempts
	violations     []string
}

// Dial opens a connection whose calls are checked.
func (d *deadlineChecker) Dial(addr string, timeout time.Duration, h sock.Handler, done func(sock.Conn, error)) {
	d.World.Dial(addr, timeout, h, func(c sock.Conn, err error) {
		if err == nil {
			c = &checkedConn{c, d}
		}
		done(c, err)
	})
}

// checkedConn passes the calls that are written to it to the checker.
type checkedConn struct {
	sock.Conn
	checker *deadlineChecker
}

// Write finds the calls in the written bytes and checks them.
func (c *checkedConn) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		if words := strings.Fields(line); len(words) == 4 && words[0] == "CALL" {
			_, rest, _ := strings.Cut(words[2], "budget=")
			budget, _, _ := strings.Cut(rest, ",")
			ms, err := strconv.Atoi(budget)
			c.checker.checkCall(words[1], time.Duration(ms)*time.Millisecond, err)
		}
	}
	return c.Conn.Write(b)
}

func (d *deadlineChecker) checkCall(id string, budget time.Duration, err error) {
	d.written[id]++
	if left := d.clientDeadline[id] - d.Now(); budget > left || err != nil {
		d.violations = append(d.violations, fmt.Sprintf("attempt %d of request %s has a budget of %v, its client waits %v longer",
			d.written[id], id, budget, left))
	}
	if at, gone := d.clientLeft[id]; gone && d.Now() > at+100*time.Millisecond {
		d.violations = append(d.violations, fmt.Sprintf("request %s is written %v after its client has left", id, d.Now()-at))
	}
}

// readHook calls read after each piece of data that a connection received.
type readHook struct {
	sock.Handler
	read func()
}

// Data passes the data on and calls read.
func (h *readHook) Data(b []byte) error {
	err := h.Handler.Data(b)
	h.read()
	return err
}

// The budget that a worker is sent never exceeds the time for which the client still waits, and nothing is written for a client that
// has left. The scenario has late and long loop iterations, slow connects, workers that read no bytes for a while, and first, repeated,
// parallel and delayed attempts.
func TestAttemptBudgetNeverExceedsClientDeadline(t *testing.T) {
	for seed := range uint64(8) {
		world := wiretest.New(t)
		rng := rand.New(rand.NewPCG(seed, 9))
		sim := &workerSim{World: world, rng: rng, runs: map[string]int{}, keys: map[string]time.Duration{},
			conns: map[string][]*wiretest.Conn{}}
		checker := &deadlineChecker{World: world, clientDeadline: map[string]time.Duration{}, clientLeft: map[string]time.Duration{},
			written: map[string]int{}}
		front, _, _ := sim.startGateway(wiretest.Site(), seed, checker, func(core.Record) {
			if rng.IntN(8) == 0 { // a long loop iteration, which writes at its end
				world.Stall(200 * time.Millisecond)
			}
		})
		var clients []*testClient
		for n := range 300 {
			world.Run()
			world.ConnectDelay = time.Duration(rng.IntN(3)) * 120 * time.Millisecond
			id, wait := fmt.Sprintf("%016x", n), time.Duration(200+rng.IntN(1800))*time.Millisecond
			client := &testClient{body: id}
			clients = append(clients, client)
			client.Conn, _ = world.Pair(client, func(c *wiretest.Conn) sock.Handler {
				return &readHook{front.Accept(c), func() {
					checker.clientDeadline[id] = world.Now() + wait
					world.Stall(time.Duration(rng.IntN(2)) * 180 * time.Millisecond)
				}}
			})
			class := []string{"read", "command"}[rng.IntN(2)]
			fmt.Fprintf(client, "POST /do/%016x/call HTTP/1.1\r\nX-Class: %s\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nReq-Owner: a\r\nReq-Token: %s\r\n"+
				"X-Tags: lanes:1\r\nContent-Length: 0\r\n\r\n", rng.IntN(3), class, id, wait.Milliseconds(), id)
			switch rng.IntN(12) {
			case 0: // a worker reads no bytes for a while
				for _, c := range sim.conns[fmt.Sprint("w", rng.IntN(6))] {
					c.Far().UnsentBytes = 1000
				}
			case 1, 2:
				for _, conns := range sim.conns {
					for _, c := range conns {
						c.Far().Flush()
					}
				}
			case 3: // a client leaves
				world.Run()
				clients[rng.IntN(len(clients))].leave(checker)
			}
			world.Advance(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		world.Advance(5 * time.Second)
		repeats, notAnsweredOnce := 0, 0
		for _, n := range checker.written {
			repeats += max(0, n-1)
		}
		for _, client := range clients {
			if got := client.Take(); !client.done && strings.Count(got, "HTTP/1.1 ") != 1 {
				notAnsweredOnce++
			}
		}
		if len(checker.violations) > 0 || notAnsweredOnce > 0 || len(checker.written) < 100 || repeats < 10 {
			t.Errorf("seed %d: %d requests written, want at least 100; %d further attempts, want at least 10; %d requests without exactly "+
				"one answer; %d violations: %.300q", seed, len(checker.written), repeats,
				notAnsweredOnce, len(checker.violations), checker.violations)
		}
	}
}

// leave closes the client's connection, unless it has received an answer or left before.
func (s *testClient) leave(checker *deadlineChecker) {
	if len(s.Received) == 0 && !s.done {
		s.done, checker.clientLeft[s.body] = true, checker.Now()
		s.Close()
	}
}
