package fleettest

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// soak applies one step after the other to a fleet under load, by a plan drawn from the seed. Each step ends before the next one begins.
type soak struct {
	t       *testing.T
	fleet   *lab.Lab
	traffic *lab.Traffic
	rng     *rand.Rand
	agreed  agreedSoak
}

// soakSteps are the steps of a soak. A plan is drawn from the sorted names, so the plan of a seed depends on their order.
var soakSteps = map[string]func(s *soak){
	"a gateway is ended": func(s *soak) { s.restart() },
	"signals in series": func(s *soak) {
		gateway := s.gateway()
		gateway.Signals(syscall.SIGHUP, syscall.SIGHUP)
		s.serve(20)
		gateway.Signals(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
		s.endGracefully(gateway)
	},
	"a gateway is ended by two signals": func(s *soak) {
		gateway := s.gateway()
		gateway.Signals(syscall.SIGTERM, syscall.SIGTERM)
		s.endGracefully(gateway)
	},
	"a gateway is killed": func(s *soak) {
		gateway := s.gateway()
		gateway.Kill()
		s.serve(40)
		s.start(gateway)
	},
	"a gateway pauses": func(s *soak) {
		gateway := s.gateway()
		gateway.Pause()
		s.serve(200 + s.rng.IntN(1200))
		gateway.Resume()
	},
	"a gateway is upgraded": func(s *soak) {
		if err := s.gateway().Upgrade(); err != nil {
			s.t.Error(err)
		}
	},
	"a burst of requests":               func(s *soak) { s.traffic.Burst(s.gateway(), 100+s.rng.IntN(150)) },
	"a burst as a gateway ends":         func(s *soak) { g := s.gateway(); s.traffic.Burst(g, 60); s.endGracefully(g) },
	"a worker drains":                   func(s *soak) { s.drain(s.worker()) },
	"the lists are unreachable":         func(s *soak) { s.outage(true) },
	"the lists are unreachable briefly": func(s *soak) { s.outage(false) },
	"a list is slow": func(s *soak) {
		s.gateway().DelayBulletin(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
		s.serve(200)
		s.drain(s.worker())
		s.fleet.HealBulletins()
	},
	"links are reset": func(s *soak) {
		for range 3 {
			s.gateway().Link(s.rng.IntN(len(s.fleet.Workers))).Reset()
			s.serve(20)
		}
	},
	"a link is partitioned": func(s *soak) {
		link := s.gateway().Link(s.rng.IntN(len(s.fleet.Workers)))
		link.Cut()
		s.serve(100)
		link.Heal()
	},
	"the clock is stepped": func(s *soak) {
		if err := s.fleet.StepClocks(time.Duration(2*s.rng.IntN(2)-1) * time.Hour); err != nil {
			s.t.Error(err)
		}
	},
}

// gateway returns a random gateway.
func (s *soak) gateway() *lab.Gateway { return s.fleet.Gateways[s.rng.IntN(len(s.fleet.Gateways))] }

// worker returns a random worker.
func (s *soak) worker() *lab.Worker { return s.fleet.Workers[s.rng.IntN(len(s.fleet.Workers))] }

func (s *soak) serve(n int) { awaitServed(s.t, s.traffic, n) }

func (s *soak) start(g *lab.Gateway) {
	if err := g.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// endGracefully terminates a gateway as the platform does, while its clients go on until the earliest time at which it may be killed, and
// starts it again.
func (s *soak) endGracefully(g *lab.Gateway) {
	if !g.TerminateOrKill() {
		s.t.Errorf("%s did not end by itself before the earliest kill:\n%s", g.Name, g.Process().Log())
	}
	s.start(g)
}

func (s *soak) restart() { s.endGracefully(s.gateway()) }

// drain drains a worker, serves calls beyond its grace period so that forbidden ones would be counted, and restarts it.
func (s *soak) drain(w *lab.Worker) {
	w.Drain()
	s.serveUntilGraceEnds(w)
	if err := w.Restart(); err != nil {
		s.t.Error(err)
	}
}

// serveUntilGraceEnds waits until the grace period of a draining worker is over and 300 more calls have been served.
func (s *soak) serveUntilGraceEnds(w *lab.Worker) {
	for !w.DrainGraceOver() {
		s.serve(50)
	}
	s.serve(300)
}

// outage makes the lists unreachable while one or two workers drain, and then restores lists and workers. If untilGraceEnds is set, the
// outage lasts until the drain counts as known to the gateways and the grace period is over.
func (s *soak) outage(untilGraceEnds bool) {
	if s.rng.IntN(2) == 0 {
		s.fleet.CutBulletins()
	} else {
		s.fleet.RefuseBulletins()
	}
	s.serve(20 + s.rng.IntN(60))
	drained := s.rng.Perm(len(s.fleet.Workers))[:1+s.rng.IntN(2)]
	for _, i := range drained {
		s.fleet.Workers[i].Drain()
	}
	s.disturb(s.gateway())
	if s.serve(200 + s.rng.IntN(1500)); untilGraceEnds {
		s.serveUntilGraceEnds(s.fleet.Workers[drained[0]])
	}
	s.fleet.HealBulletins()
	for _, i := range drained {
		if err := s.fleet.Workers[i].Restart(); err != nil {
			s.t.Error(err)
		}
	}
	s.serve(100)
}

// disturb kills, ends or upgrades a gateway, or does nothing, at random.
func (s *soak) disturb(g *lab.Gateway) {
	switch s.rng.IntN(4) {
	case 0:
		g.Kill()
		s.serve(40)
		s.start(g)
	case 1:
		s.endGracefully(g)
	case 2:
		if err := g.Upgrade(); err != nil {
			s.t.Error(err)
		}
	}
}

// run draws and executes a plan of the given number of steps.
func (s *soak) run(steps map[string]func(*soak), length int) {
	plan := drawPlan(s.rng, steps, length)
	s.t.Logf("plan: %s", strings.Join(plan, "; "))
	for _, name := range plan {
		s.fleet.Logf("%s", name)
		steps[name](s)
		s.serve(60)
	}
}

// finish ends the traffic and checks that no rule was broken, that only calls in flight at a killed or paused gateway were lost, and that
// all gateways still run.
func (s *soak) finish() {
	requireNoLostCalls(s.t, endAndCheck(s.t, s.fleet, s.traffic), s.traffic)
	for _, g := range s.fleet.Gateways {
		if !g.Process().Running() {
			s.t.Errorf("%s has ended unexpectedly:\n%s", g.Name, g.Process().Log())
		}
	}
}

// envNumber returns a number from the environment, or the fallback if it is unset or no number, for soaks that are run by hand.
func envNumber(name string, fallback uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return fallback
}

// Gateways are ended, signalled, killed, paused and upgraded, lists become unreachable, workers drain, bursts of requests arrive and
// clocks are stepped, while clients keep using every connection that stays open: no rule is broken, and only calls that a killed or
// paused gateway had in flight are lost. QUILLRAIL_SOAK_STEPS sets the length of the plan, and QUILLRAIL_FLEET_SEED selects another one.
func TestSoak(t *testing.T) {
	runInParallel(t)
	fleet := startFleet(t, lab.Options{Workers: 6, Halls: 3, ProbesOff: seed()%2 == 1, ClockFile: filepath.Join(t.TempDir(), "clock")})
	traffic := fleet.Start(lab.Load{Rate: 100, PersistentClients: 2, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
	s := &soak{t: t, fleet: fleet, traffic: traffic, rng: rand.New(rand.NewPCG(seed(), 31))}
	s.serve(300)
	s.run(soakSteps, int(envNumber("QUILLRAIL_SOAK_STEPS", 12)))
	s.finish()
}
