// Package recover decides what a gateway that starts believes of what it knew before, how it puts together what the
// others tell it, and in which order it takes up service. It is pure: it gets times and events, and returns what to do.
package recover

import "time"

// Stamp is a moment as a process can know it. Wall may step at any time, and across a power loss it may be anything; Up
// never steps, and means something within one boot only.
type Stamp struct {
	Wall time.Duration // Unix time
	Boot string        // names the machine's boot, "" where it is not known
	Up   time.Duration // since that boot, with the time that the machine slept
}

// Age returns how long before now the stamp was taken. Where the machine has been booted since, or it can't be said, known
// is false: the wall clock is not asked, since it may have stepped by any amount in either direction.
func (s Stamp) Age(now Stamp) (age time.Duration, known bool) {
	if s.Boot == "" || s.Boot != now.Boot || s.Up > now.Up {
		return 0, false
	}
	return now.Up - s.Up, true
}
