package opfront

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// fakeExecutor records the calls that it gets.
type fakeExecutor struct {
	calls []string
	err   error
}

func (e *fakeExecutor) Do(c Call, done func(string, error)) {
	call := strings.TrimSpace(c.Name + " " + c.ID)
	if c.Emergency {
		call += " emergency"
	}
	for _, name := range slices.Sorted(maps.Keys(c.Options)) {
		call += " " + name + ":" + c.Options[name]
	}
	if e.calls = append(e.calls, call); c.Name == "show-stat" {
		done("svc.active:14|g\nEOT\n", e.err)
		return
	}
	done("", e.err)
}

func dial(world *wiretest.World, front *Front) *wiretest.Peer {
	peer := &wiretest.Peer{}
	peer.Conn, _ = world.Pair(peer, func(c *wiretest.Conn) sock.Handler { return front.Accept(c) })
	world.Run()
	return peer
}

func newFront(t testing.TB) (*wiretest.World, *Front, *fakeExecutor) {
	world, executor := wiretest.New(t), &fakeExecutor{}
	return world, New(world.Loop, executor, world.Log()), executor
}

// Each call gets one reply and a close at once, however its bytes are split. A line that is no valid call is answered with the
// reason and never reaches the executor.
func TestCalls(t *testing.T) {
	for line, want := range map[string][2]string{
		"ready\n":                     {"SUCCESS\n", "ready"},
		"ready\r\n":                   {"SUCCESS\n", "ready"},
		"show-stat\n":                 {"SUCCESS\nsvc.active:14|g\nEOT\n", "show-stat"},
		"disable-server s-00c41f7a\n": {"SUCCESS\n", "disable-server s-00c41f7a"},
		"enable-server s-00c41f7a\n":  {"SUCCESS\n", "enable-server s-00c41f7a"},
		"drain\n":                     {"SUCCESS\n", "drain"},
		"resume\n":                    {"SUCCESS\n", "resume"},
		"disable-server\n":            {"FAILURE an id is needed\n", ""},
		"disable-server a b\n":        {"FAILURE too many words\n", ""},
		"ready now\n":                 {"FAILURE too many words\n", ""},
		"ready by=anna\n":             {"FAILURE too many words\n", ""},
		"drain emergency by=anna why=the roof leaks\n":              {"SUCCESS\n", "drain emergency by:anna why:the roof leaks"},
		"declare freeze name=feast zone=UTC why=all that = comes\n": {"SUCCESS\n", "declare freeze name:feast why:all that = comes zone:UTC"},
		"declare x a=1 a=2\n":                                       {"FAILURE a name without a value, or one with two\n", ""},
		"declare x =2\n":                                            {"FAILURE a name without a value, or one with two\n", ""},
		"declare\n":                                                 {"FAILURE an id is needed\n", ""},
		"wanted\n":                                                  {"SUCCESS\n", "wanted"},
		"wanted gw2\n":                                              {"SUCCESS\n", "wanted gw2"},
		"agreed\n":                                                  {"SUCCESS\n", "agreed"},
		"READY\n":                                                   {"FAILURE unknown call\n", ""},
		"\n":                                                        {"FAILURE unknown call\n", ""},
		"\x00\xff\n":                                                {"FAILURE not a line of text\n", ""},
		strings.Repeat("x", maxLine+1):                              {"FAILURE line too long\n", ""},
		strings.Repeat("x", 10000) + "\n":                           {"FAILURE line too long\n", ""},
		"ready\ndrain\n":                                            {"SUCCESS\n", "ready"}, // one call per connection
		"disable-server " + strings.Repeat("x", 240) + "\n": {"SUCCESS\n", "disable-server " + strings.Repeat("x", 240)},
	} {
		for _, chunk := range []int{0, 1, 7} {
			world, front, executor := newFront(t)
			world.MaxChunk = chunk
			peer := dial(world, front)
			peer.Write([]byte(line))
			world.Run()
			got := peer.Take()
			world.Advance(lingerTimeout)
			if got != want[0] || strings.Join(executor.calls, ",") != want[1] || !peer.Ended || front.Conns() != 0 {
				t.Errorf("%.40q in pieces of %d: reply %q, calls %q, closed %v, %d connections open", line, chunk, got, executor.calls,
					peer.Ended, front.Conns())
			}
		}
	}
}

// An error of the executor is sent in the reply.
func TestExecutorErrorIsReplied(t *testing.T) {
	world, front, executor := newFront(t)
	executor.err = errors.New("no such worker")
	peer := dial(world, front)
	peer.Write([]byte("enable-server nobody\n"))
	world.Run()
	if got := peer.Take(); got != "FAILURE no such worker\n" {
		t.Errorf("reply %q", got)
	}
}

// However many operators send nothing, part of a call or garbage, the number of connections is limited, the connections time out,
// and a valid call gets its reply in the same loop iteration.
func TestValidCallAmongBadConnections(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		world, front, _ := newFront(t)
		var bad []*wiretest.Peer
		for range 300 {
			switch rng.IntN(4) {
			case 0:
				bad = append(bad, dial(world, front))
			case 1:
				bad = append(bad, dial(world, front))
				bad[len(bad)-1].Write([]byte("disable-ser"))
			case 2:
				world.Advance(time.Duration(rng.IntN(500)) * time.Millisecond)
			case 3:
				peer := dial(world, front)
				peer.Write([]byte("ready\n"))
				if world.Run(); peer.Take() != "SUCCESS\n" {
					t.Fatalf("seed %d: no reply", seed)
				}
			}
			if front.Conns() > MaxConns {
				t.Fatalf("seed %d: %d connections, want at most %d", seed, front.Conns(), MaxConns)
			}
		}
		world.Advance(callTimeout + lingerTimeout)
		for _, peer := range bad {
			if !peer.Ended {
				t.Fatalf("seed %d: a connection without a whole call is still open", seed)
			}
		}
		if n := world.Loop.Len(); front.Conns() != 0 || n != 0 {
			t.Fatalf("seed %d: %d connections, %d deadlines left", seed, front.Conns(), n)
		}
	}
}

// FuzzParser feeds arbitrary bytes in arbitrary pieces. They yield at most one call, and the buffer stays bounded.
func FuzzParser(f *testing.F) {
	f.Add([]byte("ready\n"), 1)
	f.Add([]byte("disable-server s-00c41f7a\r\nready\n"), 3)
	f.Add([]byte("\x16\x03\x01\x02"), 2)
	f.Fuzz(func(t *testing.T, b []byte, chunk int) {
		var p Parser
		chunk = max(1, min(chunk, 500))
		calls := 0
		for len(b) > 0 {
			n := min(chunk, len(b))
			call, done, err := p.Feed(b[:n])
			if b = b[n:]; done {
				calls++
				if _, known := callSpecs[call.Name]; err == nil && !known {
					t.Fatalf("call %+v", call)
				}
			}
			if calls > 1 || len(p.buf) > maxLine+2 {
				t.Fatalf("%d calls, %d bytes held", calls, len(p.buf))
			}
		}
	})
}
