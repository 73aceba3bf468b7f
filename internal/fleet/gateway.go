package fleet

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/roster"
)

// Begin is what a gateway begins with.
type Begin struct {
	Roster roster.Saved
	Module *decide.Snapshot // nil: nothing is known
	Stands []Stand          // copies that others have found
	List   []core.Member    // newer than the configuration's, nil if that is the newest
	Event  uint64           // of List
}

// Stand is a copy of a function that was found at a worker, at a time of the turn's clock.
type Stand struct {
	Function, Worker string
	At               time.Duration
}

// Gateway is what coming back needs of its gateway. All of it is called on the turn.
type Gateway interface {
	Begin(b Begin) error // the list is followed from now on; clients are not served yet
	Serve()              // clients are served
	Remember() *decide.Snapshot
	Saved() roster.Saved
	Event() uint64      // the last event of the list that was taken
	Ban(roster.Ban)     // another gateway leaves a worker out
	CallBack(id string) // or uses it again
	// AssumeRate has cold workers judged by what was served before, and bounds the loads under way, 0 for no bound.
	AssumeRate(perSec float64, loads int)
	Hold(ids map[string]bool) // workers that others know to drain; in place of those held before
}
