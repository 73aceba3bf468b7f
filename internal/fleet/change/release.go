package change

import (
	"fmt"
	"maps"
	"slices"
)

// What a release changes.
const (
	Version = "version"
	Config  = "config"
	Workers = "workers" // each is started anew
)

// Course is how far a release has come.
type Course uint8

// The courses of a release.
const (
	Running Course = iota
	Halted         // it stands still where it is
	Done
	Undone // what it had changed stands where it stood before
)

func (c Course) String() string {
	return [...]string{"running", "halted", "done", "taken back"}[min(c, Undone)]
}

// Release is a stated change that goes over the fleet in batches.
type Release struct {
	ID            uint64
	Name, By, Why string
	What, To      string
	Batches       [][]Thing        `json:"Waves" msgpack:"Waves"` // the names that versions before gave them stay on disk and between gateways
	From          map[Thing]string // what each stood at when the release was stated
	Touched       map[Thing]bool   // those for which a step was begun: they may have been changed
	Batch         int              `json:"Wave" msgpack:"Wave"` // that is under way
	Backward      bool
	Course        Course
	Reason        string // why it stands still
	Stood         int64  // since when all of the batch stand at what is wanted, Unix ms; 0: they don't
	Begun         int64
	Word          int64 // when it was last told to go on or back, Unix ms: what was lost before is known

	ProveMs, MostMs int64   // a batch proves itself for so long, and at most for so long where calls are few
	StepMs          int64   // a step that takes longer halts the release
	Alpha           float64 // chance of a halt without a cause, over the whole release
	Worse           float64 // failures may be so many times as frequent as at those not changed
	Slower          float64 // and slow answers
	TakeBack        bool    // once halted by itself it is taken back by itself
	Freeze          string  // when a period begins: halt, back, or refuse to begin
}

// What becomes of a release when a period of a freeze begins.
const (
	FreezeHalts   = "halt"
	FreezeBack    = "back"
	FreezeRefuses = "refuse" // it may not begin unless it can end before
)

const maxReleases = 16 // that are remembered

// Check fills in what was left out, and reports what is wrong with a release.
func (r *Release) Check() error {
	def := func(x *int64, d int64) {
		if *x == 0 {
			*x = d
		}
	}
	def(&r.ProveMs, 60_000)
	def(&r.MostMs, 5*r.ProveMs)
	def(&r.StepMs, 60_000)
	if r.Alpha == 0 {
		r.Alpha = 0.01
	}
	if r.Worse == 0 {
		r.Worse = 1.25
	}
	if r.Slower == 0 {
		r.Slower = 1.1
	}
	if r.Freeze == "" {
		r.Freeze = FreezeHalts
	}
	switch {
	case r.Name == "" || len(r.Name) > 64 || r.By == "":
		return fmt.Errorf("a release needs a name of at most 64 bytes and the name of who states it")
	case r.What != Version && r.What != Config && r.What != Workers:
		return fmt.Errorf("a release is of a %s, a %s or of %s, not of %q", Version, Config, Workers, r.What)
	case r.What != Workers && (r.To == "" || len(r.To) > 128):
		return fmt.Errorf("a release of a %s says to which", r.What)
	case r.ProveMs < 0 || r.MostMs < r.ProveMs || r.StepMs < 1 || r.ProveMs > 86_400_000:
		return fmt.Errorf("a release proves itself for %d to %d ms and gives a step %d ms", r.ProveMs, r.MostMs, r.StepMs)
	case !(r.Alpha > 0 && r.Alpha < 0.5) || !(r.Worse >= 1) || !(r.Slower >= 1):
		return fmt.Errorf("a release's alpha is %v (above 0, under 0.5), worse %v, slower %v (1 or more)", r.Alpha, r.Worse, r.Slower)
	case r.Freeze != FreezeHalts && r.Freeze != FreezeBack && r.Freeze != FreezeRefuses:
		return fmt.Errorf("when a freeze begins a release does %s, %s or %s, not %q", FreezeHalts, FreezeBack, FreezeRefuses, r.Freeze)
	}
	return nil
}

// Current is the release that has not ended, nil if none.
func (s *State) Current() *Release {
	for _, r := range s.Releases {
		if r.Course < Done {
			return r
		}
	}
	return nil
}

// Release returns the one that has an ID or a name, nil if there is none.
func (s *State) Release(id string) *Release {
	for i := len(s.Releases) - 1; i >= 0; i-- {
		if r := s.Releases[i]; r.Name == id || fmt.Sprint(r.ID) == id {
			return r
		}
	}
	return nil
}

// Begin states a release. Its batches are one gateway, then a part of that one's hall, then the rest of it, then hall by hall.
func (s *State) Begin(c Context, r *Release) error {
	if err := r.Check(); err != nil {
		return err
	}
	if o := s.Current(); o != nil {
		return fmt.Errorf("release %s is %s: one at a time", o.Name, o.Course)
	}
	r.ID, r.Begun, r.Course, r.Backward, r.Batch, r.Stood = c.Index, c.At, Running, false, 0, 0
	r.From, r.Touched = map[Thing]string{}, map[Thing]bool{}
	kind := Gateway
	if r.What == Workers {
		kind = Worker
	}
	halls := map[string][]Thing{}
	for _, t := range slices.Sorted(maps.Keys(s.Things)) {
		if k := s.Things[t]; t.Kind() == kind && k.at(r.What) != r.To {
			r.From[t] = k.at(r.What)
			halls[k.Hall] = append(halls[k.Hall], t)
		}
	}
	if len(r.From) == 0 {
		return fmt.Errorf("nothing is left to change: all stand at %s", r.To)
	}
	if len(r.From) > maxThings {
		return fmt.Errorf("a release over %d things, %d at most", len(r.From), maxThings)
	}
	r.Batches = batches(halls)
	if s.Releases = append(s.Releases, r); len(s.Releases) > maxReleases {
		s.Releases = s.Releases[1:]
	}
	return nil
}

// batches orders the things of halls.
func batches(halls map[string][]Thing) (out [][]Thing) {
	for i, h := range slices.Sorted(maps.Keys(halls)) {
		all := halls[h]
		if i > 0 {
			out = append(out, all)
			continue
		}
		part := max(1, len(all)/3)
		for _, w := range [][]Thing{all[:1], all[1:min(len(all), 1+part)], all[min(len(all), 1+part):]} {
			if len(w) > 0 {
				out = append(out, w)
			}
		}
	}
	return out
}

// at is what a thing stands at, of what a release changes.
func (k *Known) at(what string) string {
	switch what {
	case Version:
		return k.Version
	case Config:
		return k.Config
	}
	return fmt.Sprint(k.Life)
}
