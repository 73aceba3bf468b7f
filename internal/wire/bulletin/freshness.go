package bulletin

import "time"

const (
	// MaxPropagation is how long after its publication an event counts as received by every gateway, whether or not it has arrived.
	MaxPropagation = 7 * time.Second

	heartbeatInterval = time.Second      // interval at which the bulletin sends empty frames
	maxLag            = 2 * time.Second  // a connection whose frames may be older than this is replaced
	renewInterval     = 10 * time.Second // least time between two such replacements
)

// freshness computes how old the frames of a connection may be. Frames carry no time, and delayed frames arrive as regularly as others.
// But the bulletin writes the first empty frame after the connection's request, and each further one a heartbeat interval after the
// previous one. This gives the earliest time at which a frame can have been written, however late it arrives.
type freshness struct {
	requestedAt time.Duration // when the connection requested the events after the last one received
	heartbeats  int           // empty frames received since
	gotFrame    bool          // a complete frame has been received
}

// start records that a connection has sent its request.
func (f *freshness) start(now time.Duration) { *f = freshness{requestedAt: now} }

// heartbeat counts an empty frame, and returns the latest time up to which the list received so far is certain to be complete.
func (f *freshness) heartbeat(now time.Duration) (asOf time.Duration) {
	f.heartbeats++
	return min(now, f.requestedAt+time.Duration(f.heartbeats-1)*heartbeatInterval)
}
