package bulletin

import "time"

const (
	// ToldWithin is how long after it was published an event counts as told to every gateway, come or not.
	ToldWithin = 7 * time.Second

	beat      = time.Second      // the bulletin sends an empty frame each
	lagMost   = 2 * time.Second  // frames that may be older than this are asked for anew,
	lagRenews = 10 * time.Second // once in so long
)

// freshness reckons how old what a connection brings may be. Frames carry no time, and what is delayed on its way arrives
// as steadily as what is not. But the first empty frame was written after the connection had asked, and each further one
// a beat after the one before: so much is certain however late they arrive.
type freshness struct {
	asked time.Duration // when the connection asked for what it does not have
	beats int           // empty frames since
	spoke bool          // any whole frame has come
}

// ask notes that a connection has asked.
func (f *freshness) ask(now time.Duration) { *f = freshness{asked: now} }

// beaten takes an empty frame and returns the latest time at which the list is sure to have been complete with what has come.
func (f *freshness) beaten(now time.Duration) (asOf time.Duration) {
	f.beats++
	return min(now, f.asked+time.Duration(f.beats-1)*beat)
}
