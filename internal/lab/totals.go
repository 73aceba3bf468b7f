package lab

import (
	"fmt"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bin counts the requests of a class that were due within one binLength.
type bin struct{ due, served int }

var classWorths = [3]float64{1, 3, 5} // of the classes read, command and once; the same as in the gateways' settings

// waiter is a call of AwaitServed: done is closed once the served requests reach served.
type waiter struct {
	served int
	done   chan struct{}
}

// Milestone is the totals at one time.
type Milestone struct {
	At time.Duration // since the start of the traffic
	Totals
}

// Totals counts requests by the outcome of their last try.
type Totals struct {
	Calls        int // all of them
	Served       int
	Refused      int // rejected with status 503 or 429
	Failed       int
	Unanswered   int // the connection ended without a complete answer, or the client timed out
	LostInFlight int `json:"InHand"` // unanswered, and the gateway was killed or paused meanwhile
	Unreached    int // no gateway accepted the connection
	Wrong        int // answered with a body that no worker has sent for this request
}

// bin returns the bin of a due time and a class (its letter). t.mu is held.
func (t *Traffic) bin(due time.Time, class byte) *bin {
	index := int(due.Sub(t.begun) / binLength)
	for len(t.bins) <= index {
		t.bins = append(t.bins, [3]bin{})
	}
	return &t.bins[index][strings.IndexByte("rco", class)]
}

const binLength = 100 * time.Millisecond

// WorthServed returns which part of the worth of the requests that were due between from and from+length was served. class is 0 to 2
// (read, command, once), or below 0 for all of them. The result is 1 if no request was due.
func (t *Traffic) WorthServed(from time.Time, length time.Duration, class int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, served float64
	firstBin := int(from.Sub(t.begun) / binLength)
	for i := max(0, firstBin); i < min(len(t.bins), firstBin+int(length/binLength)); i++ {
		for k, b := range t.bins[i] {
			if class < 0 || class == k {
				due, served = due+classWorths[k]*float64(b.due), served+classWorths[k]*float64(b.served)
			}
		}
	}
	if due == 0 {
		return 1
	}
	return served / due
}

// RecoveryTime returns how long after from it took until WorthServed over the following second was at least part*formerWorth; limit
// if that did not happen earlier.
func (t *Traffic) RecoveryTime(from time.Time, formerWorth, part float64, class int, limit time.Duration) time.Duration {
	for d := time.Duration(0); d < limit; d += binLength {
		if t.WorthServed(from.Add(d), time.Second, class) >= part*formerWorth {
			return d
		}
	}
	return limit
}

// ErrorSamples returns the errors of the first few unanswered requests.
func (t *Traffic) ErrorSamples() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.errorSamples
}

// AwaitServed waits until more further requests have been served, at most for limit, and reports whether they have.
func (t *Traffic) AwaitServed(more int, limit time.Duration) bool {
	t.mu.Lock()
	w := waiter{t.totals.Served + more, make(chan struct{})}
	t.waiters = append(t.waiters, w)
	t.mu.Unlock()
	select {
	case <-w.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Totals returns the counts so far.
func (t *Traffic) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

// Latency returns a percentile of the served requests' latency, measured from when each was due.
func (t *Traffic) Latency(percent float64) time.Duration { return t.quantile(t.latency, percent) }

// Lateness returns a percentile of how late the clients sent requests after they were due.
func (t *Traffic) Lateness(percent float64) time.Duration { return t.quantile(t.lateness, percent) }

func (t *Traffic) quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Milestones returns the totals at intervals of about 0.1 s.
func (t *Traffic) Milestones() []Milestone {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.milestones
}

// Summary returns the line of counts that is printed at the end of a run or a test with several processes.
func (l *Lab) Summary(t Totals) string {
	c := l.Counts()
	return fmt.Sprintf("figures: gateways=%d workers=%d kills=%d calls=%d served=%d refused=%d failed=%d unanswered=%d lost_in_hand=%d "+
		"unreached=%d wrong=%d twice=%d dropped=%d late_sends=%d fell=%d loads=%d store_pushed=%d outside=%d split_sessions=%d "+
		"crossed=%d turned_away=%d", len(l.Gateways), len(l.Workers), c.Kills, t.Calls, t.Served, t.Refused, t.Failed, t.Unanswered,
		t.LostInFlight, t.Unreached, t.Wrong, c.RanTwice, c.DroppedRepeats, c.LateSends, c.ColdCollapses, c.Loads, c.StoreOverloads,
		c.OutsideHalls, c.SplitSessions, c.Crossed, c.Rejected)
}

// Violations names the rules that were broken, with how often, by the counts of clients and stubs; "" if none was.
func (l *Lab) Violations(t Totals) string {
	c, text := l.Counts(), ""
	for name, n := range map[string]int{"served with a wrong body": t.Wrong, "ran twice": c.RanTwice, "sent to a draining worker": c.LateSends,
		"cold worker collapsed": c.ColdCollapses, "store pushed over": c.StoreOverloads, "command outside of its halls": c.OutsideHalls,
		"split session": c.SplitSessions} {
		if n > 0 {
			text += fmt.Sprintf("%s: %d; ", name, n)
		}
	}
	return text
}
