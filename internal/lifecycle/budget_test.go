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

// ledger knows until when each client waits, by the id of its request, and looks at every call as it is written to a worker.
type ledger struct {
	*wiretest.World
	until   map[string]time.Duration
	left    map[string]time.Duration // when the client of a request went
	written map[string]int
	wrong   []string
}

// Dial opens a connection whose calls are looked at.
func (l *ledger) Dial(addr string, timeout time.Duration, h sock.Handler, done func(sock.Conn, error)) {
	l.World.Dial(addr, timeout, h, func(c sock.Conn, err error) {
		if err == nil {
			c = &watched{c, l}
		}
		done(c, err)
	})
}

type watched struct {
	sock.Conn
	l *ledger
}

// Write reads the calls among what is written.
func (w *watched) Write(b []byte) (int, error) {
	for line := range strings.Lines(string(b)) {
		if words := strings.Fields(line); len(words) == 4 && words[0] == "CALL" {
			_, rest, _ := strings.Cut(words[2], "budget=")
			budget, _, _ := strings.Cut(rest, ",")
			ms, err := strconv.Atoi(budget)
			w.l.call(words[1], time.Duration(ms)*time.Millisecond, err)
		}
	}
	return w.Conn.Write(b)
}

func (l *ledger) call(id string, budget time.Duration, err error) {
	l.written[id]++
	if left := l.until[id] - l.Now(); budget > left || err != nil {
		l.wrong = append(l.wrong, fmt.Sprintf("attempt %d of %s says %v of %v left", l.written[id], id, budget, left))
	}
	if at, gone := l.left[id]; gone && l.Now() > at+100*time.Millisecond {
		l.wrong = append(l.wrong, fmt.Sprintf("%s is written %v after its client has gone", id, l.Now()-at))
	}
}

// arriving notes when a request was read; the turn then comes to it after a while.
type arriving struct {
	sock.Handler
	read func()
}

// Data notes the time.
func (a *arriving) Data(b []byte) error {
	err := a.Handler.Data(b)
	a.read()
	return err
}

// The deadline that a worker is told is never later than the client's own, and nothing is written for a client that has gone:
// with turns that come late or take long, connections that come up slowly, workers that take no bytes for a while, and first,
// further, second and held attempts.
func TestWorkersAreToldNoMoreThanTheClientHasLeft(t *testing.T) {
	for seed := range uint64(8) {
		w := wiretest.New(t)
		rng := rand.New(rand.NewPCG(seed, 9))
		p := &plant{World: w, rng: rng, runs: map[string]int{}, keys: map[string]time.Duration{}, conns: map[string][]*wiretest.Conn{}}
		l := &ledger{World: w, until: map[string]time.Duration{}, left: map[string]time.Duration{}, written: map[string]int{}}
		front, _, _ := p.gateway(wiretest.Site(), seed, l, func(core.Record) {
			if rng.IntN(8) == 0 { // the turn takes long, and writes at its end
				w.Stall(200 * time.Millisecond)
			}
		})
		var clients []*seek
		for n := range 300 {
			w.Run()
			w.ConnectDelay = time.Duration(rng.IntN(3)) * 120 * time.Millisecond
			id, wait := fmt.Sprintf("%016x", n), time.Duration(200+rng.IntN(1800))*time.Millisecond
			s := &seek{body: id}
			clients = append(clients, s)
			s.Conn, _ = w.Pair(s, func(c *wiretest.Conn) sock.Handler {
				return &arriving{front.Accept(c), func() {
					l.until[id] = w.Now() + wait
					w.Stall(time.Duration(rng.IntN(2)) * 180 * time.Millisecond)
				}}
			})
			class := []string{"read", "command"}[rng.IntN(2)]
			fmt.Fprintf(s, "POST /do/%016x/call HTTP/1.1\r\nX-Class: %s\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nReq-Owner: a\r\nReq-Token: %s\r\n"+
				"X-Tags: lanes:1\r\nContent-Length: 0\r\n\r\n", rng.IntN(3), class, id, wait.Milliseconds(), id)
			switch rng.IntN(12) {
			case 0: // a worker takes no bytes for a while
				for _, c := range p.conns[fmt.Sprint("w", rng.IntN(6))] {
					c.Far().UnsentBytes = 1000
				}
			case 1, 2:
				for _, conns := range p.conns {
					for _, c := range conns {
						c.Far().Flush()
					}
				}
			case 3: // a client goes
				w.Run()
				clients[rng.IntN(len(clients))].leave(l)
			}
			w.Advance(time.Duration(rng.IntN(60)) * time.Millisecond)
		}
		w.Advance(5 * time.Second)
		further, odd := 0, 0
		for _, n := range l.written {
			further += max(0, n-1)
		}
		for _, s := range clients {
			if got := s.Take(); !s.left && strings.Count(got, "HTTP/1.1 ") != 1 {
				odd++
			}
		}
		if len(l.wrong) > 0 || odd > 0 || len(l.written) < 100 || further < 10 {
			t.Errorf("seed %d: %d calls written, %d attempts more, %d without one answer, %d wrong: %.300q", seed, len(l.written), further,
				odd, len(l.wrong), l.wrong)
		}
	}
}

// leave closes the client's connection, if it still waits.
func (s *seek) leave(l *ledger) {
	if len(s.Received) == 0 && !s.left {
		s.left, l.left[s.body] = true, l.Now()
		s.Close()
	}
}
