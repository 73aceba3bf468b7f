package decide

// Arithmetic that the decisions share; nothing is decided here.

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"quillrail/internal/ranking"
)

// ms is d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// since drops the times that are not after t.
func since(times []time.Duration, t time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(x time.Duration) bool { return x <= t })
}

// sentWork is a call sent at a time, and its work in calls of mean work.
type sentWork struct {
	at   time.Duration
	work float64
}

// weight is the mean work of a call's class, in calls of mean work.
func (r *Router) weight(q *request) float64 { return r.classes[q.class].work / r.work }

// size is the number of workers that serve what the rate counts: those that were ready of late fade out of both.
func (r *Router) size() float64 {
	return float64(len(r.ready)) + fade(r.left, r.now-r.listedAt, lately)
}

// sentSince drops what was not sent after t, and returns the work of the rest.
func sentSince(sent []sentWork, t time.Duration) (rest []sentWork, work float64) {
	rest = slices.DeleteFunc(sent, func(s sentWork) bool { return s.at <= t })
	for _, s := range rest {
		work += s.work
	}
	return rest, work
}

// sentTimes are the times of what was sent. Their work is not handed on.
func sentTimes(sent []sentWork) (times []time.Duration) {
	for _, s := range sent {
		times = append(times, s.at)
	}
	return times
}

// sentAt is a call of mean work at each of the times.
func sentAt(times []time.Duration) (sent []sentWork) {
	for _, at := range times {
		sent = append(sent, sentWork{at, 1})
	}
	return sent
}

// fade lets a sum of recent things lose what is old.
func fade(sum float64, d, over time.Duration) float64 {
	return sum * math.Exp(-float64(d)/float64(over))
}

func hashOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func mix(a, b uint64) uint64 { return ranking.Mix(a, b) }
