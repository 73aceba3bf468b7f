package decide

import (
	"math/rand/v2"
	"time"

	"quillrail/internal/ranking"
)

// Tuning constants. Times that depend on the work are learnt from answers; the constants are ratios, counts
// and intervals.
const (
	sweepInterval = 10 * time.Millisecond // timer for held requests, overdue attempts and worker health
	workerQuantum = 24000                 // Qw of D2LPM: ms credited to a tenant's counter at a worker
	heldQuantum   = 400                   // Qu of DLPM: ms credited to a tenant's counter for held requests
	queueDepth    = 2                     // calls that may queue at a warm copy, in multiples of its lanes
	inflightBound = 1.5                   // a load skips workers above this multiple of the mean in flight

	// A worker that answers FULL gets no calls for this long. Also the least time between window reductions.
	fullPause = 200 * time.Millisecond

	unreservedShare = 0.2 // share of a worker's window for others while calls restricted to zones wait
	maxTenantSkew   = 2   // a gateway may see this multiple of its even share of a tenant's calls
	allowanceBurst  = 3   // seconds of a tenant's allowance that may be saved up
	maxOverdueShare = 0.4 // with more of the warm calls overdue, copies are no longer assumed to be loaded
	delayGain       = 0.3 // weight of an answer in the running delay of its worker
	hintWeight      = 0.7 // weight of a call's rough work hint against the mean of its class
	workPerCall     = 0.5 // hinted work in flight that counts as one call, in multiples of the mean work

	hedgeDevs    = 2                // at a worker that lost calls, hedge after mean + this many deviations
	lossFadeTime = 10 * time.Second // time over which the count of calls lost at a worker fades
	minLosses    = 1                // least count with which a worker is one that lost calls
	maxOvertaken = 3                // a call overtaken by this many later calls to its copy counts as lost
	overdueDevs  = 5                // a call is overdue after mean + this many deviations

	firstEjection   = 500 * time.Millisecond // least time for which a failing worker is ejected, doubling
	maxEjectedShare = 0.5                    // if more of the ready workers are unfit, none is ejected
	coldShare       = 0.8                    // share of a cold worker's budget that is used
	coldSlots       = 8                      // parts of CollapseAfter, each with a budget of its own
	workersPerLoad  = 4                      // one load in flight per this many while calls are late
	loadsPerWorker  = 2                      // loads at one worker that this gateway waits for at once
	meanGain        = 0.1                    // weight of a new sample in a running mean

	homeLoadShare  = 0.5              // share of a home's even load that one function should make up
	laneUseShare   = 0.5              // share of a function's lanes that its calls should occupy
	minHomeUse     = 0.25             // least mean number of calls in execution at each home
	forgetAfter    = 30 * time.Second // functions that were not called for this long are forgotten
	keepAliveShare = 0.6              // share of KeepAlive over which the count of own calls fades
	homeGrowth     = 1.01             // factor on homeFactor for each call to a copy that should be loaded
	homeShrink     = 0.8              // further factor if it was not loaded; the two balance at about 1 in 20
	rateFadeTime   = 4 * time.Second  // time over which rates fade

	minWindow, maxWindow         = 2, 32   // calls in flight at a worker; a window starts at the largest
	hedgeShare, hedgeBurst       = 0.2, 10 // hedges allowed per arriving call, and hedges saved up
	minHomeFactor, maxHomeFactor = 0.1, 2.0

	// A load that takes longer than slowLoadFactor times its hint is slow. Quicker ones let the number of
	// loads rise, up to maxLoadFactor times the usual number.
	slowLoadFactor, maxLoadFactor = 2, 8
)

// Scores of warm workers in chooseWarm: calls in flight, plus a step for what makes a worker less suitable.
const (
	spentStep   = 1 << 20 // the tenant's counter at the worker is spent
	queueStep   = 2 << 20 // all lanes of the copy are in use
	loadingStep = 3 << 20 // the copy is still being loaded
)

// Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	settings      Settings
	gateway       Gateway
	rng           *rand.Rand
	now           time.Duration
	listing       // the workers
	leaseTracking // the age of what is known about them
	funcs         map[string]*function
	requests      []*request              // by arrival, ended ones until the next sweep
	held          []*request              // in the order in which they leave (see request.before)
	kinds         map[callKind]*kindState // of the held requests; others may be left over
	passes        int                     // over the held requests, for releaseOne
	byID          map[uint64]*request
	classes       []classStat
	heldDeficit   []float64 // per tenant: Qu counter among held requests, in ms
	tokens        []float64 // per tenant: calls left of its allowance
	refilledAt    []time.Duration

	hedgeTokens      float64         // hedges that may be sent
	arrivals, orders []time.Duration // times within the ration's window
	servedRate       float64         // own calls served per second, as of servedAt, fading
	evenAllowance    float64         // even share of all tenants' allowances, calls per second
	departedWeight   float64         // workers that departed at listedAt, fading as servedRate does
	delay            float64         // running delay of own answers, at all workers (see classStat.record)
	loadTime         float64         // running mean of the time of calls that began a load, in ms
	meanWork         float64         // running mean of the hinted work of a call, in ms
	recentCalls      float64         // own calls as of calledAt, fading over callFadeTime
	overdueShare     float64         // share of recent warm calls that became overdue
	loads, maxLoads  int             // own loads in flight; their limit, or 0 for no limit
	loadFactor       float64         // multiple of the usual number of loads, from how quick loads are
	homeFactor       float64         // multiple of the wanted number of homes, from what memory allows

	servedAt, calledAt, prunedAt time.Duration
	delayedAt                    time.Duration // when the last answer counted in delay came
	listedAt                     time.Duration
	callFadeTime, restrictedAt   time.Duration // restrictedAt: last arrival of a call restricted to zones
}

// placement is what is assumed about a function's copy at a worker.
type placement struct {
	worker      *worker
	inflight    int
	sentAt      time.Duration
	confirmedAt time.Duration // when the last call was sent that found the copy loaded
	loaded      bool          // an answer has shown a loaded copy

	// Until this time an order for the copy may be in flight. If it is negative, the order has been answered,
	// and no other is sent before the absolute value.
	orderEnd time.Duration
}

type function struct {
	name        string
	hash        uint64
	lanes       int
	placements  []*placement // in the order in which all gateways rank the workers, while these are few
	order       ranking.Order[*worker]
	homes       int // as last calculated
	usedAt      time.Duration
	recentCalls float64 // own calls as of usedAt, fading
	served      bool    // some worker has answered a call of it
}

type request struct {
	id                   uint64
	class, tenant        int
	fn                   *function
	workHint, loadHint   float64 // ms
	arrived, deadline    time.Duration
	startBy              time.Duration // when it has to be sent to be in time, as of its last dispatch
	attempts             []attempt
	inflight             int // attempts without a result
	held, ended, streams bool
	zones                []int      // the only zones in which it may run; empty for any
	kind                 *kindState // while it is held
}

// noAttempt is the index of no attempt of a request.
const noAttempt = -1

type attempt struct {
	worker     *worker
	placement  *placement
	sentAt     time.Duration
	charged    float64 // ms taken from the tenant's counters so far
	warm       bool    // sent to a copy that should be loaded
	mayHaveRun bool    // cleared by an outcome that shows that nothing ran
	done       bool    // it has a result
	retracted  bool    // this gateway has stopped waiting for it
	overdue    bool    // counted as overdue
	held       bool    // its request was held before
	hedged     bool    // a hedge (a second attempt) was tried while this one was in flight
	overtaken  int     // calls sent to the same copy later that have been answered
}
