package decide

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

// What a cold worker bears is counted in work, not in calls: one that gets only the calls of a class with much work must not be
// given as many of them as of mean ones, and may be given more of those with little.
func TestColdBudgetCountsWork(t *testing.T) {
	const served = 100.0 // calls a second
	for class, weight := range []float64{0.2, 1.8} {
		f := start(t, site(), 9)
		f.do(List{Hosts: []Host{{Name: "cold", Since: f.now}}})
		f.r.meanWork, f.r.servedRate = 100, served
		f.r.classes[0].work, f.r.classes[1].work = 20, 180
		w, q, calls := f.r.workers["cold"], &request{class: class}, 0
		for f.r.now, f.r.servedAt = f.now, f.now; f.r.withinColdBudget(q, w); calls++ {
			w.coldSends = append(w.coldSends, sentWork{f.now, f.r.relativeWork(q)})
		}
		budget := coldShare * site().CollapseMultiple * site().ColdFrom * served / 10 * site().CollapseAfter.Seconds()
		if work := float64(calls) * weight; work > budget+1e-9 || work < budget-weight {
			t.Errorf("class %d: %d calls at once, the work of %.1f mean ones, for a budget of %.1f", class, calls, work, budget)
		}
	}
}

// A repeat has to reach the workers within the window in which they drop it, and may leave as late as its connection comes up.
func TestRepeatLeavesTimeForItsConnection(t *testing.T) {
	for _, delay := range []time.Duration{0, 250 * time.Millisecond} {
		s := site()
		s.SendDelay = delay
		f := start(t, s, 3)
		q := &request{class: 1, attempts: []attempt{{worker: f.r.workers["w0"], sentAt: f.now, mayHaveRun: true}}}
		sent := f.now
		for f.r.now = f.now; f.r.mayRepeat(q, f.r.workers["w0"]); f.r.now += time.Millisecond {
		}
		if last, most := f.r.now-sent, s.Classes[1].Window-delay; last > most || last < most-100*time.Millisecond {
			t.Errorf("repeats go out for %v of a window of %v, where a connection may take %v", last, s.Classes[1].Window, delay)
		}
	}
}

// coldFleet is many gateways at one cold worker: shares of the traffic, starts and times of hearing differ.
type coldFleet struct {
	t        *testing.T
	set      Settings
	capacity float64 // of a warm worker, calls a second
	ready    int     // warm workers beside the cold one
	sent     []time.Duration
}

// traffic is what befalls the gateways of a coldFleet: what each has served a second of late, when it hears of the cold worker,
// and when it is started anew with nothing in memory, all from the cold worker's start on; 0 for no restart.
type traffic struct {
	rate     func(gateway int) float64
	hears    func(gateway int) time.Duration
	restarts func(gateway int) time.Duration
	drains   int // so many warm workers drain as the cold one starts
}

// play has each gateway send as much as it may for the given time.
func (c *coldFleet) play(gateways int, length time.Duration, with traffic) {
	for i := range gateways {
		c.set.Self, c.set.Gateways = i, gateways
		if restart := with.restarts(i); restart > 0 {
			c.live(with, i, 0, restart)
			c.live(with, i, restart, length)
		} else {
			c.live(with, i, 0, length)
		}
	}
}

// live plays one life of a gateway, between two times after the cold worker's start.
func (c *coldFleet) live(with traffic, i int, from, to time.Duration) {
	f := start(c.t, c.set, c.ready)
	f.r.meanWork, f.r.classes[0].work = 1, 1
	if from > 0 {
		f.now = coldStart + from
		f.r.Handle(f.now, Wake{})
	} else {
		f.r.servedRate, f.r.servedAt = with.rate(i), f.now
	}
	f.do(List{Hosts: []Host{{Name: "cold", Since: coldStart}}})
	var hosts []Host
	for n := range with.drains {
		hosts = append(hosts, Host{Name: fmt.Sprint("w", n), State: Draining})
	}
	if len(hosts) > 0 {
		f.do(List{Hosts: hosts})
	}
	w := f.r.workers["cold"]
	left := float64(c.ready-with.drains) / float64(c.ready)
	for f.now < coldStart+to {
		passed, lived := (f.now - coldStart).Seconds(), 1.0
		if from > 0 {
			lived = 1 - math.Exp(-(f.now-coldStart-from).Seconds()/rateFadeTime.Seconds())
		}
		f.r.servedRate, f.r.servedAt = with.rate(i)*lived*(left+(1-left)*math.Exp(-passed/rateFadeTime.Seconds())), f.now
		for f.r.now = f.now; f.now >= coldStart+with.hears(i) && f.r.withinColdBudget(&request{}, w); {
			w.coldSends = append(w.coldSends, sentWork{f.now, 1})
			c.sent = append(c.sent, f.now-coldStart)
		}
		f.now += 20 * time.Millisecond
	}
}

const coldStart = 100 * sec

// coldMargin is what a cold worker bears beyond the calls that the settings allow: two roots of their number and 2 more, three
// roots and 3 more where there are fewer than 30.
func coldMargin(allowed float64) float64 {
	if allowed < 30 {
		return 3*math.Sqrt(allowed) + 3
	}
	return 2*math.Sqrt(allowed) + 2
}

// allowed is what the settings allow the cold worker in the time, as it is at a moment.
func (c *coldFleet) allowed(at time.Duration) float64 {
	share := c.set.ColdFrom + (1-c.set.ColdFrom)*min(1, at.Seconds()/c.set.ColdFor.Seconds())
	return c.set.CollapseMultiple * share * c.capacity * c.set.CollapseAfter.Seconds()
}

// check holds what was sent in any window against what the settings allow at its end, when the rule is judged. early holds it
// against what they allow at its beginning, with the margin of many calls: stricter than the rule.
func (c *coldFleet) check(name string, early bool) {
	slices.Sort(c.sent)
	for i, from := range c.sent {
		n, _ := slices.BinarySearch(c.sent, from+c.set.CollapseAfter)
		allowed := c.allowed(c.sent[n-1])
		most := allowed + coldMargin(allowed)
		if early {
			allowed = c.allowed(from)
			most = allowed + 2*math.Sqrt(allowed) + 2
		}
		if float64(n-i) > most {
			c.t.Errorf("%s: %d sends within the time from %v, %.1f allowed and %.1f with the margin", name, n-i, from, allowed, most)
			return
		}
	}
	if len(c.sent) == 0 {
		c.t.Errorf("%s: nobody sends to the cold worker", name)
	}
}

// However many gateways there are, however unevenly they are used, whenever they started or heard of the worker, and also while
// others are being replaced or gateways start anew, all of them together don't push it over. The fleet serves all that it can.
func TestColdWorkerBearsWhatAllGatewaysSend(t *testing.T) {
	const ready = 12
	atOnce := func(int) time.Duration { return 0 }
	spread := func(i int) time.Duration { return time.Duration(i*37%100) * 20 * time.Millisecond }
	late := func(i int) time.Duration { // one of them
		if i == 0 {
			return 4 * sec
		}
		return 0
	}
	for _, gateways := range []int{1, 2, 5, 20, 30, 300, 1200} {
		for _, perWorker := range []float64{1, 4, 14, 60, 250} {
			total := ready * perWorker
			even := func(int) float64 { return total / float64(gateways) }
			skewed := func(i int) float64 { // one of ten, or one of two, has as much as the other nine, or nine times as much
				switch group := min(10, gateways); {
				case group == 1:
					return total
				case i%group == 0:
					return total / 2 / math.Ceil(float64(gateways)/float64(group))
				default:
					return total / 2 / (float64(gateways) - math.Ceil(float64(gateways)/float64(group)))
				}
			}
			young := func(i int) float64 { // one of three has served nothing yet
				if i%3 == 0 && gateways > 1 {
					return 0
				}
				return total / (float64(gateways) - math.Ceil(float64(gateways)/3)*float64(min(1, gateways-1)))
			}
			for name, with := range map[string]traffic{
				"even":               {even, atOnce, atOnce, 0},
				"skewed":             {skewed, atOnce, atOnce, 0},
				"one of three young": {young, spread, atOnce, 0},
				"heard late":         {even, spread, atOnce, 0},
				"one hears late":     {skewed, late, atOnce, 0},
				"one restarts":       {skewed, atOnce, late, 0},
				"all restart":        {even, atOnce, func(i int) time.Duration { return 3*sec + spread(i) }, 0},
				"all restart early":  {even, atOnce, func(i int) time.Duration { return sec / 2 }, 0},
				"half drain":         {even, atOnce, atOnce, ready / 2},
				"half drain, skewed": {skewed, spread, atOnce, ready / 2},
			} {
				set := site()
				set.ColdFrom, set.ColdFor, set.CollapseMultiple, set.CollapseAfter = 0.18, 14*sec, 2.5, 3*sec
				set.Tenants = []Tenant{{PerSec: 0.9 * total}}
				f := &coldFleet{t: t, set: set, capacity: perWorker, ready: ready}
				f.play(gateways, 10*sec, with)
				what := fmt.Sprintf("%d gateways, %v calls a second each, %s", gateways, perWorker, name)
				f.check(what, false)
				if gateways >= 20 && perWorker == 14 {
					f.check(what+", by what is allowed at first", true)
				}
			}
		}
	}
}
