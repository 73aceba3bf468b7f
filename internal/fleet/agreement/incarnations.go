package agreement

import (
	"quillrail/internal/fleet/member"
)

// incarnations are the highest life that was heard of a gateway, and the highest number before it: a process that asks may have been
// heard of already, by another way.
type incarnations struct {
	member.Incarnation
	Before uint64
}

// lived notes a life of another gateway, and returns the highest number that was known before it.
func (a *Agent) lived(name string, l member.Incarnation) uint64 {
	k, known := a.lives[name]
	switch {
	case name == a.o.Name || l.Number == 0 || !known && len(a.lives) >= maxLives:
		return k.Number
	case l == k.Incarnation:
		return k.Before
	case l.Compare(k.Incarnation) > 0:
		a.lives[name] = incarnations{l, max(k.Number, k.Before)}
		a.host.SaveSoon()
	}
	return k.Number
}
