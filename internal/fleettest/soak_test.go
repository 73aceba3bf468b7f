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

// soak is a fleet under load to which one thing after the other happens, by a plan drawn from a seed. What is done is over
// before the next begins.
type soak struct {
	t   *testing.T
	l   *lab.Lab
	tr  *lab.Traffic
	rng *rand.Rand
}

// soakSteps are what may happen.
var soakSteps = map[string]func(s *soak){
	"a gateway is ended": func(s *soak) { s.restart() },
	"signals in series": func(s *soak) {
		g := s.gateway()
		g.Signals(syscall.SIGHUP, syscall.SIGHUP)
		s.serve(20)
		g.Signals(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
		s.end(g)
	},
	"a gateway is ended twice over": func(s *soak) {
		g := s.gateway()
		g.Signals(syscall.SIGTERM, syscall.SIGTERM)
		s.end(g)
	},
	"a gateway is killed": func(s *soak) {
		g := s.gateway()
		g.Kill()
		s.serve(40)
		s.start(g)
	},
	"a gateway stands still": func(s *soak) {
		g := s.gateway()
		g.Pause()
		s.serve(200 + s.rng.IntN(1200))
		g.Resume()
	},
	"a gateway is upgraded": func(s *soak) {
		if err := s.gateway().Upgrade(); err != nil {
			s.t.Error(err)
		}
	},
	"a crowd comes":                    func(s *soak) { s.tr.Burst(s.gateway(), 100+s.rng.IntN(150)) },
	"a crowd as it ends":               func(s *soak) { g := s.gateway(); s.tr.Burst(g, 60); s.end(g) },
	"a worker drains":                  func(s *soak) { s.drain(s.worker()) },
	"the lists are silent":             func(s *soak) { s.outage(true) },
	"the lists are silent for a while": func(s *soak) { s.outage(false) },
	"a list is slow": func(s *soak) {
		s.gateway().DelayBulletin(time.Duration(500+s.rng.IntN(4000)) * time.Millisecond)
		s.serve(200)
		s.drain(s.worker())
		s.l.HealBulletins()
	},
	"links break": func(s *soak) {
		for range 3 {
			s.gateway().Link(s.rng.IntN(len(s.l.Workers))).Reset()
			s.serve(20)
		}
	},
	"a link is cut": func(s *soak) {
		link := s.gateway().Link(s.rng.IntN(len(s.l.Workers)))
		link.Cut()
		s.serve(100)
		link.Heal()
	},
	"the clock is stepped": func(s *soak) {
		if err := s.l.StepClocks(time.Duration(2*s.rng.IntN(2)-1) * time.Hour); err != nil {
			s.t.Error(err)
		}
	},
}

func (s *soak) gateway() *lab.Gateway { return s.l.Gateways[s.rng.IntN(len(s.l.Gateways))] }

func (s *soak) worker() *lab.Worker { return s.l.Workers[s.rng.IntN(len(s.l.Workers))] }

func (s *soak) serve(n int) { served(s.t, s.tr, n) }

func (s *soak) start(g *lab.Gateway) {
	if err := g.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// end has a gateway end as the platform does, with its clients going on until the earliest kill, and starts it anew.
func (s *soak) end(g *lab.Gateway) {
	if !g.TerminateOrKill() {
		s.t.Errorf("%s had not ended when it could be killed:\n%s", g.Name, g.Process().Log())
	}
	s.start(g)
}

func (s *soak) restart() { s.end(s.gateway()) }

// drain has a worker drain, and started anew once the rule on drains has been put to the test.
func (s *soak) drain(w *lab.Worker) {
	w.Drain()
	s.graceIsOver(w)
	if err := w.Restart(); err != nil {
		s.t.Error(err)
	}
}

// graceIsOver has calls served until nothing may come to a worker any more that drains, and some more.
func (s *soak) graceIsOver(w *lab.Worker) {
	for !w.DrainGraceOver() {
		s.serve(50)
	}
	s.serve(300)
}

// outage cuts the lists while workers drain, until that counts as told and the grace is over or for less, and brings all back.
func (s *soak) outage(long bool) {
	if s.rng.IntN(2) == 0 {
		s.l.CutBulletins()
	} else {
		s.l.RefuseBulletins()
	}
	s.serve(20 + s.rng.IntN(60))
	drained := s.rng.Perm(len(s.l.Workers))[:1+s.rng.IntN(2)]
	for _, i := range drained {
		s.l.Workers[i].Drain()
	}
	s.change(s.gateway())
	if s.serve(200 + s.rng.IntN(1500)); long {
		s.graceIsOver(s.l.Workers[drained[0]])
	}
	s.l.HealBulletins()
	for _, i := range drained {
		if err := s.l.Workers[i].Restart(); err != nil {
			s.t.Error(err)
		}
	}
	s.serve(100)
}

// change has a gateway killed, ended or upgraded, or nothing happen to it.
func (s *soak) change(g *lab.Gateway) {
	switch s.rng.IntN(4) {
	case 0:
		g.Kill()
		s.serve(40)
		s.start(g)
	case 1:
		s.end(g)
	case 2:
		if err := g.Upgrade(); err != nil {
			s.t.Error(err)
		}
	}
}

// play plays a plan of so many steps.
func (s *soak) play(steps int) {
	plan := drawPlan(s.rng, soakSteps, steps)
	s.t.Logf("plan: %s", strings.Join(plan, "; "))
	for _, name := range plan {
		s.l.Logf("%s", name)
		soakSteps[name](s)
		s.serve(60)
	}
}

// setting is a number from the environment, for soaks by hand.
func setting(name string, usual uint64) uint64 {
	if n, err := strconv.ParseUint(os.Getenv(name), 10, 64); err == nil {
		return n
	}
	return usual
}

// A fleet goes through ends, signals, kills, upgrades, outages of the lists, drains, crowds and stepped clocks while clients go
// on on every connection that stays open: no rule is broken, and nothing is lost but what a killed or stopped gateway had in
// hand. QUILLRAIL_SOAK_STEPS and QUILLRAIL_FLEET_SEED play longer plans and others.
func TestSoak(t *testing.T) {
	beside(t)
	l := start(t, lab.Options{Workers: 6, Halls: 3, ProbesOff: seed()%2 == 1, ClockFile: filepath.Join(t.TempDir(), "clock")})
	tr := l.Start(lab.Load{Rate: 100, PersistentClients: 2, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
	s := &soak{t, l, tr, rand.New(rand.NewPCG(seed(), 31))}
	s.serve(300)
	s.play(int(setting("QUILLRAIL_SOAK_STEPS", 12)))
	n := verdict(t, l, tr)
	if n.Unanswered+n.Unreached > 0 {
		t.Errorf("calls were lost: %+v\n%q", n, tr.ErrorSamples())
	}
	for _, g := range l.Gateways {
		if !g.Process().Running() {
			t.Errorf("%s has ended:\n%s", g.Name, g.Process().Log())
		}
	}
}
