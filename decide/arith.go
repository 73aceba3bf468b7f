package decide

// Arithmetic that the decisions share; nothing is decided here.

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// ms is d in milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// since drops the times that are not after t.
func since(times []time.Duration, t time.Duration) []time.Duration {
	return slices.DeleteFunc(times, func(x time.Duration) bool { return x <= t })
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

func mix(a, b uint64) uint64 {
	x := a ^ b*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
