package decide

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	memoryWorkers   = 4096 // bounds of a memory
	memoryCold      = 1024 // of these that were not used
	memoryFunctions = 65536
	memoryTimes     = 1 << 17
)

// fits reports what is wrong with a memory.
func (r *Router) fits(m *Memory, now time.Duration) error {
	if len(m.Classes) != len(r.classes) || len(m.Turn) != len(r.turn) || len(m.Tokens) != len(r.turn) || len(m.Refilled) != len(r.turn) {
		return fmt.Errorf("decide: memory of %d classes and %d tenants", len(m.Classes), len(m.Turn))
	}
	if len(m.Workers) > memoryWorkers || len(m.Funcs) > memoryFunctions || len(m.Arrivals)+len(m.Orders) > memoryTimes {
		return fmt.Errorf("decide: memory of %d workers, %d functions", len(m.Workers), len(m.Funcs))
	}
	past := slices.Concat(m.Refilled, m.Arrivals, m.Orders, []time.Duration{m.GoodAt, m.CalledAt})
	if len(m.Unsent) > len(r.turn) || slices.ContainsFunc(m.Unsent, math.IsNaN) {
		return fmt.Errorf("decide: memory of %d counters", len(m.Unsent))
	}
	figures := []float64{m.Seconds, m.GoodRate, m.Late, m.Work, m.Calls, m.Doubt, m.Spread}
	for _, c := range m.Classes {
		figures = append(figures, c.Mean, c.Dev, c.Work)
	}
	for _, w := range m.Workers {
		if w.Name == "" || len(w.Deficit) != len(r.turn) || len(w.Aside) != len(r.classes) || len(w.Length) != len(r.classes) ||
			len(w.Cold) > memoryTimes || w.Window < windowMin || w.Window > windowMost {
			return fmt.Errorf("decide: memory of worker %q", w.Name)
		}
		past = append(past, slices.Concat(w.Cold, []time.Duration{w.LostAt, w.ShrunkAt, w.FailedAt, max(0, w.ReadyAt), w.StoppedAt, w.Began})...)
		figures = append(figures, w.Lost, w.Part)
		if slices.Max(append(w.Aside, w.FullUntil)) > now+time.Hour || slices.Min(append(w.Length, 0)) < 0 {
			return fmt.Errorf("decide: memory of worker %q", w.Name)
		}
	}
	for _, f := range m.Funcs {
		if f.Name == "" || f.Lanes < 1 || len(f.Places) > len(m.Workers) {
			return fmt.Errorf("decide: memory of function %q", f.Name)
		}
		figures, past = append(figures, f.Calls), append(past, f.UsedAt)
		for _, p := range f.Places {
			past = append(past, p.LastSend, p.Proven)
			if p.Ordered > now+time.Hour || -p.Ordered > now+time.Hour {
				return fmt.Errorf("decide: memory of function %q", f.Name)
			}
		}
	}
	if slices.ContainsFunc(past, func(t time.Duration) bool { return t < 0 || t > now+time.Second }) {
		return fmt.Errorf("decide: memory of what is still to come")
	}
	if slices.ContainsFunc(figures, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }) {
		return fmt.Errorf("decide: memory with an impossible figure")
	}
	return nil
}
