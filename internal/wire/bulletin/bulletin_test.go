package bulletin

import (
	"encoding/binary"
	"fmt"
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

func frame(no uint64, kind byte, records ...[]byte) []byte {
	payload := slices.Concat(records...)
	b := binary.BigEndian.AppendUint32(nil, uint32(frameHead+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, no), kind), payload...)
}

func record(id uint32, state, zone byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = append(b, 127, 8, 0, 2, 0x10, 0x04, state, zone, 0, 0, 7)
	b = binary.BigEndian.AppendUint32(b, 1500)
	return binary.BigEndian.AppendUint64(b, 1_700_000_000_123)
}

// stand is a bulletin: each connection is first told which event its client has.
type stand struct {
	*wiretest.World
	peers  []*wiretest.Peer
	feed   *Feed
	told   []core.Member
	wholes int
}

func newStand(t testing.TB) *stand {
	s := &stand{World: wiretest.New(t)}
	s.Listen("bulletin", func(c *wiretest.Conn) sock.Handler {
		s.peers = append(s.peers, &wiretest.Peer{Conn: c})
		return s.peers[len(s.peers)-1]
	})
	s.feed = NewFeed(s.Loop, s, "bulletin", wiretest.Site(), 4, func(whole bool, m []core.Member) {
		s.told = append(s.told, m...)
		if whole {
			s.wholes++
		}
	}, s.Log())
	s.feed.Connect()
	s.Run()
	return s
}

func (s *stand) last() *wiretest.Peer { return s.peers[len(s.peers)-1] }

func (s *stand) say(b []byte) {
	s.last().Write(b)
	s.Run()
}

func TestFramesBecomeMembers(t *testing.T) {
	s := newStand(t)
	if got := s.last().Take(); got != "\x00\x00\x00\x00\x00\x00\x00\x04" {
		t.Fatalf("sent %q", got)
	}
	s.say(frame(4, 0))
	s.say(frame(5, 2, record(0x00c41f7a, 1, 1)))
	s.say(frame(6, 1, record(1, 0, 0), record(2, 2, 0)))
	want := core.Member{Addr: "127.8.0.2:4100", Host: decide.Host{Name: "s-00c41f7a", Zone: 1, Cell: 7,
		State: decide.Draining, Weight: 1.5, Since: 1_700_000_000_123 * time.Millisecond}}
	if len(s.told) != 3 || s.told[0] != want || s.wholes != 1 || s.feed.Last() != 6 {
		t.Errorf("told %+v, %d whole lists, last %d", s.told, s.wholes, s.feed.Last())
	}
}

// A lost connection is taken up from the last event, within a fraction of the time after which the list counts
// as told.
func TestFeedTakesUpWhereItWas(t *testing.T) {
	s := newStand(t)
	s.say(frame(5, 2, record(1, 0, 0)))
	for name, hurt := range map[string]func(){
		"closed":  func() { s.last().Close() },
		"silent":  func() { s.last().Stuck = true },
		"garbage": func() { s.say([]byte{0, 0, 0, 1, 9}) },
		"state":   func() { s.say(frame(6, 2, record(1, 9, 0))) },
		"zone":    func() { s.say(frame(6, 2, record(1, 0, 9))) },
		"gap":     func() { s.say(frame(9, 2, record(1, 0, 0))) },
		"large":   func() { s.say([]byte{0xff, 0xff, 0xff, 0xff, 0}) },
	} {
		n := len(s.peers)
		hurt()
		s.Pass(3 * time.Second)
		if len(s.peers) == n || s.last().Take() != "\x00\x00\x00\x00\x00\x00\x00\x05" {
			t.Errorf("%s: %d connections, was %d", name, len(s.peers), n)
		}
		s.say(frame(5, 2, record(1, 1, 0))) // told before: not again
	}
	if len(s.told) != 1 {
		t.Errorf("told %d changes", len(s.told))
	}
}

// After SIGHUP the feed asks the new address at once for what came after the last event, whatever it is doing: the
// old one may stay open for a while, be down, or not answer.
func TestFeedMoves(t *testing.T) {
	for name, at := range map[string]func(*stand){
		"following":  func(s *stand) {},
		"pausing":    func(s *stand) { s.Listen("bulletin", nil); s.last().Close(); s.Run() },
		"connecting": func(s *stand) { s.Silent["bulletin"] = true; s.last().Close(); s.Pass(retryFirst) },
	} {
		s := newStand(t)
		s.say(frame(5, 2, record(1, 0, 0)))
		old := s.last()
		at(s)
		s.Listen("new", func(c *wiretest.Conn) sock.Handler {
			s.peers = append(s.peers, &wiretest.Peer{Conn: c})
			return s.peers[len(s.peers)-1]
		})
		known := []Event{{No: 5}, {No: 6, Members: []core.Member{{Addr: "a:1"}}}, {No: 8}}
		s.feed.Move("new", known)
		s.Run()
		if s.last() == old || s.last().Take() != "\x00\x00\x00\x00\x00\x00\x00\x06" || !old.Over || len(s.told) != 2 {
			t.Fatalf("%s: %d connections, old one over %v, told %v", name, len(s.peers), old.Over, s.told)
		}
		n := len(s.peers)
		s.say(frame(7, 2, record(2, 0, 0)))
		s.feed.Move("new", known) // the same again changes nothing
		for range 10 {            // nor does what was left of the old address
			s.Pass(time.Second)
			s.say(frame(7, 0))
		}
		if len(s.peers) != n || len(s.told) != 3 {
			t.Errorf("%s: %d connections, was %d; told %d", name, len(s.peers), n, len(s.told))
		}
	}
}

// An event of which pieces go on coming is none: the connection counts as silent.
func TestHalfAnEventIsSilence(t *testing.T) {
	s := newStand(t)
	b, n := frame(5, 2, record(1, 0, 0)), len(s.peers)
	for i := range 6 {
		s.say(b[i : i+1])
		s.Pass(500 * time.Millisecond)
	}
	if len(s.peers) == n {
		t.Error("still waiting for the rest")
	}
}

func TestBulletinUnreachable(t *testing.T) {
	s := newStand(t)
	s.last().Close()
	s.Silent["bulletin"] = true
	s.Pass(2 * time.Second)
	dials := s.Dials
	if s.Pass(5 * time.Second); s.Dials-dials < 4 || s.Dials-dials > 20 {
		t.Errorf("%d tries in 5 s", s.Dials-dials)
	}
	s.Silent["bulletin"] = false
	s.Pass(1500 * time.Millisecond)
	s.say(frame(5, 2, record(1, 0, 0)))
	if len(s.told) != 1 {
		t.Error("not back")
	}
}

func TestKnown(t *testing.T) {
	no, events, err := ParseKnown([]byte(`{"no":41,"items":[{"no":41,"roster":{"revision":7,"complete":true,"members":[
		{"id":"s-00c41f7a","host_port":"10.1.0.9:4100","locality":"y","flavor":"std","cell":2,"phase":"leaving","size":4,
		"up_since_ms":12}]}}]}`), wiretest.Site())
	want := core.Member{Addr: "10.1.0.9:4100", Host: decide.Host{Name: "s-00c41f7a", Zone: 1, Cell: 2, Weight: 4,
		State: decide.Draining, Since: 12 * time.Millisecond}}
	if err != nil || no != 41 || len(events) != 1 || !events[0].Whole || events[0].Members[0] != want {
		t.Errorf("%d %+v %v", no, events, err)
	}
	for _, text := range []string{`[]`, `{"items":[{"roster":{"members":[{"id":"a","host_port":"x:1","locality":"y","phase":"active"}]}}]}`,
		`{"items":[{"roster":{"members":[{"id":"a","host_port":"1.1.1.1:1","locality":"?","phase":"active"}]}}]}`,
		`{"items":[{"roster":{"members":[{"id":"a","host_port":"1.1.1.1:1","locality":"y","phase":"?"}]}}]}`} {
		if _, _, err := ParseKnown([]byte(text), wiretest.Site()); err == nil {
			t.Errorf("%s was taken", text)
		}
	}
}

// FuzzFeed plays a bulletin that publishes, drops and falls silent at random. The model: the changes told are
// the first so many that were published, each once and in order, and all of them in the end.
func FuzzFeed(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 4, 0, 5}, 3)
	f.Add([]byte{0, 3, 0, 0, 3, 1, 1, 0, 4, 4, 2, 0}, 1)
	f.Fuzz(func(t *testing.T, steps []byte, chunk int) {
		s := newStand(t)
		s.Chunk = max(0, min(chunk, 40))
		published, has := uint64(4), map[*wiretest.Peer]uint64{}
		push := func() { // each connection gets what its client does not have
			for _, p := range s.peers {
				if _, ok := has[p]; !ok && len(p.In) == 8 {
					has[p] = binary.BigEndian.Uint64(p.In)
				}
				for last, ok := has[p]; ok && last < published; last++ {
					p.Write(frame(last+1, 2, record(uint32(last+1), 0, 0)))
					has[p] = last + 1
				}
			}
			s.Run()
		}
		for _, step := range steps[:min(len(steps), 60)] {
			switch step % 6 {
			case 0, 1:
				published++
				push()
			case 2:
				s.last().Close()
			case 3:
				s.last().Stuck = true
			case 4:
				s.Pass(time.Duration(step) * 20 * time.Millisecond)
			case 5:
				s.say([]byte{0, 0, 0, 2, step})
			}
			s.Run()
		}
		for range 20 { // some of them while the feed has no connection
			s.Pass(300 * time.Millisecond)
			push()
		}
		for i, m := range s.told {
			if m.Name != fmt.Sprintf("s-%08x", 5+i) {
				t.Fatalf("change %d is of %s", i, m.Name)
			}
		}
		if s.feed.Last() != published || len(s.told) != int(published-4) {
			t.Errorf("last %d of %d, told %d", s.feed.Last(), published, len(s.told))
		}
	})
}
