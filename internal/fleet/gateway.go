package fleet

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/roster"
)

// InitialState is the recovered state with which a gateway starts.
type InitialState struct {
	Roster    roster.Saved
	Module    *decide.Snapshot // nil if nothing is known
	Copies    []LoadedCopy     // copies that peers have found to be loaded
	List      []core.Member    // worker list, newer than the configuration's; nil if that is the newest
	ListEvent uint64           // event number of List
}

// LoadedCopy is a copy of a function that a call has found loaded at a worker.
type LoadedCopy struct {
	Function, Worker string
	ProvenAt         time.Duration // by the event loop's clock
}

// Gateway is the gateway as Recovery controls it. Its methods are called on the event loop.
type Gateway interface {
	Begin(initial InitialState) error // starts to follow the worker list; clients are not served yet
	Serve()                           // starts to serve clients
	Remember() *decide.Snapshot
	Saved() roster.Saved
	LastEvent() uint64 // number of the last event of the worker list that was applied
	Ban(roster.Ban)    // applies a ban from another gateway
	Unban(id string)   // applies the end of a ban from another gateway
	// AssumeRate sets the former rate of served calls, by which cold workers are assessed, and the largest number of loads in
	// progress; 0 means no assumption and no limit.
	AssumeRate(perSec float64, loads int)
	Hold(ids map[string]bool) // replaces the set of workers that are held back because peers list them as draining
}
