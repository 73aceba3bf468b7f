package change

import (
	"fmt"
	"maps"
	"slices"
)

// Observation is the present status of one subject according to the gateways' reports.
type Observation struct {
	Hall            string
	Health          Health
	Incarnation     uint64
	Version, Config string
	Witnesses       []string // gateways that observe it as healthy
	Left            bool     // a gateway that has announced that it leaves the fleet
}

// View is the input of the Driver, as the leading gateway sees it.
type View struct {
	Context
	Measurements
	Self         string
	Subjects     map[Subject]Observation // subjects with reports; all others are unavailable
	Samples      map[string]Sample       // by gateway
	Classes      int                     // number of classes
	NoMajorityMs int64                   // how long there was no majority before this gateway became leader; 0 after the first Drive
	FreezePeriod string                  // the freeze period that forbids releases now, "": none
	FreezeInMs   int64                   // time until the next such period begins, 0: none is known
}

// Proposal is a proposed log entry.
type Proposal struct {
	Kind string
	Body any
}

// Bodies of the entries that the driver proposes. The tags keep the field names of earlier versions between gateways and in the log.
type (
	StatusUpdateBody struct {
		Updates []StatusUpdate `msgpack:"Seen"`
	}
	GrantBody struct {
		ID           uint64
		Measurements Measurements `msgpack:"Measure"`
	}
	PermitBody struct {
		ID          uint64
		Why         string
		Holder      string
		Incarnation uint64 `msgpack:"Life"`
	}
	ReleaseBody struct {
		ID     uint64
		Reason string
	}
)

const (
	holderAbsenceLimitMs = 60_000 // a waiting permit lapses when its holder has been unavailable this long
	useTimeoutMs         = 10_000 // a granted permit that its holder has not used in this time lapses
	maxNoMajorityMs      = 5_000  // a longer time without a majority halts a release
	maxStatusUpdates     = 256    // in one entry
)

// Driver proposes the next steps of permits and releases. It runs at the leader of the agreement. All its proposals must have been
// applied or have failed before Drive is called again.
type Driver struct {
	comparator      *Comparator
	comparedRelease uint64             // ID of the release that comparator is for
	comparedBatch   int                // batch for which comparator counts calls
	comparedAt      int64              // when samples were last compared, Unix ms
	baseline        map[string][]Tally // by gateway, counts from times without a release
	lastCounts      map[string]Counts  // by gateway, at baselineAt
	baselineAt      int64              // when baseline was last updated, Unix ms
}

// NewDriver returns a driver without a baseline.
func NewDriver() *Driver {
	return &Driver{baseline: map[string][]Tally{}, lastCounts: map[string]Counts{}}
}

const compareEveryMs = 1000 // interval at which the gateways' counts are read

// Drive returns the entries to propose now.
func (d *Driver) Drive(s *State, v *View) (out []Proposal) {
	if updates := statusUpdates(s, v); len(updates) > 0 {
		out = append(out, Proposal{"see", StatusUpdateBody{updates}})
	}
	out = append(out, permitSteps(s, v)...)
	d.updateBaseline(s, v)
	if r := s.Current(); r != nil {
		out = append(out, d.releaseSteps(s, r, v)...)
	}
	return out
}

// statusUpdates returns updates for subjects whose observed status differs from the agreed one, and for healthy subjects whose
// returned permit needs an observation after the return.
func statusUpdates(s *State, v *View) (out []StatusUpdate) {
	all := slices.Sorted(maps.Keys(s.Subjects))
	for _, subject := range slices.Sorted(maps.Keys(v.Subjects)) {
		if s.Subjects[subject] == nil {
			all = append(all, subject)
		}
	}
	for _, subject := range all {
		if len(out) == maxStatusUpdates {
			break
		}
		agreed, observed := s.Subjects[subject], v.Subjects[subject]
		update := StatusUpdate{Subject: subject, SubjectStatus: SubjectStatus{Hall: observed.Hall, Health: observed.Health,
			Incarnation: observed.Incarnation, Version: observed.Version, Config: observed.Config},
			Witnesses: observed.Witnesses[:min(len(observed.Witnesses), maxListedWitnesses)]}
		if agreed == nil {
			if update.Health != Healthy || s.missingWitnesses(update) == 0 {
				out = append(out, update)
			}
			continue
		}
		if observed.Hall == "" { // there are no reports on it: it becomes unavailable and is otherwise unchanged
			update.SubjectStatus = *agreed
			update.Health = Unavailable
			if observed.Left && s.PermitOf(subject) == nil {
				update.Forget = true
				out = append(out, update)
				continue
			}
		}
		if update.Health == Healthy && s.missingWitnesses(update) > 0 {
			update.Health = Cold // too few others confirm that it is healthy
		}
		p := s.PermitOf(subject)
		confirms := p != nil && p.Phase == Returned && agreed.Index <= p.ReturnIndex && update.Health == Healthy
		if confirms || update.Health != agreed.Health || update.Incarnation != agreed.Incarnation || update.Version != agreed.Version ||
			update.Config != agreed.Config || update.Hall != agreed.Hall {
			out = append(out, update)
		}
	}
	return out
}

// permitSteps returns the entries that move permits to their next phase now.
func permitSteps(s *State, v *View) (out []Proposal) {
	granted := false
	for _, p := range s.Permits {
		holderUnavailable := p.Holder != "" && v.Subjects[NewSubject(Gateway, p.Holder)].Health == Unavailable
		switch p.Phase {
		case Requested:
			if holderUnavailable { // the permit keeps its place for a time, since the holder may have been silent for a moment only
				if status := s.Subjects[NewSubject(Gateway, p.Holder)]; status == nil ||
					status.Health == Unavailable && v.At-status.At > holderAbsenceLimitMs {
					out = append(out, Proposal{"lapse", PermitBody{ID: p.ID, Why: p.Holder + " is out, and holds it"}})
				}
			} else if !granted && s.CheckGrant(p, v.Measurements) == nil {
				granted = true // the next one is judged when this grant has been applied
				out = append(out, Proposal{"grant", GrantBody{p.ID, v.Measurements}})
			}
		case Granted:
			switch {
			case p.Holder == "":
				out = append(out, Proposal{"use", PermitBody{ID: p.ID}})
			case v.At-p.At > useTimeoutMs:
				out = append(out, Proposal{"lapse", PermitBody{ID: p.ID, Why: "it was not used"}})
			}
		case InUse:
			if r := s.releaseOf(p); r != nil && s.stepReached(r, p, v) {
				out = append(out, Proposal{"return", PermitBody{ID: p.ID, Holder: p.Holder, Incarnation: v.Subjects[p.Subjects[0]].Incarnation}})
			}
		case Returned:
			if !slices.ContainsFunc(p.Subjects, func(subject Subject) bool {
				status := s.Subjects[subject]
				return status != nil && (status.Health != Healthy || status.Index <= p.ReturnIndex)
			}) {
				out = append(out, Proposal{"end", PermitBody{ID: p.ID}})
			}
		}
	}
	return out
}

func (s *State) releaseOf(p *Permit) *Release {
	for _, r := range s.Releases {
		if r.ID == p.Release {
			return r
		}
	}
	return nil
}

// stepReached reports whether all subjects of a step have reached its target by their own reports. Reports of an incarnation before
// the one that used the permit don't count; a worker must have a new incarnation.
func (s *State) stepReached(r *Release, p *Permit, v *View) bool {
	for _, subject := range p.Subjects {
		observed, ok := v.Subjects[subject]
		status := SubjectStatus{Incarnation: observed.Incarnation, Version: observed.Version, Config: observed.Config}
		switch {
		case !ok || observed.Health == Unavailable || observed.Incarnation < p.Incarnation:
			return false
		case r.What == Workers && fmt.Sprint(observed.Incarnation) == r.From[subject],
			r.What != Workers && status.current(r.What) != r.Target(subject):
			return false
		}
	}
	return true
}

// updateBaseline adds the gateways' counts to the baseline while there is no release. Gateways with a permit are skipped.
func (d *Driver) updateBaseline(s *State, v *View) {
	if s.Current() != nil || v.At-d.baselineAt < compareEveryMs {
		return
	}
	d.baselineAt = v.At
	for g, x := range v.Samples {
		diff, ok := Delta(x.Counts, d.lastCounts[g])
		d.lastCounts[g] = x.Counts
		if !ok || s.PermitOf(NewSubject(Gateway, g)) != nil {
			continue
		}
		total := d.baseline[g]
		if len(total) != len(diff) {
			total = make([]Tally, len(diff))
		}
		for k := range diff {
			total[k] = total[k].Plus(diff[k])
		}
		d.baseline[g] = total
	}
	maps.DeleteFunc(d.baseline, func(g string, _ []Tally) bool { _, there := v.Samples[g]; return !there })
	maps.DeleteFunc(d.lastCounts, func(g string, _ Counts) bool { _, there := v.Samples[g]; return !there })
}
