package decide

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	maxSnapshotWorkers   = 4096
	maxSnapshotCold      = 1024 // cold workers that the gateway has not used; part of maxSnapshotWorkers
	maxSnapshotFunctions = 65536
	maxSnapshotTimes     = 1 << 17 // times of arrivals and orders together, and of sends to one cold worker
)

// checkSnapshot returns an error if a snapshot is invalid or does not fit the settings.
func (r *Router) checkSnapshot(snap *Snapshot, now time.Duration) error {
	if len(snap.Classes) != len(r.classes) || len(snap.HeldDeficit) != len(r.heldDeficit) ||
		len(snap.Tokens) != len(r.heldDeficit) || len(snap.RefilledAt) != len(r.heldDeficit) {
		return fmt.Errorf("decide: snapshot with %d classes and %d tenants, the settings have %d and %d",
			len(snap.Classes), len(snap.HeldDeficit), len(r.classes), len(r.heldDeficit))
	}
	if len(snap.Workers) > maxSnapshotWorkers || len(snap.Functions) > maxSnapshotFunctions ||
		len(snap.Arrivals)+len(snap.Orders) > maxSnapshotTimes {
		return fmt.Errorf("decide: snapshot with %d workers, %d functions, %d arrivals and orders: more than %d, %d or %d",
			len(snap.Workers), len(snap.Functions), len(snap.Arrivals)+len(snap.Orders),
			maxSnapshotWorkers, maxSnapshotFunctions, maxSnapshotTimes)
	}
	times := slices.Concat(snap.RefilledAt, snap.Arrivals, snap.Orders, []time.Duration{snap.ServedAt, snap.CalledAt})
	if len(snap.DefaultDeficit) > len(r.heldDeficit) || slices.ContainsFunc(snap.DefaultDeficit, math.IsNaN) {
		return fmt.Errorf("decide: snapshot with %d default counters, some not a number or more than %d tenants",
			len(snap.DefaultDeficit), len(r.heldDeficit))
	}
	values := []float64{snap.HedgeTokens, snap.ServedRate, snap.Lateness, snap.MeanWork, snap.RecentCalls,
		snap.OverdueShare, snap.HomeFactor}
	for _, c := range snap.Classes {
		values = append(values, c.Mean, c.Dev, c.Work)
	}
	for _, w := range snap.Workers {
		if w.Name == "" || len(w.Deficit) != len(r.heldDeficit) || len(w.EjectedUntil) != len(r.classes) ||
			len(w.EjectedFor) != len(r.classes) || len(w.ColdSends) > maxSnapshotTimes || w.Window < minWindow || w.Window > maxWindow {
			return fmt.Errorf("decide: snapshot of worker %q has no name, wrong lengths or window %v", w.Name, w.Window)
		}
		times = append(times, slices.Concat(w.ColdSends,
			[]time.Duration{w.LossAt, w.ShrunkAt, w.FailedAt, max(0, w.ReadyAt), w.StoppedAt, w.StartedAt})...)
		values = append(values, w.Losses, w.LatencyRatio)
		if slices.Max(append(w.EjectedUntil, w.FullUntil)) > now+time.Hour || slices.Min(append(w.EjectedFor, 0)) < 0 {
			return fmt.Errorf("decide: snapshot of worker %q has a pause longer than an hour or a negative one", w.Name)
		}
	}
	for _, f := range snap.Functions {
		if f.Name == "" || f.Lanes < 1 || len(f.Placements) > len(snap.Workers) {
			return fmt.Errorf("decide: snapshot of function %q has no name, %d lanes or %d placements at %d workers",
				f.Name, f.Lanes, len(f.Placements), len(snap.Workers))
		}
		values, times = append(values, f.RecentCalls), append(times, f.UsedAt)
		for _, p := range f.Placements {
			times = append(times, p.SentAt, p.ConfirmedAt)
			if p.OrderEnd > now+time.Hour || -p.OrderEnd > now+time.Hour {
				return fmt.Errorf("decide: snapshot of function %q has an order more than an hour away", f.Name)
			}
		}
	}
	if slices.ContainsFunc(times, func(t time.Duration) bool { return t < 0 || t > now+time.Second }) {
		return fmt.Errorf("decide: snapshot with a time that is negative or in the future")
	}
	if slices.ContainsFunc(values, func(x float64) bool { return !(x >= 0) || math.IsInf(x, 0) }) {
		return fmt.Errorf("decide: snapshot with a number that is negative, infinite or not a number")
	}
	return nil
}
