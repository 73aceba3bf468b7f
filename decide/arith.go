package decide

// Arithmetic that the decisions share.

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"quillrail/internal/ranking"
)

// ms returns d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// dropUntil drops the times up to cutoff.
func dropUntil(times []time.Duration, cutoff time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(x time.Duration) bool { return x <= cutoff })
}

// sentWork is a call that was sent, with its work in multiples of the mean work of a call.
type sentWork struct {
	at   time.Duration
	work float64
}

// relativeWork is the mean work of a request's class, in multiples of the mean work of a call.
func (r *Router) relativeWork(req *request) float64 { return r.classes[req.class].work / r.meanWork }

// servingWorkers is the number of workers behind the served rate: workers that departed fade out as their share of
// the rate does.
func (r *Router) servingWorkers() float64 {
	return float64(len(r.ready)) + fade(r.departedWeight, r.now-r.listedAt, rateFadeTime)
}

// sentSince drops the calls that were not sent after cutoff, and returns the others with their total work.
func sentSince(sent []sentWork, cutoff time.Duration) (rest []sentWork, work float64) {
	rest = slices.DeleteFunc(sent, func(s sentWork) bool { return s.at <= cutoff })
	for _, s := range rest {
		work += s.work
	}
	return rest, work
}

// sentTimes returns the times of the calls. A snapshot does not hold their work.
func sentTimes(sent []sentWork) (times []time.Duration) {
	for _, s := range sent {
		times = append(times, s.at)
	}
	return times
}

// meanSends returns a call of mean work for each of the times.
func meanSends(times []time.Duration) (sent []sentWork) {
	for _, at := range times {
		sent = append(sent, sentWork{at, 1})
	}
	return sent
}

// fade returns what is left of a sum of recent values after the elapsed time, by exponential decay.
func fade(sum float64, elapsed, over time.Duration) float64 {
	return sum * math.Exp(-float64(elapsed)/float64(over))
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func mix(a, b uint64) uint64 { return ranking.Mix(a, b) }
