package bulletin

import (
	"testing"
	"time"

	"quillrail/internal/wire/wiretest"
)

// late is a bulletin whose frames arrive so much later than they are written, on each connection from when it asked.
type late struct {
	*stand
	by    time.Duration
	due   map[*wiretest.Peer]time.Duration // when the next frame of a connection arrives
	beats map[*wiretest.Peer]time.Duration
}

// pass lets time pass with each connection's frames coming as they are due.
func (l *late) pass(d time.Duration) {
	for end := l.Now() + d; l.Now() < end; l.Pass(50 * time.Millisecond) {
		for _, p := range l.peers {
			if _, known := l.due[p]; !known {
				l.due[p] = l.Now() + l.by
			}
			if l.Now() >= l.due[p] && !p.Over {
				l.due[p] += time.Second
				l.beats[p]++
				p.Write(frame(4, 0))
				l.Run()
			}
		}
	}
}

// What is told of the list's age is never later than when it was written, however late frames come and however evenly; a
// bulletin that is seconds behind is heard all the same, and asked anew whether it still is. Guards against taking what
// arrives for what is so: a bulletin that is behind sounds like one that is not.
func TestListIsAsOldAsItsFramesMayBe(t *testing.T) {
	for _, by := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, 5 * time.Second, 9 * time.Second} {
		l := &late{newStand(t), by, map[*wiretest.Peer]time.Duration{}, map[*wiretest.Peer]time.Duration{}}
		var asOf time.Duration
		heard := 0
		l.feed.Current = func(at time.Duration) {
			if asOf = at; at > l.Now()-by {
				t.Errorf("%v late: as of %v, written by %v at the latest", by, at, l.Now()-by)
			}
			heard++
		}
		l.pass(40 * time.Second)
		if heard < 5 {
			t.Errorf("%v late: heard %d times in 40 s", by, heard)
		}
		if by < time.Second && (l.Now()-asOf > 2*time.Second || len(l.peers) > 1) {
			t.Errorf("%v late: %v old at the end, after %d connections", by, l.Now()-asOf, len(l.peers))
		}
		if by >= 3*time.Second && len(l.peers) > 25 {
			t.Errorf("%v late: %d connections", by, len(l.peers))
		}
	}
}
