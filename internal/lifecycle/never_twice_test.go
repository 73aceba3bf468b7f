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

// workerSim simulates the workers of two halls at the level of their line protocol, with faults drawn from a seed. It counts how often
// each request runs, by its body, which is the same in all tries of a client.
type workerSim struct {
	*wiretest.World
	rng   *rand.Rand
	runs  map[string]int
	keys  map[string]time.Duration // when a request with a key last ran, by hall and key
	conns map[string][]*wiretest.Conn
}

// simConn is the worker's side of one connection.
type simConn struct {
	sim   *workerSim
	conn  *wiretest.Conn
	hall  string
	input []byte
}

func (h *simConn) Closed(error) {}
func (h *simConn) Data(b []byte) error {
	for h.input = append(h.input, b...); ; {
		line, rest, ok := bytes.Cut(h.input, []byte("\r\n"))
		words := strings.Fields(string(line))
		if !ok {
			return nil
		}
		if len(words) != 4 || words[0] != "CALL" {
			h.input = rest
			continue
		}
		n, _ := strconv.Atoi(words[3])
		if len(rest) < n+2 {
			return nil
		}
		h.input = rest[n+2:]
		h.call(words[1], words[2], string(rest[:n]))
	}
}

// call draws how a call ends. Like the workers of a hall, it does not run a call again whose key ran within the last 8 s.
func (h *simConn) call(id, fields, body string) {
	sim := h.sim
	reply := func(outcome string) { h.conn.Write([]byte(id + " " + outcome + " - 2\r\nok\r\n")) }
	draw := sim.rng.IntN(20)
	if outcome := map[int]string{0: "BUSY", 1: "MISS", 2: "VOID"}[draw]; outcome != "" {
		reply(outcome) // the call did not run
		return
	}
	key := ""
	if _, uniq, ok := strings.Cut(fields, "uniq="); ok {
		key = h.hall + uniq
	}
	if at, ok := sim.keys[key]; key == "" || !ok || sim.Now()-at >= 8*time.Second {
		sim.runs[body]++
		sim.keys[key] = sim.Now()
	}
	switch draw {
	case 3:
		reply("ERR")
	case 4, 5: // the worker never answers
	case 6:
		h.conn.Close()
	case 7:
		h.conn.Write([]byte(id + " OK - 2\r\no"))
	case 8:
		sim.Loop.After(time.Duration(sim.rng.IntN(2500))*time.Millisecond, func() { reply("OK") })
	case 9:
		reply("OK")
		reply("OK")
	default:
		sim.Loop.After(time.Duration(sim.rng.IntN(60))*time.Millisecond, func() { reply("OK") })
	}
}

// testClient is a client that retries, with a new request id, after an answer which states that this is harmless.
type testClient struct {
	wiretest.Peer
	body    string
	answers int // number of answered tries
	done    bool
}

// startGateway starts a gateway in memory that connects to six simulated workers through net.
func (s *workerSim) startGateway(site *settings.Site, seed uint64, net sock.Dialer, observe core.Observer) (*httpfront.Front,
	*core.Core, []core.Member) {
	front := httpfront.New(s.Loop, site, 4096, 1<<20, s.Log())
	pool := workerlink.New(s.Loop, net, site, 64, s.Log())
	c, err := core.New(s.Loop, site.Decide, seed, pool, observe, s.Log())
	if err != nil {
		s.T.Fatal(err)
	}
	pool.SetReceiver(c)
	front.Serve(c)
	var list []core.Member
	for i := range 6 {
		name, hall := fmt.Sprint("w", i), fmt.Sprint("hall", i%2, " ")
		s.Listen(name, func(c *wiretest.Conn) sock.Handler {
			s.conns[name] = append(s.conns[name], c)
			return &simConn{sim: s, conn: c, hall: hall}
		})
		list = append(list, core.Member{Addr: name, Host: decide.Host{Name: name, Zone: i % 2}})
	}
	c.ApplyList(true, list)
	return front, c, list
}

// runHTTPScenario sends requests of three classes through a gateway to the simulated workers: safe, keyed and, with the given effect,
// those that must not run twice. It returns the workers' counts and how many tries were not answered exactly once.
func runHTTPScenario(t *testing.T, seed uint64, unsafe decide.Effect) (sim *workerSim, notAnsweredOnce int) {
	world := wiretest.New(t)
	sim = &workerSim{World: world, rng: rand.New(rand.NewPCG(seed, 3)), runs: map[string]int{}, keys: map[string]time.Duration{},
		conns: map[string][]*wiretest.Conn{}}
	site := wiretest.Site()
	site.Classes, site.StreamsPerConn = append(site.Classes, "once"), 32
	site.Decide.Classes = append(site.Decide.Classes, decide.Class{Deadline: 4 * time.Second, Effect: unsafe})
	front, gatewayCore, list := sim.startGateway(site, seed, world, nil)
	var clients []*testClient
	tries := 0
	try := func(client *testClient) {
		tries++
		client.Conn, _ = world.Pair(client, func(c *wiretest.Conn) sock.Handler { return front.Accept(c) })
		class := map[byte]string{'r': "read", 'c': "command", 'o': "once"}[client.body[0]]
		fmt.Fprintf(client, "POST /do/%016x/call HTTP/1.1\r\nHost: x\r\nX-Class: %s\r\nReq-Id: %016x\r\nReq-Wait-Ms: 2000\r\nReq-Owner: a\r\n"+
			"Req-Token: %s\r\nContent-Length: %d\r\n\r\n%s", sim.rng.IntN(5), class, tries, client.body, len(client.body), client.body)
	}
	for n := range 400 {
		client := &testClient{body: fmt.Sprint(string("rcoo"[sim.rng.IntN(4)]), n)}
		clients = append(clients, client)
		try(client)
		switch k := sim.rng.IntN(60); {
		case k == 0: // a worker's connections break
			for _, c := range sim.conns[fmt.Sprint("w", sim.rng.IntN(6))] {
				c.Close()
			}
		case k < 4: // a worker drains, leaves the list or returns to it
			m := list[sim.rng.IntN(6)]
			m.State = []decide.HostState{decide.Ready, decide.Draining, decide.Gone}[sim.rng.IntN(3)]
			gatewayCore.ApplyList(false, []core.Member{m})
		case k == 4: // a client leaves
			client.done = true
			world.Run()
			client.Close()
		}
		world.Advance(time.Duration(sim.rng.IntN(30)) * time.Millisecond)
		for _, client := range clients {
			if got := client.Take(); !client.done && got != "" {
				if client.answers++; strings.Count(got, "HTTP/1.1 ") != 1 {
					notAnsweredOnce++
				}
				if strings.HasPrefix(got, "HTTP/1.1 503") && client.answers < 3 {
					try(client)
				} else {
					client.done = true
				}
			}
		}
	}
	world.Advance(5 * time.Second)
	for _, client := range clients {
		if got := client.Take(); !client.done && strings.Count(got, "HTTP/1.1 ") != 1 {
			notAnsweredOnce++
		}
	}
	return sim, notAnsweredOnce
}

// Whatever happens to connections, workers and clients, a request that must not run twice does not, a request with a key runs once in
// a hall, and each try has exactly one answer. As a check of the test, the same scenario runs without the guard, that is with a class
// that is declared safe to repeat: then some requests do run twice.
func TestNeverTwiceOverHTTP(t *testing.T) {
	ranTwice := 0
	for seed := range uint64(12) {
		for _, effect := range []decide.Effect{decide.Unsafe, decide.Safe} {
			sim, notAnsweredOnce := runHTTPScenario(t, seed, effect)
			if notAnsweredOnce > 0 {
				t.Errorf("seed %d: %d tries were not answered exactly once", seed, notAnsweredOnce)
			}
			ran := 0
			for body, n := range sim.runs {
				ran += n
				if n < 2 || body[0] == 'r' {
					continue
				}
				if body[0] == 'o' && effect == decide.Safe {
					ranTwice++
				} else {
					t.Errorf("seed %d: request %s ran %d times", seed, body, n)
				}
			}
			if ran < 100 {
				t.Errorf("seed %d: only %d calls ran, want at least 100", seed, ran)
			}
		}
	}
	t.Logf("figures: seeds=12 twice=0 twice_without_guard=%d", ranTwice)
	if ranTwice < 12 {
		t.Errorf("without the guard only %d requests ran twice, want at least 12", ranTwice)
	}
}
