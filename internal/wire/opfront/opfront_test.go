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

// desk notes what it was asked for.
type desk struct {
	said []string
	no   error
}

func (d *desk) Do(c Call, done func(string, error)) {
	said := strings.TrimSpace(c.Name + " " + c.ID)
	if c.Emergency {
		said += " at once"
	}
	for _, name := range slices.Sorted(maps.Keys(c.Options)) {
		said += " " + name + ":" + c.Options[name]
	}
	if d.said = append(d.said, said); c.Name == "show-stat" {
		done("svc.active:14|g\nEOT\n", d.no)
		return
	}
	done("", d.no)
}

func dial(w *wiretest.World, f *Front) *wiretest.Peer {
	p := &wiretest.Peer{}
	p.Conn, _ = w.Pair(p, func(c *wiretest.Conn) sock.Handler { return f.Accept(c) })
	w.Run()
	return p
}

func newDoor(t testing.TB) (*wiretest.World, *Front, *desk) {
	w, d := wiretest.New(t), &desk{}
	return w, New(w.Loop, d, w.Log()), d
}

// Each call has its one reply and a close, at once, however its bytes are cut; what is no call is told so and reaches
// nobody.
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
		"drain emergency by=anna why=the roof leaks\n":              {"SUCCESS\n", "drain at once by:anna why:the roof leaks"},
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
		"ready\ndrain\n":                                            {"SUCCESS\n", "ready"}, // one call on a connection
		"disable-server " + strings.Repeat("x", 240) + "\n": {"SUCCESS\n", "disable-server " + strings.Repeat("x", 240)},
	} {
		for _, chunk := range []int{0, 1, 7} {
			w, f, d := newDoor(t)
			w.Chunk = chunk
			p := dial(w, f)
			p.Write([]byte(line))
			w.Run()
			got := p.Take()
			w.Pass(lingerLimit)
			if got != want[0] || strings.Join(d.said, ",") != want[1] || !p.Over || f.Conns() != 0 {
				t.Errorf("%.40q in pieces of %d: reply %q, asked %q, closed %v, %d open", line, chunk, got, d.said, p.Over, f.Conns())
			}
		}
	}
}

// What the desk can't do is told with its reason.
func TestReasonIsTold(t *testing.T) {
	w, f, d := newDoor(t)
	d.no = errors.New("no such worker")
	p := dial(w, f)
	p.Write([]byte("enable-server nobody\n"))
	w.Run()
	if got := p.Take(); got != "FAILURE no such worker\n" {
		t.Errorf("reply %q", got)
	}
}

// However many callers say nothing, half a call or junk, their number is bounded, they end, and a good caller has its
// reply in the same turn.
func TestGoodCallerAmongBadOnes(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		w, f, _ := newDoor(t)
		var bad []*wiretest.Peer
		for range 300 {
			switch rng.IntN(4) {
			case 0:
				bad = append(bad, dial(w, f))
			case 1:
				bad = append(bad, dial(w, f))
				bad[len(bad)-1].Write([]byte("disable-ser"))
			case 2:
				w.Pass(time.Duration(rng.IntN(500)) * time.Millisecond)
			case 3:
				p := dial(w, f)
				p.Write([]byte("ready\n"))
				if w.Run(); p.Take() != "SUCCESS\n" {
					t.Fatalf("seed %d: no reply", seed)
				}
			}
			if f.Conns() > Callers {
				t.Fatalf("seed %d: %d callers", seed, f.Conns())
			}
		}
		w.Pass(callLimit + lingerLimit)
		for _, p := range bad {
			if !p.Over {
				t.Fatalf("seed %d: a caller that said no call is still held", seed)
			}
		}
		if n := w.Loop.Len(); f.Conns() != 0 || n != 0 {
			t.Fatalf("seed %d: %d callers, %d deadlines left", seed, f.Conns(), n)
		}
	}
}

// FuzzParser feeds any bytes in any pieces: at most one call comes of them, and the buffer stays bounded.
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
				if _, known := forms[call.Name]; err == nil && !known {
					t.Fatalf("call %+v", call)
				}
			}
			if calls > 1 || len(p.buf) > maxLine+2 {
				t.Fatalf("%d calls, %d bytes held", calls, len(p.buf))
			}
		}
	})
}
