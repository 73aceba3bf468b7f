package decide

// Reason says why a request is given up.
type Reason int

// The reasons. NotGivenUp is for a request that goes on.
const (
	NotGivenUp    Reason = iota
	OverShare            // its tenant is over its allowance, and the fleet is pressed
	NoTime               // a warm call would be later than its client waits
	NoAttempts           // it has had as many attempts as it may have
	MayHaveRun           // an attempt may have run, and its class forbids another now
	NoZone               // no worker is listed where alone it may run
	TooLate              // a warm call would be later than its class wants
	ListOutdated         // the list has been silent for too long, and no worker has shown that it does not drain
	ReasonsNumber        // how many reasons there are
)

var reasonNames = [ReasonsNumber]string{"not_given_up", "over_share", "no_time", "no_attempts", "may_have_run", "no_zone", "too_late", "list_outdated"}

// String is the reason's name in figures and log lines.
func (r Reason) String() string {
	if r < 0 || r >= ReasonsNumber {
		return "unknown"
	}
	return reasonNames[r]
}

var outcomeNames = [OutcomesNumber]string{"ok", "error", "full", "timeout", "no_connection", "reset", "cancelled", "not_sent", "miss"}

// String is the outcome's name in figures and log lines.
func (o Outcome) String() string {
	if o < 0 || o >= OutcomesNumber {
		return "unknown"
	}
	return outcomeNames[o]
}

// Note tells how a result found its function.
type Note int

// The notes of a result.
const (
	NoNote     Note = iota
	FoundWarm       // a copy stood loaded
	BeganLoad       // the request began a load
	WaitedLoad      // it waited for a load begun before
	LoadFailed
	NobodyListens // of NoConn: the connection was refused
	LocalFault    // of NoConn: the gateway's own machine had no socket for it
)
