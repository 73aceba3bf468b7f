package decide

import (
	"math/rand/v2"
	"time"

	"quillrail/internal/ranking"
)

// Tuned constants. Times that depend on the work are learnt; what is here is dimensionless or a pace.
const (
	sweepEvery   = 10 * time.Millisecond  // pace of the timer: release, patience, health
	quantumW     = 24000                  // Qw, ms of latency a tenant may take from a worker in a turn
	quantumU     = 400                    // Qu, ms of latency a tenant may take in a turn of the held
	queueDepth   = 2                      // calls a warm copy may have waiting, in multiples of its lanes
	loadBound    = 1.5                    // a new load skips workers this far above the mean in flight
	crowdPause   = 200 * time.Millisecond // a full worker is left alone so long; pace of closing windows
	yieldPart    = 0.24                   // while answers take more than this part of the aim,
	yieldRoom    = 0.2                    // calls of less worth may fill this part of the window
	aimPart      = 0.4                    // warm latency above this part of the aim closes the window
	unevenPart   = 2                      // a gateway may see so many times its even part of a tenant's calls
	shareBurst   = 3                      // seconds of a tenant's allowance that may be saved up
	doubtMost    = 0.4                    // with this part of the warm calls overdue, copies are doubted
	jamPart      = 0.25                   // a mean latency above this part of the aim presses the fleet
	gainPart     = 0.3                    // weight of an answer in the running mean of its worker
	unseenCalls  = 10                     // a latency of one aim counts as so many calls of others there
	hopeDevs     = 3                      // a held call is given up if one of mean + so many deviations,
	hopeMost     = 0.85                   // or of this part of the aim, would be late
	hintTrust    = 0.7                    // weight of a call's rough hint against the mean of its class
	owedUnit     = 0.5                    // hinted work in flight that counts as one call, in mean calls
	quietPart    = 0.15                   // part of the aim that the work of a class may well take
	latePart     = 0.7                    // and our own answers of late, FULL ones as 1
	secondDevs   = 2                      // due after mean + so many deviations where calls were lost of late
	lostOver     = 10 * time.Second       // that is, over this
	lostEnough   = 1                      // so many, reckoned with their fading
	secondPassed = 3                      // so many later calls answered by a copy say that one was lost
	patienceDevs = 5                      // a call is overdue after mean + so many deviations
	asideFirst   = 500 * time.Millisecond // a failing worker is set aside so long at first, then doubling
	outMost      = 0.5                    // at most this part of the fleet is judged unfit; else nobody
	coldSafety   = 0.8                    // part of the cold budget that is used
	coldSlots    = 8                      // parts of FallFor that are budgeted each for itself
	fewLoads     = 4                      // where warm calls are late, loads at one worker in so many
	loadsEach    = 2                      // loads at one worker that this gateway waits for at once
	gainFast     = 0.1                    // weight of a new sample in a running mean
	homePart     = 0.5                    // part of a worker's even load that one function should make up
	lanePart     = 0.5                    // part of a function's lanes that its calls should take up
	leastPart    = 0.25                   // of a call at work at each home
	forgetAfter  = 30 * time.Second       // what nobody called for so long is forgotten
	fadePart     = 0.6                    // part of the keep-alive over which a gateway counts its own calls
	spreadUp     = 1.01                   // homes grow so with each call that found its copy
	spreadDown   = 0.8                    // and shrink so with each that did not: 1 in 20 may fail
	lately       = 4 * time.Second        // over which rates are counted

	windowMin, windowMost   = 2, 32   // bounds of the in-flight window of a worker; it begins at the largest
	pinnedWorth             = 1e9     // more than any class is worth
	secondPart, secondBurst = 0.2, 10 // second copies by calls taken, and saved up
	spreadLeast, spreadMost = 0.1, 2.0
	loadSlow, bearMost      = 2, 8 // loads quicker than so many times their hint may be so many times more
)

// Router decides for one gateway. It is not safe for concurrent use.
type Router struct {
	set          Settings
	gw           Gateway
	rng          *rand.Rand
	now          time.Duration
	listing      // the workers
	outdating    // how old what is known of them is
	funcs        map[string]*function
	open, held   []*request // in order of arrival, ended ones dropped at the sweep; by worth
	byID         map[uint64]*request
	classes      []classStat
	turn, tokens []float64 // Qu counters and allowances, a tenant each
	refilled     []time.Duration

	seconds                  float64         // second copies that may be sent
	arrivals, orders         []time.Duration // times within the ration's window
	goodRate                 float64         // own calls served a second, running
	fleet                    float64         // even part of all allowances, calls a second
	left                     float64         // workers no longer ready, fading as what they served does
	late                     float64         // latency as a part of the aim, of late, all workers
	work                     float64         // ms of hinted work of a call, running
	calls                    float64         // own calls of late, fading
	doubt                    float64         // part of the warm calls of late that became overdue
	loads, most              int             // loads under way; most, or 0 for any number
	bear                     float64         // times the usual number of loads, by how quick they are
	spread                   float64         // how freely functions are given homes, by what the memory bears
	goodAt, calledAt, pruned time.Duration
	listedAt                 time.Duration
	span, pinnedAt           time.Duration // own calls fade over it; of the last kept call
}

type place struct { // a believed-warm worker of a function
	w                *worker
	inflight         int
	lastSend, proven time.Duration // proven: when the last call was sent that found the copy
	loaded           bool          // an answer has shown a loaded copy
	ordered          time.Duration // an order for it may be out until then; below 0: failed, none until that
}

type function struct {
	name   string
	hash   uint64
	lanes  int
	places []*place // in the order in which all gateways rank their workers while these are few
	order  ranking.Order[*worker]
	homes  int // as last reckoned
	usedAt time.Duration
	calls  float64 // own calls of late, fading
	served bool    // one has been answered by some worker
}

type request struct {
	id                   uint64
	class, tenant        int
	fn                   *function
	work, load, worth    float64 // ms, by its hints; of its class
	arrived, deadline    time.Duration
	attempts             []attempt
	out                  int
	held, ended, streams bool
	zones                []int // where alone it may run
}

type attempt struct {
	w             *worker
	p             *place
	at            time.Duration
	charged       float64 // ms taken from the counters so far
	warm          bool    // sent to a copy that should stand
	mayRun        bool    // cleared by an outcome that proves otherwise
	done, cut     bool    // ended; retracted by us
	late          bool    // overdue, and held against its worker
	held, doubled bool    // released from hold; a second copy was tried
	passed        int     // calls sent later to its worker that have been answered
}

type classStat struct{ mean, dev, work float64 } // ms: of a warm call, and its mean hint
