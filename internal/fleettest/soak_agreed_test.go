package fleettest

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"regexp"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"quillrail/internal/lab"
	"quillrail/internal/lab/sysfault"
)

// agreedSoak is what a soak of a fleet that agrees has in addition.
type agreedSoak struct {
	supervisors []*sysfault.Supervisor // of each gateway's writes; nil in runs without full folders
	declared    int                    // releases and freezes declared so far
	fullFolder  map[*lab.Gateway]bool  // gateways whose folder was full, which may have given up their vote
}

// agreedSoakSteps are the steps of a soak of a fleet that agrees: those of a soak but for stepped clocks, and those that follow.
// Bursts occur in half of the runs only, and full folders likewise; see agreedSteps.
var agreedSoakSteps = map[string]func(s *soak){
	"a ban is withdrawn at once": func(s *soak) {
		worker := s.worker().Name()
		s.askAndWithdraw("disable-server "+worker+" by=anna", "enable-server "+worker+" by=boris", s.gateway(), s.gateway())
		s.release(worker)
	},
	"a drain is withdrawn at once": func(s *soak) {
		gateway := s.gateway()
		s.askAndWithdraw("drain by=anna", "resume", gateway, gateway)
		s.resume(gateway)
	},
	"two drains at once": func(s *soak) {
		order := s.rng.Perm(len(s.fleet.Gateways))[:2]
		for _, i := range order {
			s.fleet.Gateways[i].SendCommand("drain by=anna")
		}
		s.serve(50)
		for _, i := range order {
			s.resume(s.fleet.Gateways[i])
		}
	},
	"a worker is banned": func(s *soak) {
		worker := s.worker().Name()
		s.gateway().SendCommand("disable-server " + worker + " by=anna")
		s.serve(100)
		s.release(worker)
	},
	"a release": func(s *soak) {
		version := map[bool]string{true: "v1", false: "v2"}[s.fleet.Gateways[0].Version() == "v2"]
		name := s.declare("release", "version="+version+" prove_s=1 most_s=2 step_s=20")
		s.awaitRelease(name)
	},
	"a freeze": func(s *soak) {
		from := time.Now().UTC().Truncate(time.Second).Add(5 * time.Second)
		to := from.Add(3 * time.Second)
		s.declare("freeze", fmt.Sprintf("kinds=config,releases zone=UTC from=%s to=%s", from.Format(timeLayout), to.Format(timeLayout)))
		for time.Now().Before(to.Add(time.Second)) { // the clocks' bound counts too
			s.serve(20)
		}
	},
	"fleet partitioned in two": func(s *soak) {
		order := s.rng.Perm(len(s.fleet.Gateways))
		cut := 1 + s.rng.IntN(len(order)-1)
		s.fleet.Partition(order[:cut], order[cut:])
		s.serve(100 + s.rng.IntN(400))
		s.fleet.Heal()
		s.impairPaths()
	},
	"a folder is full": func(s *soak) {
		i := s.rng.IntN(len(s.fleet.Gateways))
		s.agreed.fullFolder[s.fleet.Gateways[i]] = true
		s.agreed.supervisors[i].Set(failAfterHalfWrite(s.fleet, unix.ENOSPC))
		s.serve(100 + s.rng.IntN(300))
		s.agreed.supervisors[i].Set(nil)
	},
}

// agreedSteps returns the steps of a run: bursts and full folders only if they are wanted.
func agreedSteps(bursts, fullFolders bool) map[string]func(*soak) {
	steps := maps.Clone(soakSteps)
	maps.Copy(steps, agreedSoakSteps)
	maps.DeleteFunc(steps, func(name string, _ func(*soak)) bool {
		return name == "the clock is stepped" || !bursts && strings.Contains(name, "burst") || !fullFolders && name == "a folder is full"
	})
	return steps
}

// impairPaths makes all paths between gateways slow and lossy.
func (s *soak) impairPaths() {
	for i := range s.fleet.Gateways {
		for j := range s.fleet.Gateways {
			if i != j {
				s.fleet.Impair(i, j, lab.Impairment{Delay: 30 * time.Millisecond, Drop: 0.05, Reorder: 0.05})
			}
		}
	}
}

// askAndWithdraw has an operator ask for something at one gateway and another operator withdraw it at once at another one.
func (s *soak) askAndWithdraw(ask, withdraw string, at, other *lab.Gateway) {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		at.SendCommand(ask)
	}()
	time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond) // the moment is drawn, not waited for
	other.SendCommand(withdraw)
	<-asked
}

// release withdraws the ban of a worker until the fleet has agreed that it may be used.
func (s *soak) release(worker string) {
	banned := regexp.MustCompile(`(?m)^(out: worker ` + worker + ` .*, permit|waits: permit .* for worker ` + worker + `:)`)
	s.until("the ban of "+worker+" is withdrawn", func() bool {
		s.gateway().SendCommand("enable-server " + worker + " by=boris")
		text, err := s.gateway().SendCommand("agreed")
		return err == nil && !banned.MatchString(text)
	})
}

// releaseAll withdraws every ban until no gateway or worker is unavailable. A ban whose agreement was undecided may come after it was
// withdrawn at another gateway; a drain that was withdrawn must not come.
func (s *soak) releaseAll() {
	banned := regexp.MustCompile(`(?m)^(?:out: worker|waits: permit \d+ of \w+ for worker) (\S+?)[: ]`)
	s.until("no worker is banned", func() bool {
		text, err := s.gateway().SendCommand("agreed")
		found := banned.FindAllStringSubmatch(text, -1)
		for _, match := range found {
			s.gateway().SendCommand("enable-server " + match[1] + " by=boris")
		}
		return err == nil && len(found) == 0
	})
	awaitStat(s.t, s.fleet.Gateways, noneUnavailable)
}

// resume has a gateway take clients again.
func (s *soak) resume(gateway *lab.Gateway) {
	s.until(gateway.Name+" takes clients again", func() bool {
		gateway.SendCommand("resume")
		text, err := gateway.SendCommand("ready")
		return err == nil && strings.HasPrefix(text, "SUCCESS")
	})
}

// declare declares a release or a freeze at a gateway, again where the reply is undecided, and returns its name.
func (s *soak) declare(what, options string) string {
	s.agreed.declared++
	name := fmt.Sprint(what, s.agreed.declared)
	mustCall(s.t, s.gateway(), "declare "+what+" name="+name+" by=anna "+options)
	return name
}

// awaitRelease continues a release whenever it halts, until it is done.
func (s *soak) awaitRelease(name string) {
	s.until("release "+name+" is done", func() bool {
		text, err := s.fleet.Gateways[0].SendCommand("agreed")
		if err == nil && regexp.MustCompile("release "+name+" .*halted").MatchString(text) {
			s.gateway().SendCommand("declare continue name=" + name + " by=anna")
		}
		return err == nil && regexp.MustCompile("release "+name+" .* done").MatchString(text)
	})
}

// until waits until a condition holds, for eventTimeout at most.
func (s *soak) until(what string, condition func() bool) {
	s.t.Helper()
	if err := waitUntil(eventTimeout, condition); err != nil {
		text, _ := s.fleet.Gateways[0].SendCommand("agreed")
		s.t.Fatalf("%s: %v\n%s", what, err, text)
	}
}

// requireVotesKept fails the test if a gateway gave up its vote whose folder was never full.
func (s *soak) requireVotesKept() {
	for _, g := range s.fleet.Gateways {
		if given := votePattern.FindString(g.Logs()); given != "" && !s.agreed.fullFolder[g] {
			s.t.Errorf("%s gave up its vote: %s", g.Name, given)
		}
	}
}

// votePattern matches the log lines of a gateway that gives up its vote.
var votePattern = regexp.MustCompile(`.*(this gateway is no longer a voter|giving up this gateway's vote|gives its vote up).*`)

// Guards against a fleet that stops to agree under faults. Three or five gateways, of which three vote, with slow and lossy paths between
// them, go through the steps of a soak while operators ask and withdraw, declare releases and freezes, and folders are full. No call is
// lost, no rule broken, no limit exceeded and no vote given up; afterwards a declaration is agreed at every gateway.
func TestSoakOfAnAgreedFleet(t *testing.T) {
	runInParallel(t)
	fiveGateways, bursts, fullFolders := seed()%2 == 1, seed()/2%2 == 0, seed()/4%2 == 1
	fleet := newFleet(t, lab.Options{Gateways: map[bool]int{false: 3, true: 5}[fiveGateways], Workers: 6, Halls: 3, Fleet: true, Voters: 3,
		FleetSettings: twoAtOnce + "[freeze]\nahead_s = 2.0\nclock_bound_ms = 300\n", PeerRelays: true})
	s := &soak{t: t, fleet: fleet, rng: rand.New(rand.NewPCG(seed(), 32)), agreed: agreedSoak{fullFolder: map[*lab.Gateway]bool{}}}
	if fullFolders {
		s.agreed.supervisors = startSupervised(t, fleet, writeCalls...)
	} else if err := fleet.StartAll(); err != nil {
		t.Fatal(err)
	}
	s.traffic = fleet.Start(lab.Load{Rate: 100, PersistentClients: 2, Functions: 12, Wait: 2 * time.Second, Unsafe: 0.2, Keyed: 0.3, Tries: 3})
	awaitSettled(t, fleet)
	watch := fleet.Watch(2)
	fleet.Supervise(versionEnv(""))
	s.impairPaths()
	s.run(agreedSteps(bursts, fullFolders), int(envNumber("QUILLRAIL_SOAK_STEPS", 5)))
	fleet.Heal()
	s.releaseAll()
	mustCall(t, s.gateway(), "declare limits by=anna gateways=1")
	for _, g := range fleet.Gateways {
		awaitAgreed(t, g, `limits gateways=1 `)
	}
	awaitStat(t, fleet.Gateways, func(*lab.Gateway) string { return "svc.fleet.agreed.alarms:0|g" })
	periods, most, exceeded := watch.End()
	t.Logf("figures: gateways=%d out=%d most=%d over=%d", len(fleet.Gateways), periods, most, exceeded)
	if exceeded > 0 {
		t.Errorf("the limit on unavailable gateways was exceeded %d times", exceeded)
	}
	s.requireVotesKept()
	s.finish()
}
