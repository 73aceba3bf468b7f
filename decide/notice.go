package decide

import "time"

// NoticeKind is the kind of a Notice.
type NoticeKind int

// The kinds of notice.
const (
	ListSilent  NoticeKind = iota // nothing was received from the list for Age; Leased of the Ready workers may still get new work
	ListResumed                   // the list is received again
)

// Notice is a message for the operators' log.
type Notice struct {
	Kind          NoticeKind
	Age           time.Duration
	Leased, Ready int // numbers of workers
}
