package decide

// The form of delays and latencies in a snapshot. Versions up to eaea51e1 hand over, and read, latencies in shares of a
// wanted latency in the place of delays: from 0 at an idle fleet to about 1 at a busy one.

import (
	"math"
	"time"
)

const shareDigits = 1e6 // shares are rounded to 1/shareDigits, so that they stay the same when they are handed over again

// delayShare returns the part of a call's latency that a delay stands for: 0 for none, less than 1 for any.
func delayShare(delay float64) float64 {
	delay = max(0, delay)
	return math.Round(shareDigits*delay/(1+delay)) / shareDigits
}

// delayOf returns the delay with a share of the latency, at most longestDelay.
func delayOf(share float64) float64 {
	share = min(share, longestDelay/(1+longestDelay))
	return share / (1 - share)
}

// restoreClass returns the statistics of a class as of now. A snapshot does not hold the latency without waiting. It follows from the
// mean and the delay of all calls.
func restoreClass(saved ClassSnapshot, delay float64, now time.Duration) classStat {
	c := classStat{mean: saved.Mean, dev: saved.Dev, work: saved.Work}
	if c.mean == initialMean && c.dev == initialDev || c.mean == 0 || c.work == 0 {
		return c // there was no answer yet
	}
	c.answeredAt, c.samples = now, minLatencySamples
	c.perWork = c.mean / c.work
	c.unloaded = c.perWork / (1 + delay)
	return c
}
