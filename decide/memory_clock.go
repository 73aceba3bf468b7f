package decide

// Moving the times of a snapshot to another clock: the process that takes over may have been started after
// the machine's clock was stepped, while the one that took the snapshot still uses the clock from before.

import "time"

// maxClockSkew is the largest difference, in either direction, between the time at which a snapshot was taken
// and the time at which it is restored that does not count as a step of the clock. The difference contains
// the duration of the handover. The limit is longer than a handover takes even on a busy machine: if a
// handover counted as a step, the times would be moved forwards by its duration, and leases would seem
// younger than they are.
const maxClockSkew = 30 * time.Second

// shift adds a duration to At and to the other times on the gateway's clock. Those that are 0 stay 0, as it
// means that there is no such time. The workers' Since stays, as it is compared with the start that the list
// publishes.
func (s *Snapshot) shift(by time.Duration) {
	s.At += by
	for _, times := range [][]time.Duration{s.RefilledAt, s.Arrivals, s.Orders} {
		shiftAll(times, by)
	}
	shiftOne(&s.ServedAt, by)
	shiftOne(&s.CalledAt, by)
	for i := range s.Workers {
		s.Workers[i].shift(by)
	}
	for i := range s.Functions {
		s.Functions[i].shift(by)
	}
}

func (w *WorkerSnapshot) shift(by time.Duration) {
	for _, t := range []*time.Duration{&w.StartedAt, &w.LossAt, &w.ShrunkAt, &w.FailedAt, &w.FullUntil,
		&w.ReadyAt, &w.StoppedAt} {
		shiftOne(t, by)
	}
	shiftAll(w.EjectedUntil, by)
	shiftAll(w.ColdSends, by)
}

func (f *FunctionSnapshot) shift(by time.Duration) {
	shiftOne(&f.UsedAt, by)
	for i := range f.Placements {
		p := &f.Placements[i]
		shiftOne(&p.SentAt, by)
		shiftOne(&p.ConfirmedAt, by)
		if p.OrderEnd < 0 { // before -OrderEnd an order is sent only for a waiting call
			p.OrderEnd -= by
		} else {
			shiftOne(&p.OrderEnd, by)
		}
	}
}

func shiftAll(times []time.Duration, by time.Duration) {
	for i := range times {
		shiftOne(&times[i], by)
	}
}

func shiftOne(t *time.Duration, by time.Duration) {
	if *t != 0 {
		*t += by
	}
}
