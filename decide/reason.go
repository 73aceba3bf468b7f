package decide

// Reason is why a request is given up.
type Reason int

// The reasons. NotGivenUp is for a request that may still be served.
const (
	NotGivenUp   Reason = iota
	OverShare           // its tenant has used up its allowance, and the fleet is overloaded
	NoTime              // its caller's time is too short for a warm call of its work
	NoAttempts          // it has had MaxAttempts attempts
	MayHaveRun          // an attempt may have run, and its class does not allow another
	NoZone              // no worker is listed in the zones to which it is restricted
	TooLate             // the calls that wait ahead of it take its caller's time, or fill the queue
	ListOutdated        // the list has been silent for too long, and no worker has shown that it is not draining
	ReasonCount         // number of reasons
)

var reasonNames = [ReasonCount]string{"not_given_up", "over_share", "no_time", "no_attempts", "may_have_run",
	"no_zone", "too_late", "list_outdated"}

// String returns the reason's name in metrics and log lines.
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

var outcomeNames = [OutcomeCount]string{"ok", "error", "full", "timeout", "no_connection", "reset", "cancelled", "not_sent", "miss"}

// String returns the outcome's name in metrics and log lines.
func (o Outcome) String() string {
	if o < 0 || o >= OutcomeCount {
		return "unknown"
	}
	return outcomeNames[o]
}

// Note is how a call found its function at the worker.
type Note int

// The notes of a result.
const (
	NoNote     Note = iota
	FoundWarm       // a copy was loaded
	BeganLoad       // the request started a load
	WaitedLoad      // it waited for a load that had started before
	LoadFailed
	ConnectionRefused // with NoConn: the connection was refused
	LocalFault        // with NoConn: the gateway's own machine had no free socket
)
