package simulation

import (
	"math"
	"math/rand/v2"

	"quillrail/internal/fleet/change"
)

// report and heartbeat are the messages between gateways other than entries. They have the encoded fields of package agreement, so
// that their sizes are realistic.
type (
	report struct {
		Name, Hall, Version, Config string
		Incarnation                 uint64 `msgpack:"Life"`
		ID                          uint64
		Serving, Warm               bool
		Load                        float64
		Classes                     []change.Tally
	}
	heartbeat struct {
		Index, Hash uint64
		At          int64
		Name        string
	}
)

// gateway is a simulated gateway. Times are in simulated ms.
type gateway struct {
	subject                      change.Subject
	hall                         string
	version                      string
	incarnation                  uint64
	restartEndsAt                int64 // 0: the gateway is up
	nextVersion                  string
	restartAt                    int64   // 0: no restart is scheduled
	failureFactor, latencyFactor float64 // by how much its failure rate and latency differ from the base values
	counts                       change.Counts
	reported                     change.Counts // as of the last report
}

// superviseRestarts uses granted permits and restarts gateways that have a pending change, as the gateways and their supervisors do.
func (s *simulator) superviseRestarts() {
	for _, g := range s.gateways {
		q := s.state.PermitOf(g.subject)
		if q != nil && q.Phase == change.Granted && q.Holder != "" {
			s.apply(change.Proposal{Kind: "use", Body: change.PermitBody{ID: q.ID, Holder: g.subject.Name(), Incarnation: g.incarnation}})
		}
		if what, to, _ := s.state.PendingChange(g.subject.Name()); what != "" && to != g.version && g.restartAt == 0 {
			g.nextVersion, g.restartAt = to, s.now+supervisorDelayMs+s.rng.Int64N(500)
		}
		s.restart(g)
	}
}

func (s *simulator) restart(g *gateway) {
	if g.restartAt != 0 && s.now >= g.restartAt {
		g.restartAt, g.version = 0, g.nextVersion
		g.incarnation++
		g.counts = change.Counts{Incarnation: g.incarnation, Classes: make([]change.Tally, classCount)}
		g.restartEndsAt = s.now + restartMs
		if s.options.Fault == Crash && g.version == "v2" {
			g.restartEndsAt = math.MaxInt64
		}
	}
	if g.restartEndsAt != 0 && s.now >= g.restartEndsAt {
		g.restartEndsAt = 0
	}
}

// scheduleBaseline schedules the restarts of the baseline strategies: all at once, or a tenth of the gateways every 30 s.
func (s *simulator) scheduleBaseline() {
	for i, g := range s.gateways {
		g.nextVersion, g.restartAt = "v2", s.now+tickMs
		if s.options.Strategy == FixedBatches {
			g.restartAt += int64(10*i/len(s.gateways)) * 30_000
		}
	}
}

// serve simulates the calls of one tick at a gateway.
func (s *simulator) serve(g *gateway) {
	if s.options.Strategy != Supervised {
		s.restart(g)
	}
	baseRate, latency := baseFailureRate*g.failureFactor, g.latencyFactor
	if s.options.SharedIncident && s.now > warmUpMs+20_000 && s.now < warmUpMs+60_000 {
		baseRate, latency = 10*baseRate, 1.5*latency
	}
	for n := poisson(s.rng, s.options.CallsPerSecond*tickMs/1000); n > 0; n-- {
		class, x := 0, s.rng.Float64()
		for x > classShares[class] && class < classCount-1 {
			x -= classShares[class]
			class++
		}
		t := &g.counts.Classes[class]
		s.calls++
		if g.restartEndsAt != 0 {
			s.lostCalls++
			continue
		}
		failureRate, ms := baseRate, latency*medianMs*math.Exp(sigma*s.rng.NormFloat64())
		if g.version == "v2" {
			switch s.options.Fault {
			case OneClassFails:
				if class == 1 {
					failureRate += 0.05
				}
			case SlowTail:
				if s.rng.Float64() < 0.03 { // so many calls that the 99th percentile doubles
					ms = latency * medianMs * math.Exp(sigma*2.33) * 2 * (1 + 0.2*s.rng.Float64())
				}
			case TenPercentSlower:
				ms *= 1.1
			}
		}
		if s.rng.Float64() < failureRate {
			t.Failed++
			s.lostCalls++
			continue
		}
		t.Served++
		t.Latency[change.Bucket(ms)]++
		if ms > deadlineMs {
			s.lostCalls++
		}
	}
}

// poisson returns a random number with a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for l := rng.ExpFloat64(); l < mean; l += rng.ExpFloat64() {
		n++
	}
	return n
}
