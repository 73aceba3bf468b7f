// Package recover decides which part of its former state a starting gateway trusts, how it merges the answers of its peers, and in
// which phases it starts to serve. It does no I/O and reads no clock: callers pass in times and events.
package recover

import "time"

// Stamp is a point in time by the clocks that a process can read. Wall may step at any time, and is arbitrary after
// a power loss. Up never steps, but can only be compared within one boot.
type Stamp struct {
	Wall time.Duration // Unix time
	Boot string        // identifies the boot of the machine; "" if not known
	Up   time.Duration // time since that boot, suspended time included
}

// Age returns how long before now the stamp was taken. known is false if the machine has been booted since, or if that can't
// be determined: the wall clock is not used instead, since it may have stepped by any amount in either direction.
func (s Stamp) Age(now Stamp) (age time.Duration, known bool) {
	if s.Boot == "" || s.Boot != now.Boot || s.Up > now.Up {
		return 0, false
	}
	return now.Up - s.Up, true
}
