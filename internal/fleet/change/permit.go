package change

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// Phase is how far a permit has come.
type Phase uint8

// The phases of a permit.
const (
	Requested Phase = iota // waiting to be granted
	Granted                // the holder may use it; its subjects are still in service
	InUse                  // its subjects may be out of service
	Returned               // the holder has stated that they are back, or may be used again
)

func (p Phase) String() string {
	return [...]string{"waits", "granted", "out", "coming back"}[min(p, Returned)]
}

// Permit allows its subjects to be out of service. The tags keep the field names of earlier versions on disk and between
// gateways.
type Permit struct {
	ID          uint64    // index of the log entry that requested it, which gives the order of the requests
	Subjects    []Subject `json:"Things" msgpack:"Things"`
	Holder      string    // the gateway that takes them out of service; "": all gateways act on it as they apply the log
	By, Why     string
	Release     uint64 // the release of which it is a step, 0: none
	Emergency   bool   // it needs no grant
	Phase       Phase
	Incarnation uint64 `json:"Life" msgpack:"Life"` // of the holder when it used the permit
	// HeldOnlyCopies states that a subject held the only copies of a function when the permit was granted.
	HeldOnlyCopies bool   `json:"Only" msgpack:"Only"`
	Overtaken      int    `json:"Passed" msgpack:"Passed"` // how many later requests were granted before it
	ReturnIndex    uint64 `json:"Back" msgpack:"Back"`     // index of the entry by which it was returned
	At             int64  // when the phase last changed, Unix ms
}

const (
	maxPermits         = 1024
	maxSubjects        = 512 // in one permit or release
	maxSubjectsKnown   = 8192
	maxOvertaken       = 8  // how often a permit that waits for a limit of its hall or of only copies may be overtaken
	maxEnded           = 64 // ended permits that State retains for display
	requiredWitnesses  = 2  // gateways that must observe a subject as healthy, where there are as many other gateways
	maxListedWitnesses = 4  // witnesses listed in an entry, so that its size doesn't grow with the fleet
)

// EndedPermit is a permit that has ended, and how it ended.
type EndedPermit struct {
	Permit
	How string
}

// Context is the position of an entry in the log.
type Context struct {
	Index uint64
	At    int64 // log time of the entry, Unix ms
}

// State is the agreed state of permits and releases. Only log entries change it.
type State struct {
	Limits   Limits
	Subjects map[Subject]*SubjectStatus `json:"Things" msgpack:"Things"`
	Permits  []*Permit                  // in the order in which they were requested
	Ended    []EndedPermit
	Releases []*Release
}

// NewState returns the state before the first entry.
func NewState(l Limits) *State { return &State{Limits: l, Subjects: map[Subject]*SubjectStatus{}} }

// Permit returns the permit with an ID, nil if it has ended.
func (s *State) Permit(id uint64) *Permit {
	for _, p := range s.Permits {
		if p.ID == id {
			return p
		}
	}
	return nil
}

// PermitOf returns the permit that contains a subject, nil if there is none.
func (s *State) PermitOf(subject Subject) *Permit {
	for _, p := range s.Permits {
		if slices.Contains(p.Subjects, subject) {
			return p
		}
	}
	return nil
}

// countsUnavailable reports whether a subject counts towards the limits: it has a granted permit, or it is not healthy.
func (s *State) countsUnavailable(subject Subject) bool {
	if status := s.Subjects[subject]; status != nil && status.Health != Healthy {
		return true
	}
	p := s.PermitOf(subject)
	return p != nil && p.Phase > Requested
}

// CountedUnavailable returns all subjects that count as unavailable, sorted.
func (s *State) CountedUnavailable() (out []Subject) {
	for _, subject := range slices.Sorted(maps.Keys(s.Subjects)) {
		if s.countsUnavailable(subject) {
			out = append(out, subject)
		}
	}
	return out
}

// CheckGrant returns why a waiting permit may not be granted now, nil if it may. Earlier requests of the same kind of subjects go
// first. One of them may be overtaken only if it waits for a limit of its hall or of only copies, the limits of the fleet have
// room for both permits, they have no hall in common, and it has been overtaken fewer than maxOvertaken times.
func (s *State) CheckGrant(p *Permit, m Measurements) error {
	_, err := s.checkGrant(p, m)
	return err
}

// checkGrant does the work of CheckGrant, and also returns the permits that a grant would overtake.
func (s *State) checkGrant(p *Permit, m Measurements) (overtaken []*Permit, err error) {
	if err := s.CheckLimits(s.newlyUnavailable(p), m); err != nil {
		return nil, err
	}
	for _, q := range s.Permits {
		if q == p {
			break
		}
		if q.Phase != Requested || !shareBudget(p, q) {
			continue
		}
		local, _ := s.CheckLimits(q.Subjects, m).(localLimitError)
		both := slices.Concat(p.Subjects, q.Subjects)
		if local.error == nil || q.Overtaken >= maxOvertaken || s.sameHall(p, q) || s.checkFleetLimits(both) != nil {
			return nil, fmt.Errorf("permit %d for %s asked before", q.ID, joinNames(q.Subjects))
		}
		overtaken = append(overtaken, q)
	}
	return overtaken, nil
}

// CancelOrReturn returns the entry after which a permit's subjects may be used again, as of now: a permit that was not used
// lapses, one that is in use is returned. incarnation is that of the proposing gateway. The error states why there is no such
// entry: the permit has ended or has been returned already.
func (s *State) CancelOrReturn(id, incarnation uint64, why string) (Proposal, error) {
	p := s.Permit(id)
	switch {
	case p == nil:
		return Proposal{}, fmt.Errorf("permit %d has ended", id)
	case p.Phase <= Granted:
		return Proposal{"lapse", PermitBody{ID: id, Why: why}}, nil
	case p.Phase == InUse:
		return Proposal{"return", PermitBody{ID: id, Holder: p.Holder, Incarnation: max(p.Incarnation, incarnation)}}, nil
	}
	return Proposal{}, fmt.Errorf("permit %d %s", id, p.Phase)
}

// newlyUnavailable returns the subjects that a permit makes unavailable. A release step without a holder restarts subjects; those
// that are unavailable already don't count again.
func (s *State) newlyUnavailable(p *Permit) []Subject {
	if p.Release == 0 || p.Holder != "" {
		return p.Subjects
	}
	return slices.DeleteFunc(slices.Clone(p.Subjects), func(t Subject) bool { k := s.Subjects[t]; return k != nil && k.Health == Unavailable })
}

// shareBudget reports whether two permits count towards a common limit, as both contain subjects of one kind.
func shareBudget(p, q *Permit) bool {
	for _, a := range p.Subjects {
		for _, b := range q.Subjects {
			if a.Kind() == b.Kind() {
				return true
			}
		}
	}
	return false
}

func (s *State) sameHall(p, q *Permit) bool {
	for _, a := range p.Subjects {
		for _, b := range q.Subjects {
			if x, y := s.Subjects[a], s.Subjects[b]; x != nil && y != nil && x.Hall == y.Hall {
				return true
			}
		}
	}
	return false
}

// checkFleetLimits is CheckLimits without the limits of halls and of capacity.
func (s *State) checkFleetLimits(subjects []Subject) error {
	o := *s
	o.Limits.GatewaysHall, o.Limits.WorkersHall, o.Limits.GatewayCalls, o.Limits.WorkerCalls = Limit{}, Limit{}, 0, 0
	return o.CheckLimits(subjects, Measurements{})
}

// waiting returns the permits that wait to be granted, in the order of the requests.
func (s *State) waiting() (out []*Permit) {
	for _, p := range s.Permits {
		if p.Phase == Requested {
			out = append(out, p)
		}
	}
	slices.SortFunc(out, func(a, b *Permit) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// checkKnowable returns an error if no status of a subject can be recorded: it is invalid, or too many subjects are known.
func (s *State) checkKnowable(subject Subject) error {
	if len(s.Subjects) >= maxSubjectsKnown {
		return fmt.Errorf("%d things are known", len(s.Subjects))
	}
	return subject.Check()
}
