package agreement

import (
	"quillrail/internal/fleet/member"
)

// incarnationRecord is the highest incarnation of a gateway that has been observed, and the highest number before it.
// Before is the answer to an identity query by the process with the highest incarnation, because that incarnation itself
// may already be known from another message of the same process.
type incarnationRecord struct {
	member.Incarnation
	Before uint64
}

// recordIncarnation records an incarnation of another gateway and returns the highest number that was known before it.
func (a *Agent) recordIncarnation(name string, incarnation member.Incarnation) uint64 {
	record, known := a.incarnations[name]
	switch {
	case name == a.options.Name || incarnation.Number == 0 || !known && len(a.incarnations) >= maxIncarnations:
		return record.Number
	case incarnation == record.Incarnation:
		return record.Before
	case incarnation.Compare(record.Incarnation) > 0:
		a.incarnations[name] = incarnationRecord{incarnation, max(record.Number, record.Before)}
		a.host.SaveSoon()
	}
	return record.Number
}
