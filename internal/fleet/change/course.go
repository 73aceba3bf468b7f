package change

import (
	"fmt"
	"slices"
)

// Target is what a thing is to stand at by a release; of workers, which are started anew, it is "" forwards.
func (r *Release) Target(t Thing) string {
	if r.Backward {
		return r.From[t]
	}
	return r.To
}

// Stands reports whether a thing stands at what a release wants. Workers that were started anew stay so: there is no way back
// for them, and a release of theirs that is taken back ends where it is.
func (s *State) Stands(r *Release, t Thing) bool {
	k := s.Things[t]
	switch {
	case k == nil: // it left the fleet
		return true
	case r.What == Workers:
		return r.Backward || fmt.Sprint(k.Life) != r.From[t] && k.Health == Well && s.PermitOf(t) == nil
	}
	return k.at(r.What) == r.Target(t) && k.Health == Well && s.PermitOf(t) == nil
}

// Steps are the things of a release's present batch, backwards only those that it has touched.
func (r *Release) Steps() []Thing {
	if r.Batch < 0 || r.Batch >= len(r.Batches) {
		return nil
	}
	w := slices.Clone(r.Batches[r.Batch])
	if r.Backward {
		w = slices.DeleteFunc(w, func(t Thing) bool { return !r.Touched[t] })
	}
	return w
}

// touch notes that a step is begun; it is called when the step's permit is used.
func (s *State) touch(p *Permit) {
	for _, r := range s.Releases {
		if r.ID == p.Release {
			for _, t := range p.Things {
				r.Touched[t] = true
			}
		}
	}
}

// running returns a release that has not ended.
func (s *State) running(id uint64) (*Release, error) {
	for _, r := range s.Releases {
		if r.ID == id && r.Course < Done {
			return r, nil
		}
	}
	return nil, fmt.Errorf("no release %d is under way", id)
}

// Stand says that all of the batch stand at what is wanted, and prove themselves from now on.
func (s *State) Stand(c Context, id uint64) error {
	r, err := s.running(id)
	if err != nil || r.Course != Running {
		return fmt.Errorf("release %d does not run", id)
	}
	for _, t := range r.Steps() {
		if !s.Stands(r, t) {
			return fmt.Errorf("%s does not stand at %q", t.Name(), r.Target(t))
		}
	}
	r.Stood = c.At
	return nil
}

// Next goes on to the next batch, or ends the release. The batch has to have stood for as long as it proves itself.
func (s *State) Next(c Context, id uint64) error {
	r, err := s.running(id)
	switch {
	case err != nil:
		return err
	case r.Course != Running || r.Stood == 0:
		return fmt.Errorf("batch %d of release %s does not stand", r.Batch+1, r.Name)
	case !r.Backward && c.At-r.Stood < r.ProveMs:
		return fmt.Errorf("batch %d of release %s has proved itself for %d of %d ms", r.Batch+1, r.Name, c.At-r.Stood, r.ProveMs)
	}
	r.Stood = 0
	if r.Backward {
		if r.Batch--; r.Batch < 0 {
			r.Course, r.Reason = Undone, ""
		}
	} else if r.Batch++; r.Batch >= len(r.Batches) {
		r.Course, r.Reason = Done, ""
	}
	return nil
}

// Pause has a release stand still. What waits for it waits no longer; what is out comes back by itself.
func (s *State) Pause(c Context, id uint64, reason string) error {
	r, err := s.running(id)
	if err != nil {
		return err
	}
	r.Course, r.Reason, r.Stood = Halted, reason, 0
	s.lapseOf(r, "its release was halted")
	return nil
}

func (s *State) lapseOf(r *Release, why string) {
	for _, p := range slices.Clone(s.Permits) {
		if p.Release == r.ID && p.Phase <= Granted {
			s.end(p, why)
		}
	}
}

// Continue has a halted release go on.
func (s *State) Continue(c Context, id uint64) error {
	r, err := s.running(id)
	if err != nil {
		return err
	}
	if r.Course != Halted {
		return fmt.Errorf("release %s is %s", r.Name, r.Course)
	}
	r.Course, r.Reason, r.Stood, r.Word = Running, "", 0, c.At
	return nil
}

// RollBack takes a release back: exactly what it has touched goes to where it stood, batch by batch from the last.
func (s *State) RollBack(c Context, id uint64, reason string) error {
	var r *Release
	for _, o := range s.Releases {
		if o.ID == id {
			r = o
		}
	}
	switch {
	case r == nil:
		return fmt.Errorf("no release %d is known", id)
	case r.Course == Undone:
		return fmt.Errorf("release %s has been taken back", r.Name)
	case s.Current() != nil && s.Current() != r:
		return fmt.Errorf("release %s is %s: one at a time", s.Current().Name, s.Current().Course)
	case r.Backward && r.Course == Running:
		return fmt.Errorf("release %s is being taken back", r.Name)
	}
	s.lapseOf(r, "its release is taken back")
	for _, p := range s.Permits { // steps that are under way turn round, and have their time for it
		if p.Release == r.ID {
			p.At = c.At
		}
	}
	r.Batch = min(r.Batch, len(r.Batches)-1)
	r.Backward, r.Course, r.Reason, r.Stood, r.Word = true, Running, reason, 0, c.At
	return nil
}

// Wanted is what a gateway is to become: the target of a step whose permit it uses, "" for nothing.
func (s *State) Wanted(gateway string) (what, to string, permit uint64) {
	p := s.PermitOf(Of(Gateway, gateway))
	if p == nil || p.Phase < Used || p.Release == 0 {
		return "", "", 0
	}
	for _, r := range s.Releases {
		if r.ID == p.Release && r.What != Workers {
			return r.What, r.Target(p.Things[0]), p.ID
		}
	}
	return "", "", 0
}
