package bulletin

import (
	"testing"
	"time"

	"quillrail/internal/wire/wiretest"
)

// delayedFixture is a bulletin whose frames arrive with a delay. On each connection it writes the first frame when the connection is
// established.
type delayedFixture struct {
	*fixture
	delay       time.Duration
	nextFrameAt map[*wiretest.Peer]time.Duration // when the next frame of a connection arrives
	heartbeats  map[*wiretest.Peer]time.Duration // number of frames sent on a connection
}

// passWithFrames lets time pass, and delivers each connection's frames when they are due.
func (l *delayedFixture) passWithFrames(d time.Duration) {
	for end := l.Now() + d; l.Now() < end; l.Advance(50 * time.Millisecond) {
		for _, p := range l.peers {
			if _, known := l.nextFrameAt[p]; !known {
				l.nextFrameAt[p] = l.Now() + l.delay
			}
			if l.Now() >= l.nextFrameAt[p] && !p.Ended {
				l.nextFrameAt[p] += time.Second
				l.heartbeats[p]++
				p.Write(frame(4, 0))
				l.Run()
			}
		}
	}
}

// The time up to which the list is reported as complete is never later than when its frames were written, however late and regularly they
// arrive. A bulletin that is delayed by seconds is still followed, and the feed reconnects at intervals in case the delay has ended. The
// test guards against taking frames for recent because they arrive: delayed frames look the same as others.
func TestListAgeIsNeverUnderestimated(t *testing.T) {
	for _, delay := range []time.Duration{0, 300 * time.Millisecond, 3 * time.Second, 5 * time.Second, 9 * time.Second} {
		l := &delayedFixture{newFixture(t), delay, map[*wiretest.Peer]time.Duration{}, map[*wiretest.Peer]time.Duration{}}
		var asOf time.Duration
		calls := 0
		l.feed.OnListCurrent = func(at time.Duration) {
			if asOf = at; at > l.Now()-delay {
				t.Errorf("delay %v: list reported complete as of %v, but written by %v at the latest", delay, at, l.Now()-delay)
			}
			calls++
		}
		l.passWithFrames(40 * time.Second)
		if calls < 5 {
			t.Errorf("delay %v: OnListCurrent was called %d times in 40 s, want at least 5", delay, calls)
		}
		if delay < time.Second && (l.Now()-asOf > 2*time.Second || len(l.peers) > 1) {
			t.Errorf("delay %v: list is %v old after %d connections, want at most 2s after 1", delay, l.Now()-asOf, len(l.peers))
		}
		if delay >= 3*time.Second && len(l.peers) > 25 {
			t.Errorf("delay %v: %d connections, want at most 25", delay, len(l.peers))
		}
	}
}
