package decide

import "time"

// NoticeKind says what a Notice is of.
type NoticeKind int

// The kinds of notice.
const (
	ListSilent NoticeKind = iota // the list has not spoken for Age; Leased of the Ready workers may still get new work
	ListSpeaks                   // the list has spoken again
)

// Notice is something that operators should see in the log.
type Notice struct {
	Kind          NoticeKind
	Age           time.Duration
	Leased, Ready int // workers
}
