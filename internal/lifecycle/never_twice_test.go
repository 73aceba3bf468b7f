package lifecycle

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/httpfront"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
	"quillrail/internal/wire/workerlink"
)

// plant is the workers of two halls, played over the lines they speak, with faults drawn from a seed. It counts what
// runs, by the request as its client knows it: the body is the same for all of its tries.
type plant struct {
	*wiretest.World
	rng   *rand.Rand
	runs  map[string]int
	keys  map[string]time.Duration // of keyed requests by hall, when one last ran
	conns map[string][]*wiretest.Conn
}

type plantConn struct {
	p    *plant
	c    *wiretest.Conn
	hall string
	in   []byte
}

func (h *plantConn) Closed(error) {}
func (h *plantConn) Data(b []byte) error {
	for h.in = append(h.in, b...); ; {
		line, rest, ok := bytes.Cut(h.in, []byte("\r\n"))
		words := strings.Fields(string(line))
		if !ok {
			return nil
		}
		if len(words) != 4 || words[0] != "CALL" {
			h.in = rest
			continue
		}
		n, _ := strconv.Atoi(words[3])
		if len(rest) < n+2 {
			return nil
		}
		h.in = rest[n+2:]
		h.call(words[1], words[2], string(rest[:n]))
	}
}

// call draws what becomes of a call. As the workers of a hall do, it drops the repeat of a key for 8 s.
func (h *plantConn) call(id, fields, body string) {
	p := h.p
	say := func(word string) { h.c.Write([]byte(id + " " + word + " - 2\r\nok\r\n")) }
	fate := p.rng.IntN(20)
	if word := map[int]string{0: "BUSY", 1: "MISS", 2: "VOID"}[fate]; word != "" {
		say(word) // it never ran
		return
	}
	key := ""
	if _, uniq, ok := strings.Cut(fields, "uniq="); ok {
		key = h.hall + uniq
	}
	if at, ok := p.keys[key]; key == "" || !ok || p.Now()-at >= 8*time.Second {
		p.runs[body]++
		p.keys[key] = p.Now()
	}
	switch fate {
	case 3:
		say("ERR")
	case 4, 5: // nothing more is heard
	case 6:
		h.c.Close()
	case 7:
		h.c.Write([]byte(id + " OK - 2\r\no"))
	case 8:
		p.Loop.After(time.Duration(p.rng.IntN(2500))*time.Millisecond, func() { say("OK") })
	case 9:
		say("OK")
		say("OK")
	default:
		p.Loop.After(time.Duration(p.rng.IntN(60))*time.Millisecond, func() { say("OK") })
	}
}

// seek is a client: it comes again, under a new id, as long as it is told that this is harmless.
type seek struct {
	wiretest.Peer
	body    string
	answers int // whole answers to tries
	left    bool
}

// gateway starts a gateway in memory that dials the six workers of the plant by net.
func (p *plant) gateway(site *settings.Site, seed uint64, net sock.Dialer, observe core.Observer) (*httpfront.Front, *core.Core, []core.Member) {
	front := httpfront.New(p.Loop, site, 4096, 1<<20, p.Log())
	pool := workerlink.New(p.Loop, net, site, 64, p.Log())
	c, err := core.New(p.Loop, site.Decide, seed, pool, observe, p.Log())
	if err != nil {
		p.T.Fatal(err)
	}
	pool.SetReceiver(c)
	front.Serve(c)
	var list []core.Member
	for i := range 6 {
		name, hall := fmt.Sprint("w", i), fmt.Sprint("hall", i%2, " ")
		p.Listen(name, func(c *wiretest.Conn) sock.Handler {
			p.conns[name] = append(p.conns[name], c)
			return &plantConn{p: p, c: c, hall: hall}
		})
		list = append(list, core.Member{Addr: name, Host: decide.Host{Name: name, Zone: i % 2}})
	}
	c.ApplyList(true, list)
	return front, c, list
}

// playHTTP plays requests of all three effects through a gateway between such workers, and returns how often each ran
// and how many tries were not answered exactly once.
func playHTTP(t *testing.T, seed uint64, unsafe decide.Effect) (p *plant, odd int) {
	w := wiretest.New(t)
	p = &plant{World: w, rng: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}, keys: map[string]time.Duration{},
		conns: map[string][]*wiretest.Conn{}}
	site := wiretest.Site()
	site.Classes, site.StreamsPerConn = append(site.Classes, "once"), 32
	site.Decide.Classes = append(site.Decide.Classes, decide.Class{Aim: time.Second, Deadline: 4 * time.Second, Worth: 5, Effect: unsafe})
	front, c, list := p.gateway(site, seed, w, nil)
	var clients []*seek
	tries := 0
	try := func(s *seek) {
		tries++
		s.Conn, _ = w.Pair(s, func(c *wiretest.Conn) sock.Handler { return front.Accept(c) })
		class := map[byte]string{'r': "read", 'c': "command", 'o': "once"}[s.body[0]]
		fmt.Fprintf(s, "POST /do/%016x/call HTTP/1.1\r\nHost: x\r\nX-Class: %s\r\nReq-Id: %016x\r\nReq-Wait-Ms: 2000\r\nReq-Owner: a\r\n"+
			"Req-Token: %s\r\nContent-Length: %d\r\n\r\n%s", p.rng.IntN(5), class, tries, s.body, len(s.body), s.body)
	}
	for n := range 400 {
		s := &seek{body: fmt.Sprint(string("rcoo"[p.rng.IntN(4)]), n)}
		clients = append(clients, s)
		try(s)
		switch k := p.rng.IntN(60); {
		case k == 0: // a worker's connections break
			for _, c := range p.conns[fmt.Sprint("w", p.rng.IntN(6))] {
				c.Close()
			}
		case k < 4: // one leaves the list or comes back
			m := list[p.rng.IntN(6)]
			m.State = []decide.HostState{decide.Ready, decide.Draining, decide.Gone}[p.rng.IntN(3)]
			c.ApplyList(false, []core.Member{m})
		case k == 4: // a client leaves
			s.left = true
			w.Run()
			s.Close()
		}
		w.Advance(time.Duration(p.rng.IntN(30)) * time.Millisecond)
		for _, s := range clients {
			if got := s.Take(); !s.left && got != "" {
				if s.answers++; strings.Count(got, "HTTP/1.1 ") != 1 {
					odd++
				}
				if strings.HasPrefix(got, "HTTP/1.1 503") && s.answers < 3 {
					try(s)
				} else {
					s.left = true
				}
			}
		}
	}
	w.Advance(5 * time.Second)
	for _, s := range clients {
		if got := s.Take(); !s.left && strings.Count(got, "HTTP/1.1 ") != 1 {
			odd++
		}
	}
	return p, odd
}

// Whatever becomes of connections, workers and clients, a request that must not run twice does not, a keyed one runs
// once in a hall, and each try has one answer. With the guard taken out, that is with the class told as one that may be
// repeated, the same play runs some of them twice: the test would notice.
func TestNeverTwiceOverHTTP(t *testing.T) {
	twice := 0
	for seed := range uint64(12) {
		for _, effect := range []decide.Effect{decide.Unsafe, decide.Safe} {
			p, odd := playHTTP(t, seed, effect)
			if odd > 0 {
				t.Errorf("seed %d: %d tries without exactly one answer", seed, odd)
			}
			ran := 0
			for body, n := range p.runs {
				ran += n
				if n < 2 || body[0] == 'r' {
					continue
				}
				if body[0] == 'o' && effect == decide.Safe {
					twice++
				} else {
					t.Errorf("seed %d: request %s ran %d times", seed, body, n)
				}
			}
			if ran < 100 {
				t.Errorf("seed %d: only %d calls ran", seed, ran)
			}
		}
	}
	t.Logf("figures: seeds=12 twice=0 twice_without_guard=%d", twice)
	if twice < 12 {
		t.Errorf("without the guard only %d requests ran twice", twice)
	}
}
