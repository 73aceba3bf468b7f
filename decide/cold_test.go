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
		f.r.work, f.r.goodRate = 100, served
		f.r.classes[0].work, f.r.classes[1].work = 20, 180
		w, q, calls := f.r.workers["cold"], &request{class: class}, 0
		for f.r.now, f.r.goodAt = f.now, f.now; f.r.coldRoom(q, w); calls++ {
			w.cold = append(w.cold, sentWork{f.now, f.r.weight(q)})
		}
		budget := coldSafety * site().FallMultiple * site().ColdFrom * served / 10 * site().FallFor.Seconds()
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
		q := &request{class: 1, attempts: []attempt{{w: f.r.workers["w0"], at: f.now, mayRun: true}}}
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

// play has each gateway send as much as it may for the given time. prepare gets the number of the gateway and makes the worker
// known to it once it has heard.
func (c *coldFleet) play(gateways int, length time.Duration, rate func(i int) float64, hears func(i int) time.Duration, loses int) {
	began := 100 * sec
	for i := range gateways {
		c.set.Self, c.set.Gateways = i, gateways
		f := start(c.t, c.set, c.ready)
		f.r.work, f.r.classes[0].work = 1, 1
		f.r.goodRate, f.r.goodAt = rate(i), f.now
		f.do(List{Hosts: []Host{{Name: "cold", Since: began}}})
		if loses > 0 { // so many warm workers drain in the same moment
			var hosts []Host
			for n := range loses {
				hosts = append(hosts, Host{Name: fmt.Sprint("w", n), State: Draining})
			}
			f.do(List{Hosts: hosts})
		}
		w := f.r.workers["cold"]
		left := float64(c.ready-loses) / float64(c.ready)
		for f.now < began+length {
			passed := (f.now - began).Seconds()
			f.r.goodRate, f.r.goodAt = rate(i)*(left+(1-left)*math.Exp(-passed/lately.Seconds())), f.now
			for f.r.now = f.now; f.now >= began+hears(i) && f.r.coldRoom(&request{}, w); {
				w.cold = append(w.cold, sentWork{f.now, 1})
				c.sent = append(c.sent, f.now-began)
			}
			f.now += 20 * time.Millisecond
		}
	}
}

// check holds what was sent against the rule: N + 2 roots of N + 2 within the time, N by what the settings allow then.
func (c *coldFleet) check(name string) {
	slices.Sort(c.sent)
	for i, from := range c.sent {
		share := c.set.ColdFrom + (1-c.set.ColdFrom)*from.Seconds()/c.set.ColdFor.Seconds()
		n, _ := slices.BinarySearch(c.sent, from+c.set.FallFor)
		allowed := c.set.FallMultiple * share * c.capacity * c.set.FallFor.Seconds()
		if float64(n-i) > allowed+2*math.Sqrt(allowed)+2 {
			c.t.Errorf("%s: %d sends within the time from %v, %.1f allowed and %.1f with the margin", name, n-i, from, allowed,
				allowed+2*math.Sqrt(allowed)+2)
			return
		}
	}
	if len(c.sent) == 0 {
		c.t.Errorf("%s: nobody sends to the cold worker", name)
	}
}

// However many gateways there are, however unevenly they are used, whenever they started or heard of the worker, and also while
// others are being replaced, all of them together don't push it over. The fleet serves all that it can.
func TestColdWorkerBearsWhatAllGatewaysSend(t *testing.T) {
	const ready, perWorker = 12, 14.0
	for _, gateways := range []int{20, 30, 300} {
		total := ready * perWorker
		even := func(int) float64 { return total / float64(gateways) }
		skewed := func(i int) float64 { // one of ten has as much as the other nine
			if i%10 == 0 {
				return 5 * total / float64(gateways)
			}
			return 5.0 / 9 * total / float64(gateways)
		}
		restarted := func(i int) float64 { // one of three has served nothing yet
			if i%3 == 0 {
				return 0
			}
			return 1.5 * total / float64(gateways)
		}
		atOnce := func(int) time.Duration { return 0 }
		spread := func(i int) time.Duration { return time.Duration(i*37%100) * 20 * time.Millisecond }
		for _, c := range []struct {
			name  string
			rate  func(int) float64
			hears func(int) time.Duration
			loses int
		}{{"even", even, atOnce, 0}, {"skewed", skewed, atOnce, 0}, {"restarted", restarted, spread, 0}, {"heard late", even, spread, 0},
			{"half drain", even, atOnce, ready / 2}, {"half drain, skewed", skewed, spread, ready / 2}} {
			set := site()
			set.ColdFrom, set.ColdFor, set.FallMultiple, set.FallFor = 0.18, 14*sec, 2.5, 3*sec
			set.Tenants = []Tenant{{PerSec: 0.9 * total}}
			f := &coldFleet{t: t, set: set, capacity: perWorker, ready: ready}
			f.play(gateways, 8*sec, c.rate, c.hears, c.loses)
			f.check(fmt.Sprintf("%d gateways, %s", gateways, c.name))
		}
	}
}
