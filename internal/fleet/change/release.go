package change

import (
	"fmt"
	"maps"
	"slices"
)

// The values of Release.What, which states what a release changes.
const (
	Version = "version"
	Config  = "config"
	Workers = "workers" // every worker is restarted; there is no target value
)

// ReleaseStatus is the progress of a release.
type ReleaseStatus uint8

// The statuses of a release.
const (
	Running ReleaseStatus = iota
	Halted                // no further step begins until an operator continues it or it is rolled back
	Done
	RolledBack // every subject that it had changed is at its former value again
)

func (c ReleaseStatus) String() string {
	return [...]string{"running", "halted", "done", "taken back"}[min(c, RolledBack)]
}

// Release is a declared change that is rolled out over the fleet in batches. The tags keep the field names of earlier versions
// on disk and between gateways.
type Release struct {
	ID            uint64
	Name, By, Why string
	What, To      string
	Batches       [][]Subject        `json:"Waves" msgpack:"Waves"`
	From          map[Subject]string // the value of each subject when the release began
	Touched       map[Subject]bool   // subjects whose step has begun and which may therefore have been changed
	Batch         int                `json:"Wave" msgpack:"Wave"` // index of the current batch
	Backward      bool               // it is being rolled back, or was
	Status        ReleaseStatus      `json:"Course" msgpack:"Course"`
	Reason        string             // why it was halted or rolled back
	ReachedAt     int64              `json:"Stood" msgpack:"Stood"` // when the whole batch had reached its target, Unix ms; 0: not yet
	Begun         int64              // Unix ms
	// ResumedAt is when the release was last continued or rolled back, Unix ms. Gateways lost before were known then and don't
	// halt it again.
	ResumedAt int64 `json:"Word" msgpack:"Word"`

	VerifyMs        int64   `json:"ProveMs" msgpack:"ProveMs"` // a batch stays under observation at least this long
	MaxVerifyMs     int64   `json:"MostMs" msgpack:"MostMs"`   // and at most this long, where calls are few
	StepTimeoutMs   int64   `json:"StepMs" msgpack:"StepMs"`   // a step that takes longer halts the release
	Alpha           float64 // probability of a halt without a cause, over the whole release
	MaxFailureRatio float64 `json:"Worse" msgpack:"Worse"`       // changed gateways may fail calls this many times as often as others
	MaxSlowRatio    float64 `json:"Slower" msgpack:"Slower"`     // and answer slowly this many times as often
	AutoRollback    bool    `json:"TakeBack" msgpack:"TakeBack"` // an automatic halt is followed by an automatic rollback
	OnFreeze        string  `json:"Freeze" msgpack:"Freeze"`     // what happens when a freeze period begins
}

// The values of Release.OnFreeze, which states what happens when a freeze period begins.
const (
	FreezeHalts     = "halt"
	FreezeRollsBack = "back"
	FreezeRefuses   = "refuse" // the release may begin only if it can end before the period
)

const maxReleases = 16 // releases that State retains

// Check sets the defaults of omitted fields, and returns an error if a field is invalid.
func (r *Release) Check() error {
	setDefault := func(x *int64, d int64) {
		if *x == 0 {
			*x = d
		}
	}
	setDefault(&r.VerifyMs, 60_000)
	setDefault(&r.MaxVerifyMs, 5*r.VerifyMs)
	setDefault(&r.StepTimeoutMs, 60_000)
	if r.Alpha == 0 {
		r.Alpha = 0.01
	}
	if r.MaxFailureRatio == 0 {
		r.MaxFailureRatio = 1.25
	}
	if r.MaxSlowRatio == 0 {
		r.MaxSlowRatio = 1.1
	}
	if r.OnFreeze == "" {
		r.OnFreeze = FreezeHalts
	}
	switch {
	case r.Name == "" || len(r.Name) > 64 || r.By == "":
		return fmt.Errorf("a release needs a name of at most 64 bytes and the name of who states it")
	case r.What != Version && r.What != Config && r.What != Workers:
		return fmt.Errorf("a release is of a %s, a %s or of %s, not of %q", Version, Config, Workers, r.What)
	case r.What != Workers && (r.To == "" || len(r.To) > 128):
		return fmt.Errorf("a release of a %s says to which", r.What)
	case r.VerifyMs < 0 || r.MaxVerifyMs < r.VerifyMs || r.StepTimeoutMs < 1 || r.VerifyMs > 86_400_000:
		return fmt.Errorf("a release proves itself for %d to %d ms and gives a step %d ms", r.VerifyMs, r.MaxVerifyMs, r.StepTimeoutMs)
	case !(r.Alpha > 0 && r.Alpha < 0.5) || !(r.MaxFailureRatio >= 1) || !(r.MaxSlowRatio >= 1):
		return fmt.Errorf("a release's alpha is %v (above 0, under 0.5), worse %v, slower %v (1 or more)", r.Alpha, r.MaxFailureRatio,
			r.MaxSlowRatio)
	case r.OnFreeze != FreezeHalts && r.OnFreeze != FreezeRollsBack && r.OnFreeze != FreezeRefuses:
		return fmt.Errorf("when a freeze begins a release does %s, %s or %s, not %q", FreezeHalts, FreezeRollsBack, FreezeRefuses, r.OnFreeze)
	}
	return nil
}

// Current returns the release that has not ended, nil if there is none.
func (s *State) Current() *Release {
	for _, r := range s.Releases {
		if r.Status < Done {
			return r
		}
	}
	return nil
}

// Release returns the latest release whose ID or name is id, nil if there is none.
func (s *State) Release(id string) *Release {
	for i := len(s.Releases) - 1; i >= 0; i-- {
		if r := s.Releases[i]; r.Name == id || fmt.Sprint(r.ID) == id {
			return r
		}
	}
	return nil
}

// Begin starts a release. The first batch is one gateway or worker, the second a third of its hall, the third the remainder of
// that hall; every other hall is one further batch.
func (s *State) Begin(c Context, r *Release) error {
	if err := r.Check(); err != nil {
		return err
	}
	if o := s.Current(); o != nil {
		return fmt.Errorf("release %s is %s: one at a time", o.Name, o.Status)
	}
	r.ID, r.Begun, r.Status, r.Backward, r.Batch, r.ReachedAt = c.Index, c.At, Running, false, 0, 0
	r.From, r.Touched = map[Subject]string{}, map[Subject]bool{}
	kind := Gateway
	if r.What == Workers {
		kind = Worker
	}
	halls := map[string][]Subject{}
	for _, subject := range slices.Sorted(maps.Keys(s.Subjects)) {
		if status := s.Subjects[subject]; subject.Kind() == kind && status.current(r.What) != r.To {
			r.From[subject] = status.current(r.What)
			halls[status.Hall] = append(halls[status.Hall], subject)
		}
	}
	if len(r.From) == 0 {
		return fmt.Errorf("nothing is left to change: all stand at %s", r.To)
	}
	if len(r.From) > maxSubjects {
		return fmt.Errorf("a release over %d things, %d at most", len(r.From), maxSubjects)
	}
	r.Batches = makeBatches(halls)
	if s.Releases = append(s.Releases, r); len(s.Releases) > maxReleases {
		s.Releases = s.Releases[1:]
	}
	return nil
}

// makeBatches divides the subjects of each hall into batches, halls in alphabetical order.
func makeBatches(halls map[string][]Subject) (out [][]Subject) {
	for i, h := range slices.Sorted(maps.Keys(halls)) {
		all := halls[h]
		if i > 0 {
			out = append(out, all)
			continue
		}
		part := max(1, len(all)/3)
		for _, w := range [][]Subject{all[:1], all[1:min(len(all), 1+part)], all[min(len(all), 1+part):]} {
			if len(w) > 0 {
				out = append(out, w)
			}
		}
	}
	return out
}

// current returns the subject's value of what a release changes. For a release of Workers it is the incarnation.
func (k *SubjectStatus) current(what string) string {
	switch what {
	case Version:
		return k.Version
	case Config:
		return k.Config
	}
	return fmt.Sprint(k.Incarnation)
}
