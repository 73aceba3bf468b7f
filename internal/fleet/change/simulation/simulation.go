// Package simulation simulates releases over fleets that are too large to run on one machine, for which it has not enough sockets.
// It has a simulated clock. Permits, batches, comparisons and limits are those of package change; gateways, their calls and their
// supervisors are simple models. Runs with the same seed and options are identical.
package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
)

// Fault is a fault of the new version.
type Fault string

// The faults.
const (
	NoFault          Fault = ""
	Crash            Fault = "crash" // the process ends as soon as it has started
	OneClassFails    Fault = "fails" // 5 % of the calls of one class fail
	SlowTail         Fault = "slow"  // the slowest 1 % of the calls take twice as long
	TenPercentSlower Fault = "tenth" // every call takes 10 % longer
)

// Strategy is how a release is rolled out over the fleet.
type Strategy string

// The strategies: Supervised is that of package change, the others are baselines to compare it with.
const (
	Supervised   Strategy = "ours"
	AllAtOnce    Strategy = "all at once"
	FixedBatches Strategy = "fixed batches"
)

// Options configure a run.
type Options struct {
	Seed            uint64
	Gateways, Halls int
	CallsPerSecond  float64 // at each gateway
	Fault           Fault
	SharedIncident  bool // for 40 s calls at all gateways fail 10 times as often and take 1.5 times as long
	UnevenGateways  bool // gateways differ in how often their calls fail and how long they take
	Strategy        Strategy
	Release         change.Release
	Limits          change.Limits
	MaxMs           int64 // simulated time after which the run ends, with the warm-up
}

// Result holds the outcome and the costs of a run. Times are simulated.
type Result struct {
	HaltReason     string  // why the release was halted, "" if it completed
	MaxReached     float64 // largest fraction of the fleet that had the new version at one time
	HaltOrEndMs    int64   // from the beginning of the release to its halt or end
	RollbackMs     int64   // from the halt until all gateways had the former version again, 0: no rollback
	LostCalls      float64 // calls that were not served within their deadline
	LostFraction   float64 // LostCalls as a fraction of all calls since the release began
	LengthMs       int64   // from the beginning of the release to the end of the run
	MaxUnavailable int     // largest number of gateways that were down at one time
	Entries        int     // applied log entries
	Bytes          float64 // of messages, per gateway
	Messages       float64 // per gateway
	Completed      bool
}

const (
	tickMs            = 100
	classCount        = 3
	deadlineMs        = 200.0 // a later answer counts as lost
	baseFailureRate   = 0.004
	medianMs          = 40.0 // latency of calls is log-normal with this median
	sigma             = 0.6  // and this standard deviation of its logarithm
	restartMs         = 400  // duration of a restart
	supervisorDelayMs = 700  // least delay before a supervisor restarts a gateway
)

var classShares = [classCount]float64{0.55, 0.35, 0.10}

// Run simulates one release.
func Run(options Options) Result {
	rng := rand.New(rand.NewPCG(options.Seed, 7))
	var gateways []*gateway
	state := change.NewState(options.Limits)
	var updates []change.StatusUpdate
	for i := range options.Gateways {
		g := &gateway{subject: change.NewSubject(change.Gateway, fmt.Sprintf("g%03d", i)), hall: fmt.Sprint("hall", i%options.Halls), version: "v1",
			incarnation: 1, failureFactor: 1, latencyFactor: 1}
		if options.UnevenGateways {
			g.failureFactor, g.latencyFactor = math.Exp(0.3*rng.NormFloat64()), math.Exp(0.05*rng.NormFloat64())
		}
		g.counts = change.Counts{Incarnation: 1, Classes: make([]change.Tally, classCount)}
		g.reported = copyCounts(g.counts)
		gateways = append(gateways, g)
		updates = append(updates, change.StatusUpdate{Subject: g.subject, SubjectStatus: change.SubjectStatus{Hall: g.hall,
			Health: change.Healthy, Incarnation: 1, Version: "v1"}, Witnesses: []string{"x", "y"}})
	}
	state.UpdateStatuses(change.Context{Index: 1, At: 1}, updates)
	driver := change.NewDriver()
	s := &simulator{options: options, rng: rng, gateways: gateways, state: state, driver: driver, index: 1}
	for s.now = tickMs; s.now <= options.MaxMs; s.now += tickMs {
		if s.step() {
			break
		}
	}
	return s.finalResult()
}

type simulator struct {
	options   Options
	rng       *rand.Rand
	gateways  []*gateway
	state     *change.State
	driver    *change.Driver
	now       int64  // simulated time, ms
	index     uint64 // of the last entry
	release   *change.Release
	res       Result
	calls     float64 // since the release began
	lostCalls float64 // since the release began
	haltedAt  int64   // 0: not halted or ended
	bytes     float64 // of all messages
	messages  float64
}

const reportEveryMs = 500

// WarmUp is how long a fleet is simulated before the release begins.
const WarmUp = warmUpMs * time.Millisecond

const warmUpMs = 60_000

func copyCounts(c change.Counts) change.Counts {
	return change.Counts{Incarnation: c.Incarnation, Classes: append([]change.Tally(nil), c.Classes...)}
}

// step simulates one tick, and reports whether the run is over.
func (s *simulator) step() bool {
	for _, g := range s.gateways {
		s.serve(g)
	}
	if s.now == warmUpMs {
		r := s.options.Release
		s.release = &r
		switch s.options.Strategy {
		case Supervised:
			s.apply(change.Proposal{Kind: "begin", Body: &r})
		default:
			s.scheduleBaseline()
		}
	}
	if s.now%reportEveryMs == 0 {
		for _, g := range s.gateways {
			g.reported = copyCounts(g.counts)
			s.countMessage(report{Name: g.subject.Name(), Hall: g.hall, Version: g.version, Incarnation: g.incarnation, Serving: true,
				Warm: true, Load: s.options.CallsPerSecond,
				Classes: g.reported.Classes}, 2) // to the voter that the gateway follows, which sends it on to the leader
			s.countMessage(heartbeat{Index: s.index, Hash: 1 << 62, At: s.now, Name: "leader"}, 1)
		}
	}
	if s.options.Strategy == Supervised {
		for _, x := range s.driver.Drive(s.state, s.view()) {
			s.apply(x)
		}
		s.superviseRestarts()
	}
	return s.updateResult()
}

// countMessage adds a message that is sent the given number of times to the costs.
func (s *simulator) countMessage(v any, times int) {
	b, _ := msgpack.Marshal(v)
	s.bytes += float64(len(b) * times)
	s.messages += float64(times)
}

func (s *simulator) view() *change.View {
	v := &change.View{Context: change.Context{Index: s.index, At: s.now}, Self: "leader", Subjects: map[change.Subject]change.Observation{},
		Samples: map[string]change.Sample{}, Classes: classCount}
	for _, g := range s.gateways {
		v.Load += s.options.CallsPerSecond
		h := change.Healthy
		if g.restartEndsAt != 0 {
			h = change.Unavailable
		}
		v.Subjects[g.subject] = change.Observation{Hall: g.hall, Health: h, Incarnation: g.incarnation, Version: g.version,
			Witnesses: []string{"x", "y"}}
		v.Samples[g.subject.Name()] = change.Sample{Hall: g.hall, Counts: g.reported}
	}
	return v
}

// apply applies an entry, which is sent to every gateway.
func (s *simulator) apply(x change.Proposal) {
	s.index++
	c := change.Context{Index: s.index, At: s.now}
	if change.Apply(s.state, c, "leader", 1, x) == nil {
		s.res.Entries++
		s.countMessage(x, len(s.gateways))
	}
}

// updateResult records the progress of the release, and reports whether the run is over.
func (s *simulator) updateResult() bool {
	unavailable, changed, unchanged := 0, 0, 0
	for _, g := range s.gateways {
		if g.restartEndsAt != 0 {
			unavailable++
		}
		if g.version == "v2" {
			changed++
		} else {
			unchanged++
		}
	}
	s.res.MaxUnavailable = max(s.res.MaxUnavailable, unavailable)
	s.res.MaxReached = max(s.res.MaxReached, float64(changed)/float64(len(s.gateways)))
	if s.now < warmUpMs {
		s.calls, s.lostCalls = 0, 0
		return false
	}
	if s.options.Strategy != Supervised {
		s.res.HaltOrEndMs = s.now - warmUpMs
		s.res.Completed = changed == len(s.gateways)
		return s.res.Completed && s.now-warmUpMs > 300_000
	}
	r := s.state.Releases[len(s.state.Releases)-1]
	if s.haltedAt == 0 && (r.Status != change.Running || r.Backward) {
		s.haltedAt, s.res.HaltOrEndMs = s.now, s.now-warmUpMs
		s.res.HaltReason, s.res.Completed = r.Reason, r.Status == change.Done
		if s.res.Completed {
			s.res.HaltReason = ""
		}
	}
	if r.Status == change.RolledBack && unchanged == len(s.gateways) && unavailable == 0 {
		s.res.RollbackMs = s.now - s.haltedAt
		return true
	}
	return r.Status == change.Done || s.haltedAt != 0 && !r.AutoRollback
}

func (s *simulator) finalResult() Result {
	s.res.LostCalls, s.res.LostFraction = s.lostCalls, s.lostCalls/max(1, s.calls)
	s.res.LengthMs = s.now - warmUpMs
	s.res.Bytes, s.res.Messages = s.bytes/float64(len(s.gateways)), s.messages/float64(len(s.gateways))
	return s.res
}
