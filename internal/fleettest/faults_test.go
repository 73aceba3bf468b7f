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

// faultRun injects faults and makes operator calls one after the other, by a plan drawn from the seed, while a release is rolled out
// over the fleet. Each fault ends before the next one begins.
type faultRun struct {
	t       *testing.T
	fleet   *lab.Lab
	traffic *lab.Traffic
	rng     *rand.Rand
	counts  map[string]int
}

var leaderPattern = regexp.MustCompile(`; (gw\d+) leads`)

// leader returns the index of the gateway that leads the agreement, or of a random one if no leader is known.
func (r *faultRun) leader() int {
	for _, g := range r.fleet.Gateways {
		if text, err := g.SendCommand("agreed"); err == nil {
			if m := leaderPattern.FindStringSubmatch(text); m != nil {
				i, _ := strconv.Atoi(m[1][2:])
				return i - 1
			}
		}
	}
	return r.rng.IntN(len(r.fleet.Gateways))
}

// serveForAWhile waits until 80 to 279 more requests have been served, so that a fault lasts for a second or two.
func (r *faultRun) serveForAWhile() { r.traffic.AwaitServed(80+r.rng.IntN(200), eventTimeout) }

// randomGroups splits the gateways at random into groups of about equal size.
func (r *faultRun) randomGroups(count int) [][]int {
	groups := make([][]int, count)
	for i, gateway := range r.rng.Perm(len(r.fleet.Gateways)) {
		groups[i%count] = append(groups[i%count], gateway)
	}
	return groups
}

// faultSteps are the faults of a run. A plan is drawn from the sorted names, so the plan of a seed depends on their order.
var faultSteps = map[string]func(r *faultRun){
	"a gateway is killed":        func(r *faultRun) { r.kill(r.rng.IntN(len(r.fleet.Gateways)), "") },
	"the leader is killed":       func(r *faultRun) { r.kill(r.leader(), "") },
	"killed, disk lost":          func(r *faultRun) { r.kill(r.rng.IntN(len(r.fleet.Gateways)), "empty") },
	"a gateway pauses":           func(r *faultRun) { r.pause(r.rng.IntN(len(r.fleet.Gateways))) },
	"the leader pauses":          func(r *faultRun) { r.pause(r.leader()) },
	"fleet partitioned in two":   func(r *faultRun) { r.partition(r.randomGroups(2)...) },
	"fleet partitioned in three": func(r *faultRun) { r.partition(r.randomGroups(3)...) },
	"the leader is isolated": func(r *faultRun) {
		leader := r.leader()
		r.partition([]int{leader}, slices.DeleteFunc(r.randomGroups(1)[0], func(i int) bool { return i == leader }))
	},
	"fleet partitioned one way": func(r *faultRun) {
		from := r.rng.IntN(len(r.fleet.Gateways))
		for to := range r.fleet.Gateways {
			if to != from {
				r.fleet.Impair(from, to, lab.Impairment{Cut: true})
			}
		}
		r.serveForAWhile()
		r.fleet.Heal()
	},
	"fleet repeatedly partitioned": func(r *faultRun) {
		for range 3 {
			r.partition(r.randomGroups(2)...)
		}
	},
	"slow and lossy paths": func(r *faultRun) {
		for i := range r.fleet.Gateways {
			for j := range r.fleet.Gateways {
				if i != j {
					r.fleet.Impair(i, j, lab.Impairment{Delay: time.Duration(r.rng.IntN(300)) * time.Millisecond, Drop: 0.2, Reorder: 0.2})
				}
			}
		}
		r.serveForAWhile()
		r.fleet.Heal()
	},
}

func (r *faultRun) partition(groups ...[]int) {
	r.fleet.Partition(groups...)
	r.serveForAWhile()
	r.fleet.Heal()
}

func (r *faultRun) pause(i int) {
	r.fleet.Gateways[i].Pause()
	r.serveForAWhile()
	r.fleet.Gateways[i].Resume()
}

func (r *faultRun) kill(i int, disk string) {
	gateway := r.fleet.Gateways[i]
	gateway.Kill()
	if disk != "" {
		gateway.AlterDisk(disk)
	}
	r.serveForAWhile()
	if err := gateway.Start(); err != nil {
		r.t.Errorf("%s: %v", gateway.Name, err)
	}
}

// operatorCall makes a random operator call at a random gateway. Its outcome is ignored, since the gateway may be unreachable or dead.
func (r *faultRun) operatorCall() {
	gateway := r.fleet.Gateways[r.rng.IntN(len(r.fleet.Gateways))]
	worker := r.fleet.Workers[r.rng.IntN(len(r.fleet.Workers))].Name()
	calls := []string{"drain by=anna", "drain by=boris", "resume", "resume",
		"disable-server " + worker + " by=anna", "enable-server " + worker + " by=anna",
		"declare continue name=two by=anna", "declare halt name=two by=boris", "declare back name=two by=boris"}
	if call := calls[r.rng.IntN(len(calls))]; gateway.Process() != nil {
		gateway.SendCommand(call)
		r.counts["operator calls"]++
	}
}

// recoverFleet heals all faults, withdraws all drains and bans, and continues the release until it ends.
func (r *faultRun) recoverFleet() {
	r.fleet.Heal()
	timeout := time.After(eventTimeout)
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for {
		unsettled := ""
		for _, g := range r.fleet.Gateways {
			g.SendCommand("resume")
			text, err := g.SendCommand("agreed")
			if err != nil {
				unsettled = err.Error()
				continue
			}
			if strings.Contains(text, "release two") && strings.Contains(text, "halted") {
				g.SendCommand("declare continue name=two by=anna")
			}
			for _, m := range regexp.MustCompile(`(?m)^(?:out: worker|waits: permit \d+ of \w+ for worker) (\S+?)[: ]`).
				FindAllStringSubmatch(text, -1) {
				g.SendCommand("enable-server " + m[1] + " by=anna")
			}
			if regexp.MustCompile(`(?m)^(out|waits):|halted|running|learning|no majority|not known`).MatchString(text) {
				unsettled = text
			}
		}
		if unsettled == "" {
			return
		}
		select {
		case <-tick.C:
		case <-timeout:
			r.t.Fatalf("the fleet does not settle: gateways or workers are unavailable, or the release has not ended:\n%s", unsettled)
		}
	}
}

// A release is rolled out over 7 gateways while faults follow each other and operators request drains and bans at random gateways. The
// number made unavailable on purpose never exceeds the limit, every call is answered except those in flight at a killed or paused
// gateway, and afterwards all gateways agree on the same state.
func TestAgreedChangeUnderFaults(t *testing.T) {
	runInParallel(t)
	rounds := 9
	if n, err := strconv.Atoi(os.Getenv("QUILLRAIL_FLEET_LONG")); err == nil {
		rounds = n
	}
	options := sevenGateways(twoAtOnce)
	options.PeerRelays = true
	fleet := startFleet(t, options)
	traffic, watch := fleet.Start(lab.Load{Rate: 150, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 4}),
		fleet.Watch(2)
	awaitSettled(t, fleet)
	fleet.Supervise(versionEnv(""))
	r := &faultRun{t, fleet, traffic, rand.New(rand.NewPCG(seed(), 11)), map[string]int{}}
	plan := drawPlan(r.rng, faultSteps, rounds)
	t.Logf("plan: %s", strings.Join(plan, "; "))
	mustCall(t, fleet.Gateways[5], "declare release name=two by=anna version=v2 prove_s=1 most_s=2 step_s=20")
	for _, what := range plan {
		fleet.Logf("%s", what)
		r.operatorCall()
		r.operatorCall()
		faultSteps[what](r)
		r.counts[what]++
	}
	r.recoverFleet()
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.alarms:0|g" })
	periods, most, exceeded := watch.End()
	totals := endAndCheck(t, fleet, traffic)
	t.Logf("figures: gateways=7 faults=%d words=%d out=%d most=%d over=%d outside=%d unanswered=%d lost_in_hand=%d twice=%d calls=%d",
		rounds, r.counts["operator calls"], periods, most, exceeded, fleet.Counts().OutsideHalls,
		totals.Unanswered, totals.LostInFlight, fleet.Counts().RanTwice, totals.Calls)
	if exceeded > 0 {
		t.Errorf("the limit on unavailable gateways was exceeded %d times", exceeded)
	}
	requireNoLostCalls(t, totals, traffic)
}

// drawPlan returns a plan of length step names in random order. Every name occurs once before any is repeated.
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
