package decide

// Moving a memory's times to another clock: the process that takes over may have been started after the machine's clock
// was stepped, while the one that hands on goes by the clock from before.

import "time"

// clockApart is how far two processes' clocks may be apart before times are moved. Handing on takes less, also on a machine
// that is busy: what it takes must not make leases seem younger.
const clockApart = 30 * time.Second

// shift moves all times by so much. 0 stays 0: it says that there is no such time.
func (m *Memory) shift(by time.Duration) {
	m.At += by
	for _, times := range [][]time.Duration{m.Refilled, m.Arrivals, m.Orders} {
		shiftAll(times, by)
	}
	shiftOne(&m.GoodAt, by)
	shiftOne(&m.CalledAt, by)
	for i := range m.Workers {
		m.Workers[i].shift(by)
	}
	for i := range m.Funcs {
		m.Funcs[i].shift(by)
	}
}

func (w *WorkerMemory) shift(by time.Duration) {
	for _, t := range []*time.Duration{&w.Began, &w.LostAt, &w.ShrunkAt, &w.FailedAt, &w.FullUntil, &w.ReadyAt, &w.StoppedAt} {
		shiftOne(t, by)
	}
	shiftAll(w.Aside, by)
	shiftAll(w.Cold, by)
}

func (f *FunctionMemory) shift(by time.Duration) {
	shiftOne(&f.UsedAt, by)
	for i := range f.Places {
		p := &f.Places[i]
		shiftOne(&p.LastSend, by)
		shiftOne(&p.Proven, by)
		if p.Ordered < 0 { // no order until then
			p.Ordered -= by
		} else {
			shiftOne(&p.Ordered, by)
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
