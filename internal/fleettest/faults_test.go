package fleettest

import (
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"quillrail/internal/lab"
)

// storm is faults and operators' words that follow each other by a plan drawn from the seed, while a release goes over the
// fleet. Each fault is over before the next begins.
type storm struct {
	t   *testing.T
	l   *lab.Lab
	tr  *lab.Traffic
	rng *rand.Rand
	n   map[string]int
}

var leads = regexp.MustCompile(`; (gw\d+) leads`)

// leader is the gateway that leads the agreement, one that is drawn if nobody is known to.
func (s *storm) leader() int {
	for _, g := range s.l.Gateways {
		if text, err := g.SendCommand("agreed"); err == nil {
			if m := leads.FindStringSubmatch(text); m != nil {
				i, _ := strconv.Atoi(m[1][2:])
				return i - 1
			}
		}
	}
	return s.rng.IntN(len(s.l.Gateways))
}

// while has a few hundred requests served, so that a fault lasts for a second or two.
func (s *storm) while() { s.tr.AwaitServed(80+s.rng.IntN(200), eventLimit) }

func (s *storm) parts(n int) [][]int {
	out := make([][]int, n)
	for i, k := range s.rng.Perm(len(s.l.Gateways)) {
		out[i%n] = append(out[i%n], k)
	}
	return out
}

var faults = map[string]func(s *storm){
	"a gateway is killed":     func(s *storm) { s.kill(s.rng.IntN(len(s.l.Gateways)), "") },
	"the leader is killed":    func(s *storm) { s.kill(s.leader(), "") },
	"killed, disk lost":       func(s *storm) { s.kill(s.rng.IntN(len(s.l.Gateways)), "empty") },
	"a gateway stands still":  func(s *storm) { s.stop(s.rng.IntN(len(s.l.Gateways))) },
	"the leader stands still": func(s *storm) { s.stop(s.leader()) },
	"cut in two":              func(s *storm) { s.cut(s.parts(2)...) },
	"cut in three":            func(s *storm) { s.cut(s.parts(3)...) },
	"the leader is alone": func(s *storm) {
		k := s.leader()
		s.cut([]int{k}, slices.DeleteFunc(s.parts(1)[0], func(i int) bool { return i == k }))
	},
	"cut one way": func(s *storm) {
		from := s.rng.IntN(len(s.l.Gateways))
		for to := range s.l.Gateways {
			if to != from {
				s.l.Impair(from, to, lab.Impairment{Cut: true})
			}
		}
		s.while()
		s.l.Heal()
	},
	"flapping": func(s *storm) {
		for range 3 {
			s.cut(s.parts(2)...)
		}
	},
	"slow and lossy": func(s *storm) {
		for i := range s.l.Gateways {
			for j := range s.l.Gateways {
				if i != j {
					s.l.Impair(i, j, lab.Impairment{Delay: time.Duration(s.rng.IntN(300)) * time.Millisecond, Drop: 0.2, Reorder: 0.2})
				}
			}
		}
		s.while()
		s.l.Heal()
	},
}

func (s *storm) cut(parts ...[]int) { s.l.Partition(parts...); s.while(); s.l.Heal() }

func (s *storm) stop(i int) { s.l.Gateways[i].Pause(); s.while(); s.l.Gateways[i].Resume() }

func (s *storm) kill(i int, disk string) {
	g := s.l.Gateways[i]
	g.Kill()
	if disk != "" {
		g.AlterDisk(disk)
	}
	s.while()
	if err := g.Start(); err != nil {
		s.t.Errorf("%s: %v", g.Name, err)
	}
}

// word is an operator's word at a gateway. What comes of it is no matter here: it may be cut off, or dead.
func (s *storm) word() {
	g := s.l.Gateways[s.rng.IntN(len(s.l.Gateways))]
	w := s.l.Workers[s.rng.IntN(len(s.l.Workers))].Name()
	say := []string{"drain by=anna", "drain by=boris", "resume", "resume", "disable-server " + w + " by=anna", "enable-server " + w + " by=anna",
		"declare continue name=two by=anna", "declare halt name=two by=boris", "declare back name=two by=boris"}
	if call := say[s.rng.IntN(len(say))]; g.Process() != nil {
		g.SendCommand(call)
		s.n["words"]++
	}
}

// calm brings everything back, and has the release end.
func (s *storm) calm() {
	s.l.Heal()
	late := time.After(eventLimit)
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		busy := ""
		for _, g := range s.l.Gateways {
			g.SendCommand("resume")
			text, err := g.SendCommand("agreed")
			if err != nil {
				busy = err.Error()
				continue
			}
			if strings.Contains(text, "release two") && strings.Contains(text, "halted") {
				g.SendCommand("declare continue name=two by=anna")
			}
			for _, m := range regexp.MustCompile(`(?m)^(?:out: worker|waits: permit \d+ of \w+ for worker) (\S+?)[: ]`).FindAllStringSubmatch(text, -1) {
				g.SendCommand("enable-server " + m[1] + " by=anna")
			}
			if regexp.MustCompile(`(?m)^(out|waits):|halted|running|learning|no majority|not known`).MatchString(text) {
				busy = text
			}
		}
		if busy == "" {
			return
		}
		select {
		case <-tick.C:
		case <-late:
			s.t.Fatalf("the fleet does not come to rest:\n%s", busy)
		}
	}
}

// A release goes over 7 gateways while faults follow each other and operators ask for drains and bans at any of them. Never
// are more out on purpose than may be, every call that its gateway did not take to its death is answered, and afterwards all
// gateways have come to the same.
func TestAgreedChangeUnderFaults(t *testing.T) {
	beside(t)
	rounds := 9
	if n, err := strconv.Atoi(os.Getenv("QUILLRAIL_FLEET_LONG")); err == nil {
		rounds = n
	}
	o := seven(two)
	o.PeerRelays = true
	l := start(t, o)
	tr, w := l.Start(lab.Load{Rate: 150, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 4}), l.Watch(2)
	settled(t, l)
	l.Supervise(versionsOf(""))
	s := &storm{t, l, tr, rand.New(rand.NewPCG(seed(), 11)), map[string]int{}}
	plan := drawPlan(s.rng, faults, rounds)
	t.Logf("plan: %s", strings.Join(plan, "; "))
	asked(t, l.Gateways[5], "declare release name=two by=anna version=v2 prove_s=1 most_s=2 step_s=20")
	for _, what := range plan {
		l.Logf("%s", what)
		s.word()
		s.word()
		faults[what](s)
		s.n[what]++
	}
	s.calm()
	until(t, l.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.alarms:0|g" })
	times, most, over := w.End()
	n := verdict(t, l, tr)
	t.Logf("figures: gateways=7 faults=%d words=%d out=%d most=%d over=%d outside=%d unanswered=%d lost_in_hand=%d twice=%d calls=%d", rounds, s.n["words"], times,
		most, over, l.Counts().OutsideHalls, n.Unanswered, n.LostInFlight, l.Counts().RanTwice, n.Calls)
	if over > 0 {
		t.Errorf("%d times more were out than may be", over)
	}
	answered(t, n, tr)
}

// drawPlan is so many names of what may happen, each as often as any other, in an order that is drawn.
func drawPlan[Step any](rng *rand.Rand, steps map[string]Step, length int) (plan []string) {
	names := slices.Sorted(maps.Keys(steps))
	for i := range length {
		if i%len(names) == 0 {
			rng.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
		}
		plan = append(plan, names[i%len(names)])
	}
	return plan
}
