package agreement

import (
	"slices"

	"go.uber.org/zap"

	"quillrail/internal/fleet/replog"
)

// applied is told of every entry that is applied here.
func (a *Agent) applied(x replog.Applied) {
	st := a.State()
	if st.Era != a.doneEra {
		a.doneEra, a.done = st.Era, 0
	}
	if x.Index <= a.done { // by the copy that is followed, and by the log that is held
		return
	}
	a.done = x.Index
	a.recent.add(x)
	if x.Whole {
		a.held.sync(a, st)
		return
	}
	if x.Entry == nil {
		return
	}
	if x.Err != replog.ErrTwice {
		a.told(x)
		a.held.carry(a, x)
	}
	a.answer(x)
	a.pushed()
}

// fail gives the log up after an error of the library: the gateway follows from then on.
func (a *Agent) fail(err error) {
	if err == nil || a.group == nil {
		return
	}
	a.log.Error("this gateway does not hold the log any more", zap.Error(err))
	if b := a.Handed(); b != nil {
		a.copy.Replace(b)
	}
	a.group, a.writing = nil, false
}

// Stop ends the part. One that leads hands the lead on.
func (a *Agent) Stop() {
	if a.group != nil && a.group.Leads() {
		for _, v := range a.group.State().Voting() {
			if v.ID != a.group.ID() {
				a.group.Yield(v.ID)
				a.pump()
				break
			}
		}
	}
	a.stopped = true
}

// voters are the names to ask what is agreed: those who vote as far as is known, else those of the file.
func (a *Agent) voters() (names []string) {
	if st := a.State(); st != nil {
		for _, v := range st.Voters {
			names = append(names, v.Name)
		}
	}
	if len(names) == 0 {
		names = slices.Clone(a.o.First)
	}
	return names
}
