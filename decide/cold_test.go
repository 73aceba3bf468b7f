package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// The budget of a cold worker is counted in work, not in calls: a worker that gets only calls of a class with much work
// may get fewer of them than of mean calls, and more of those with little work.
func TestColdBudgetCountsWork(t *testing.T) {
	const served = 100.0 // calls a second
	for class, weight := range []float64{0.2, 1.8} {
		f := newFake(t, testSettings(), 9)
		f.handle(List{Hosts: []Host{{Name: "cold", Since: f.now}}})
		f.router.meanWork, f.router.servedRate = 100, served
		f.router.classes[0].work, f.router.classes[1].work = 20, 180
		worker, req, calls := f.router.workers["cold"], &request{class: class}, 0
		for f.router.now, f.router.servedAt = f.now, f.now; f.router.withinColdBudget(req, worker); calls++ {
			worker.coldSends = append(worker.coldSends, sentWork{f.now, f.router.relativeWork(req)})
		}
		budget := coldShare * testSettings().CollapseMultiple * testSettings().ColdFrom * served / 10 * testSettings().CollapseAfter.Seconds()
		if work := float64(calls) * weight; work > budget+1e-9 || work < budget-weight {
			t.Errorf("class %d: %d calls at once have the work of %.1f mean calls, want just within the budget of %.1f", class,
				calls, work, budget)
		}
	}
}

// A retry has to reach the workers within the window in which they drop repeated calls, and may be delayed until its
// connection is set up.
func TestRetryLeavesTimeForConnectionSetup(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
		settings := testSettings()
		settings.SendDelay = delay
		f := newFake(t, settings, 3)
		req := &request{class: 1, attempts: []attempt{{worker: f.router.workers["w0"], sentAt: f.now, mayHaveRun: true}}}
		sentAt := f.now
		for f.router.now = f.now; f.router.mayRepeat(req, f.router.workers["w0"]); f.router.now += time.Millisecond {
		}
		if last, most := f.router.now-sentAt, settings.Classes[1].Window-delay; last > most || last < most-100*time.Millisecond {
			t.Errorf("retries are allowed for %v of a window of %v, where a connection may take %v", last,
				settings.Classes[1].Window, delay)
		}
	}
}

// coldFleet simulates many gateways that send to one cold worker. They differ in their shares of the traffic, in when
// they start, and in when they learn of the worker.
type coldFleet struct {
	t           *testing.T
	settings    Settings
	capacity    float64         // of a warm worker, calls a second
	warmWorkers int             // warm workers beside the cold one
	sendTimes   []time.Duration // of all gateways' sends to the cold worker, after its start
}

// gatewayTraffic describes the gateways of a coldFleet, each by its number. Times count from the cold worker's start.
type gatewayTraffic struct {
	rate            func(gateway int) float64       // calls a second that the gateway has served recently
	listedAfter     func(gateway int) time.Duration // when the gateway learns of the cold worker
	restartAfter    func(gateway int) time.Duration // when the gateway restarts with nothing in memory; 0 for never
	drainingWorkers int                             // warm workers that drain when the cold one starts
}

// run has each gateway send as much as it may to the cold worker for the given time.
func (c *coldFleet) run(gateways int, length time.Duration, with gatewayTraffic) {
	for i := range gateways {
		c.settings.Self, c.settings.Gateways = i, gateways
		if restart := with.restartAfter(i); restart > 0 {
			c.runIncarnation(with, i, 0, restart)
			c.runIncarnation(with, i, restart, length)
		} else {
			c.runIncarnation(with, i, 0, length)
		}
	}
}

// runIncarnation runs one incarnation of gateway i between two times after the cold worker's start.
func (c *coldFleet) runIncarnation(with gatewayTraffic, i int, from, to time.Duration) {
	f := newFake(c.t, c.settings, c.warmWorkers)
	f.router.meanWork, f.router.classes[0].work = 1, 1
	if from > 0 {
		f.now = coldStart + from
		f.router.Handle(f.now, Wake{})
	} else {
		f.router.servedRate, f.router.servedAt = with.rate(i), f.now
	}
	f.handle(List{Hosts: []Host{{Name: "cold", Since: coldStart}}})
	var hosts []Host
	for n := range with.drainingWorkers {
		hosts = append(hosts, Host{Name: fmt.Sprint("w", n), State: Draining})
	}
	if len(hosts) > 0 {
		f.handle(List{Hosts: hosts})
	}
	worker := f.router.workers["cold"]
	remaining := float64(c.warmWorkers-with.drainingWorkers) / float64(c.warmWorkers)
	for f.now < coldStart+to {
		elapsed, known := (f.now - coldStart).Seconds(), 1.0 // known: part of its rate that the gateway has measured
		if from > 0 {
			known = 1 - math.Exp(-(f.now-coldStart-from).Seconds()/rateFadeTime.Seconds())
		}
		f.router.servedRate, f.router.servedAt = with.rate(i)*known*(remaining+(1-remaining)*math.Exp(-elapsed/rateFadeTime.Seconds())), f.now
		for f.router.now = f.now; f.now >= coldStart+with.listedAfter(i) && f.router.withinColdBudget(&request{}, worker); {
			worker.coldSends = append(worker.coldSends, sentWork{f.now, 1})
			c.sendTimes = append(c.sendTimes, f.now-coldStart)
		}
		f.now += 20 * time.Millisecond
	}
}

const coldStart = 100 * sec

// coldMargin returns the calls that a cold worker tolerates beyond those that the settings allow: twice the square root
// of the allowed number plus 2, or three times the root plus 3 where fewer than 30 are allowed.
func coldMargin(allowed float64) float64 {
	if allowed < 30 {
		return 3*math.Sqrt(allowed) + 3
	}
	return 2*math.Sqrt(allowed) + 2
}

// allowedCalls returns the calls that the settings allow the cold worker within a judged window, by its capacity at
// the time at.
func (c *coldFleet) allowedCalls(at time.Duration) float64 {
	share := c.settings.ColdFrom + (1-c.settings.ColdFrom)*min(1, at.Seconds()/c.settings.ColdFor.Seconds())
	return c.settings.CollapseMultiple * share * c.capacity * c.settings.CollapseAfter.Seconds()
}

// checkWindows compares the number of sends in every judged window with what the settings allow at the window's end,
// where the rule applies. With early it compares them with what is allowed at the window's beginning and with the margin
// of many calls, which is stricter than the rule.
func (c *coldFleet) checkWindows(name string, early bool) {
	slices.Sort(c.sendTimes)
	for i, from := range c.sendTimes {
		n, _ := slices.BinarySearch(c.sendTimes, from+c.settings.CollapseAfter)
		allowed := c.allowedCalls(c.sendTimes[n-1])
		most := allowed + coldMargin(allowed)
		if early {
			allowed = c.allowedCalls(from)
			most = allowed + 2*math.Sqrt(allowed) + 2
		}
		if float64(n-i) > most {
			c.t.Errorf("%s: %d sends in the window from %v, %.1f allowed and %.1f with the margin", name, n-i, from, allowed, most)
			return
		}
	}
	if len(c.sendTimes) == 0 {
		c.t.Errorf("%s: no gateway sends to the cold worker", name)
	}
}

// All gateways together must not overload a cold worker. This holds for any number of gateways, however unevenly they
// are used, whenever they started or learnt of the worker, and also while other workers drain or gateways restart. The
// fleet runs at the full capacity of its warm workers.
func TestColdWorkerIsNotOverloadedByAllGateways(t *testing.T) {
	const ready = 12
	atOnce := func(int) time.Duration { return 0 }
	spread := func(i int) time.Duration { return time.Duration(i*37%100) * 20 * time.Millisecond }
	late := func(i int) time.Duration { // 4 s for one of the gateways
		if i == 0 {
			return 4 * sec
		}
		return 0
	}
	for _, gateways := range []int{1, 2, 5, 20, 30, 300, 1200} {
		for _, perWorker := range []float64{1, 4, 14, 60, 250} {
			total := ready * perWorker
			even := func(int) float64 { return total / float64(gateways) }
			// One gateway of every ten, or of all where there are fewer, gets half of the traffic; the others share the rest.
			skewed := func(i int) float64 {
				switch group := min(10, gateways); {
				case group == 1:
					return total
				case i%group == 0:
					return total / 2 / math.Ceil(float64(gateways)/float64(group))
				default:
					return total / 2 / (float64(gateways) - math.Ceil(float64(gateways)/float64(group)))
				}
			}
			oneOfThreeNew := func(i int) float64 { // one of three gateways has served nothing yet
				if i%3 == 0 && gateways > 1 {
					return 0
				}
				return total / (float64(gateways) - math.Ceil(float64(gateways)/3)*float64(min(1, gateways-1)))
			}
			for name, with := range map[string]gatewayTraffic{
				"even":               {even, atOnce, atOnce, 0},
				"skewed":             {skewed, atOnce, atOnce, 0},
				"one of three new":   {oneOfThreeNew, spread, atOnce, 0},
				"listed late":        {even, spread, atOnce, 0},
				"listed late at one": {skewed, late, atOnce, 0},
				"one restarts":       {skewed, atOnce, late, 0},
				"all restart":        {even, atOnce, func(i int) time.Duration { return 3*sec + spread(i) }, 0},
				"all restart early":  {even, atOnce, func(i int) time.Duration { return sec / 2 }, 0},
				"half drain":         {even, atOnce, atOnce, ready / 2},
				"half drain, skewed": {skewed, spread, atOnce, ready / 2},
			} {
				settings := testSettings()
				settings.ColdFrom, settings.ColdFor, settings.CollapseMultiple, settings.CollapseAfter = 0.18, 14*sec, 2.5, 3*sec
				settings.Tenants = []Tenant{{PerSec: 0.9 * total}}
				f := &coldFleet{t: t, settings: settings, capacity: perWorker, warmWorkers: ready}
				f.run(gateways, 10*sec, with)
				what := fmt.Sprintf("%d gateways, %v calls a second each, %s", gateways, perWorker, name)
				f.checkWindows(what, false)
				if gateways >= 20 && perWorker == 14 {
					f.checkWindows(what+", by the allowance at the window's beginning", true)
				}
			}
		}
	}
}
