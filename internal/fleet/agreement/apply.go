package agreement

import (
	"slices"
	"time"

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

// afterFailure is how long a gateway that gave its log up is not taken in again: its disk may be full for a while.
const afterFailure = 10 * time.Second

// fail gives the log up after an error of the library or of the disk: the gateway follows from then on. What it has promised as
// this voter may not be on disk, so that it gives its number up as well, and can be taken in only as another one. An agreement
// that is only being founded is forgotten.
func (a *Agent) fail(err error) {
	if err == nil || a.group == nil {
		return
	}
	a.log.Error("this gateway does not hold the log any more", zap.Error(err))
	if b := a.Handed(); b != nil && !a.founding {
		a.copy.Replace(b)
	}
	a.founding = false
	a.forfeit()
	a.failed, a.failedAt = true, a.host.Now()
}

// failedLately reports whether the log was given up a moment ago.
func (a *Agent) failedLately() bool { return a.failed && a.host.Now()-a.failedAt < afterFailure }

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
