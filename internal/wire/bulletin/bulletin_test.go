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

// frame encodes a frame; kind is 0 for a heartbeat, 1 for a complete list and 2 for changes.
func frame(no uint64, kind byte, records ...[]byte) []byte {
	payload := slices.Concat(records...)
	b := binary.BigEndian.AppendUint32(nil, uint32(frameHeaderSize+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, no), kind), payload...)
}

// record encodes a worker's record with fixed values for everything but its id, state and zone.
func record(id uint32, state, zone byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, id)
	b = append(b, 127, 8, 0, 2, 0x10, 0x04, state, zone, 0, 0, 7)
	b = binary.BigEndian.AppendUint32(b, 1500)
	return binary.BigEndian.AppendUint64(b, 1_700_000_000_123)
}

// fixture is a bulletin simulated by the test, and a feed that follows it from event 4. On each connection the feed first sends the
// number of its last event.
type fixture struct {
	*wiretest.World
	peers         []*wiretest.Peer
	feed          *Feed
	applied       []core.Member
	completeLists int
}

func newFixture(t testing.TB) *fixture {
	s := &fixture{World: wiretest.New(t)}
	s.Listen("bulletin", func(c *wiretest.Conn) sock.Handler {
		s.peers = append(s.peers, &wiretest.Peer{Conn: c})
		return s.peers[len(s.peers)-1]
	})
	s.feed = NewFeed(s.Loop, s, "bulletin", wiretest.Site(), 4, func(complete bool, m []core.Member) {
		s.applied = append(s.applied, m...)
		if complete {
			s.completeLists++
		}
	}, s.Log())
	s.feed.Connect()
	s.Run()
	return s
}

func (s *fixture) lastPeer() *wiretest.Peer { return s.peers[len(s.peers)-1] }

// send writes to the latest connection and delivers it.
func (s *fixture) send(b []byte) {
	s.lastPeer().Write(b)
	s.Run()
}

// The feed requests the events after its last one, and passes on the members of changes and complete lists.
func TestFramesAreParsedIntoMembers(t *testing.T) {
	s := newFixture(t)
	if got := s.lastPeer().Take(); got != "\x00\x00\x00\x00\x00\x00\x00\x04" {
		t.Fatalf("sent %q", got)
	}
	s.send(frame(4, 0))
	s.send(frame(5, 2, record(0x00c41f7a, 1, 1)))
	s.send(frame(6, 1, record(1, 0, 0), record(2, 2, 0)))
	want := core.Member{Addr: "127.8.0.2:4100", Host: decide.Host{Name: "s-00c41f7a", Zone: 1, Cell: 7,
		State: decide.Draining, Weight: 1.5, Since: 1_700_000_000_123 * time.Millisecond}}
	if len(s.applied) != 3 || s.applied[0] != want || s.completeLists != 1 || s.feed.Last() != 6 {
		t.Errorf("applied %+v, %d complete lists, last event %d", s.applied, s.completeLists, s.feed.Last())
	}
}

// After a lost connection the feed reconnects and continues after its last event, within a fraction of MaxPropagation.
func TestFeedResumesAfterLastEvent(t *testing.T) {
	s := newFixture(t)
	s.send(frame(5, 2, record(1, 0, 0)))
	for name, breakConn := range map[string]func(){
		"closed":  func() { s.lastPeer().Close() },
		"silent":  func() { s.lastPeer().Blackholed = true },
		"garbage": func() { s.send([]byte{0, 0, 0, 1, 9}) },
		"state":   func() { s.send(frame(6, 2, record(1, 9, 0))) },
		"zone":    func() { s.send(frame(6, 2, record(1, 0, 9))) },
		"gap":     func() { s.send(frame(9, 2, record(1, 0, 0))) },
		"large":   func() { s.send([]byte{0xff, 0xff, 0xff, 0xff, 0}) },
	} {
		n := len(s.peers)
		breakConn()
		s.Advance(3 * time.Second)
		if len(s.peers) == n || s.lastPeer().Take() != "\x00\x00\x00\x00\x00\x00\x00\x05" {
			t.Errorf("%s: %d connections, %d before; or the wrong event was requested", name, len(s.peers), n)
		}
		s.send(frame(5, 2, record(1, 1, 0))) // received before, not applied again
	}
	if len(s.applied) != 1 {
		t.Errorf("applied %d changes, want 1", len(s.applied))
	}
}

// Move connects to the new address at once and requests the events after the last one, whatever state the feed is in: the old address may
// still be connected, be down or not answer.
func TestMoveConnectsToNewAddress(t *testing.T) {
	for name, prepare := range map[string]func(*fixture){
		"following":  func(s *fixture) {},
		"pausing":    func(s *fixture) { s.Listen("bulletin", nil); s.lastPeer().Close(); s.Run() },
		"connecting": func(s *fixture) { s.Unanswered["bulletin"] = true; s.lastPeer().Close(); s.Advance(firstBackoff) },
	} {
		s := newFixture(t)
		s.send(frame(5, 2, record(1, 0, 0)))
		old := s.lastPeer()
		prepare(s)
		s.Listen("new", func(c *wiretest.Conn) sock.Handler {
			s.peers = append(s.peers, &wiretest.Peer{Conn: c})
			return s.peers[len(s.peers)-1]
		})
		known := []Event{{No: 5}, {No: 6, Members: []core.Member{{Addr: "a:1"}}}, {No: 8}}
		s.feed.Move("new", known)
		s.Run()
		if s.lastPeer() == old || s.lastPeer().Take() != "\x00\x00\x00\x00\x00\x00\x00\x06" || !old.Ended || len(s.applied) != 2 {
			t.Fatalf("%s: %d connections, old one closed: %v, applied %v", name, len(s.peers), old.Ended, s.applied)
		}
		n := len(s.peers)
		s.send(frame(7, 2, record(2, 0, 0)))
		s.feed.Move("new", known) // the same address and events again change nothing
		for range 10 {            // nor do late callbacks and timers of the old address
			s.Advance(time.Second)
			s.send(frame(7, 0))
		}
		if len(s.peers) != n || len(s.applied) != 3 {
			t.Errorf("%s: %d connections, want %d; applied %d changes, want 3", name, len(s.peers), n, len(s.applied))
		}
	}
}

// A connection on which only pieces of an incomplete event arrive counts as silent and is replaced.
func TestPartialEventCountsAsSilence(t *testing.T) {
	s := newFixture(t)
	b, n := frame(5, 2, record(1, 0, 0)), len(s.peers)
	for i := range 6 {
		s.send(b[i : i+1])
		s.Advance(500 * time.Millisecond)
	}
	if len(s.peers) == n {
		t.Error("the feed still waits for the rest of the event")
	}
}

// While the bulletin is unreachable the feed keeps dialling at a bounded rate, and it continues soon after the bulletin is reachable again.
func TestRetriesWhileBulletinIsUnreachable(t *testing.T) {
	s := newFixture(t)
	s.lastPeer().Close()
	s.Unanswered["bulletin"] = true
	s.Advance(2 * time.Second)
	dials := s.Dials
	if s.Advance(5 * time.Second); s.Dials-dials < 4 || s.Dials-dials > 20 {
		t.Errorf("%d dials in 5 s, want 4 to 20", s.Dials-dials)
	}
	s.Unanswered["bulletin"] = false
	s.Advance(1500 * time.Millisecond)
	s.send(frame(5, 2, record(1, 0, 0)))
	if len(s.applied) != 1 {
		t.Errorf("applied %d changes after the bulletin was reachable again, want 1", len(s.applied))
	}
}

// ParseKnown returns the events of the configuration, and rejects malformed ones.
func TestParseKnown(t *testing.T) {
	no, events, err := ParseKnown([]byte(`{"no":41,"items":[{"no":41,"roster":{"revision":7,"complete":true,"members":[
		{"id":"s-00c41f7a","host_port":"10.1.0.9:4100","locality":"y","flavor":"std","cell":2,"phase":"leaving","size":4,
		"up_since_ms":12}]}}]}`), wiretest.Site())
	want := core.Member{Addr: "10.1.0.9:4100", Host: decide.Host{Name: "s-00c41f7a", Zone: 1, Cell: 2, Weight: 4,
		State: decide.Draining, Since: 12 * time.Millisecond}}
	if err != nil || no != 41 || len(events) != 1 || !events[0].Complete || events[0].Members[0] != want {
		t.Errorf("got event %d, events %+v, error %v", no, events, err)
	}
	for _, text := range []string{`[]`, `{"items":[{"roster":{"members":[{"id":"a","host_port":"x:1","locality":"y","phase":"active"}]}}]}`,
		`{"items":[{"roster":{"members":[{"id":"a","host_port":"1.1.1.1:1","locality":"?","phase":"active"}]}}]}`,
		`{"items":[{"roster":{"members":[{"id":"a","host_port":"1.1.1.1:1","locality":"y","phase":"?"}]}}]}`} {
		if _, _, err := ParseKnown([]byte(text), wiretest.Site()); err == nil {
			t.Errorf("%s was accepted", text)
		}
	}
}

// FuzzFeed runs a bulletin that publishes events, closes connections, stops answering and sends garbage at random. The changes applied must
// always be the first ones published, each once and in order, and in the end all of them.
func FuzzFeed(f *testing.F) {
	f.Add([]byte{0, 0, 1, 0, 2, 0, 3, 4, 0, 5}, 3)
	f.Add([]byte{0, 3, 0, 0, 3, 1, 1, 0, 4, 4, 2, 0}, 1)
	f.Fuzz(func(t *testing.T, steps []byte, chunk int) {
		s := newFixture(t)
		s.MaxChunk = max(0, min(chunk, 40))
		published, sentTo := uint64(4), map[*wiretest.Peer]uint64{}
		push := func() { // sends each connection the events that its client does not have
			for _, p := range s.peers {
				if _, ok := sentTo[p]; !ok && len(p.Received) == 8 {
					sentTo[p] = binary.BigEndian.Uint64(p.Received)
				}
				for last, ok := sentTo[p]; ok && last < published; last++ {
					p.Write(frame(last+1, 2, record(uint32(last+1), 0, 0)))
					sentTo[p] = last + 1
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
				s.lastPeer().Close()
			case 3:
				s.lastPeer().Blackholed = true
			case 4:
				s.Advance(time.Duration(step) * 20 * time.Millisecond)
			case 5:
				s.send([]byte{0, 0, 0, 2, step})
			}
			s.Run()
		}
		for range 20 { // in some of these rounds the feed has no connection
			s.Advance(300 * time.Millisecond)
			push()
		}
		for i, m := range s.applied {
			if m.Name != fmt.Sprintf("s-%08x", 5+i) {
				t.Fatalf("change %d is of worker %s, want s-%08x", i, m.Name, 5+i)
			}
		}
		if s.feed.Last() != published || len(s.applied) != int(published-4) {
			t.Errorf("last event %d, want %d; applied %d changes, want %d", s.feed.Last(), published, len(s.applied), published-4)
		}
	})
}
