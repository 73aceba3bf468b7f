package agreement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// heldPermits tracks what this gateway has to do because of agreed permits.
type heldPermits struct {
	banned          map[string]bool // workers that a permit in use bans
	drainPermit     uint64          // the permit under which this gateway drains
	withdrawnPermit uint64          // the permit for this gateway that an operator withdrew before it was used
	proposedSteps   map[uint64]bool // proposed steps; key: permit ID<<3 | step, where step 1 uses the permit and step 2 returns it
}

// handleEntry carries out what an applied entry requires of this gateway.
func (h *heldPermits) handleEntry(a *Agent, applied replog.Applied) {
	if applied.Err != nil {
		return
	}
	switch applied.Entry.Kind {
	case "use", "return", "word", "end", "ask":
		h.syncBans(a, a.State())
	case "lift", "except", "second":
		a.gateway.RecheckFreezes()
	case "take":
		var body replog.NameBody
		if msgpack.Unmarshal(applied.Entry.Body, &body) == nil && body.Name == a.options.Name {
			a.gateway.ApplyPendingConfig()
		}
	}
}

// syncBans adapts the bans to the permits: a worker is banned while a permit that names it is in use.
func (h *heldPermits) syncBans(a *Agent, state *replog.State) {
	if state == nil {
		return
	}
	wanted := map[string]bool{}
	for _, permit := range state.Change.Permits {
		for _, subject := range permit.Subjects {
			if subject.Kind() == change.Worker && permit.Phase == change.InUse {
				wanted[subject.Name()] = true
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(wanted)) {
		if !h.banned[id] {
			a.gateway.Ban(id)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.banned)) {
		if !wanted[id] {
			a.gateway.Unban(id)
		}
	}
	h.banned = wanted
}

// markProposed reports whether a step of a permit has not been proposed yet, and records it as proposed.
func (h *heldPermits) markProposed(id uint64, step int) bool {
	key := id<<3 | uint64(step)
	if h.proposedSteps == nil {
		h.proposedSteps = map[uint64]bool{}
	}
	if h.proposedSteps[key] {
		return false
	}
	if len(h.proposedSteps) > 1000 {
		clear(h.proposedSteps)
	}
	h.proposedSteps[key] = true
	return true
}

// advancePermits proposes the next steps of the permits that this gateway holds.
func (a *Agent) advancePermits(now time.Duration) {
	state, held := a.State(), &a.permits
	if state == nil {
		return
	}
	self := change.NewSubject(change.Gateway, a.options.Name)
	for _, permit := range state.Change.Permits {
		if permit.Holder != a.options.Name {
			continue
		}
		mine := slices.Contains(permit.Subjects, self)
		switch {
		case permit.Phase == change.Granted && held.markProposed(permit.ID, 1):
			id := permit.ID
			a.Propose("use", "", 0, change.PermitBody{ID: id, Holder: a.options.Name, Incarnation: a.host.Incarnation().Number}, func(_ uint64, err error) {
				if err != nil {
					delete(held.proposedSteps, id<<3|1) // the permit may be granted again
					a.log.Warn("a permit is not used", zap.Uint64("permit", id), zap.Error(err))
				} else if mine && permit.Release == 0 {
					a.startDrain(id)
				}
			})
		case permit.Phase == change.InUse && mine && permit.Release == 0 && permit.Incarnation < a.host.Incarnation().Number &&
			a.gateway.Serving() && held.markProposed(permit.ID, 2):
			a.returnOwnPermit(permit.ID) // a previous process used this permit, and this process serves clients again
		}
	}
}

// startDrain drains this gateway after its permit has come into use. If an operator has withdrawn the permit in the
// meantime, the entry that was to make it lapse comes after the one that put it into use, so the permit is returned
// instead.
func (a *Agent) startDrain(id uint64) {
	if permit := a.State().Change.Permit(id); permit == nil || permit.Phase != change.InUse || permit.Incarnation != a.host.Incarnation().Number {
		return
	}
	if id == a.permits.withdrawnPermit {
		a.returnOwnPermit(id)
		return
	}
	a.permits.drainPermit = id
	a.gateway.Drain(fmt.Sprintf("permit %d", id))
}

// returnOwnPermit proposes to return a permit that this process holds.
func (a *Agent) returnOwnPermit(id uint64) {
	a.Propose("return", "", 0, change.PermitBody{ID: id, Holder: a.options.Name, Incarnation: a.host.Incarnation().Number}, nil)
}

// OwnPermit returns the permit that names this gateway, nil if there is none.
func (a *Agent) OwnPermit() *change.Permit {
	if state := a.State(); state != nil {
		return state.Change.PermitOf(change.NewSubject(change.Gateway, a.options.Name))
	}
	return nil
}

// StepFailed is called when a step of a release has failed at this gateway, which goes on unchanged. It halts the
// release.
func (a *Agent) StepFailed(why string) {
	permit := a.OwnPermit()
	if permit == nil || permit.Release == 0 || permit.Phase != change.InUse {
		return
	}
	a.Propose("halt", "", 0, change.ReleaseBody{ID: permit.Release, Reason: a.options.Name + ": " + why}, nil)
	a.returnOwnPermit(permit.ID)
}

// ProcessEnding is called when this process has been asked to end. If it has no permit for that, it records an emergency
// permit, so that the limits take its absence into account.
func (a *Agent) ProcessEnding() {
	if state := a.State(); state != nil && a.OwnPermit() == nil && state.Change.Subjects[change.NewSubject(change.Gateway, a.options.Name)] != nil {
		a.Propose("ask", "", 0, &change.Permit{Subjects: []change.Subject{change.NewSubject(change.Gateway, a.options.Name)},
			Holder: a.options.Name, Emergency: true, By: "SIGTERM", Why: "it was asked to end"}, nil)
	}
}

// Wanted returns the version or configuration that a running release wants a gateway to change to, and the permit for
// it; what is "" if there is none.
func (a *Agent) Wanted(gateway string) (what, to string, permit uint64) {
	if state := a.State(); state != nil {
		return state.Change.PendingChange(gateway)
	}
	return "", "", 0
}

// PermitOf returns the permit that names a subject, nil if there is none.
func (a *Agent) PermitOf(subject change.Subject) *change.Permit {
	if state := a.State(); state != nil {
		return state.Change.PermitOf(subject)
	}
	return nil
}

// ReportEmergency records that an operator has taken a subject out of service without a permit. The emergency permit
// makes the limits take its absence into account.
func (a *Agent) ReportEmergency(subject change.Subject, holder, by, why string) {
	a.log.Warn("taken out by an emergency word", zap.String("kind", subject.Kind()), zap.String("name", subject.Name()),
		zap.String("by", by), zap.String("why", why))
	a.Propose("ask", by, 0, &change.Permit{Subjects: []change.Subject{subject}, Holder: holder, Why: why, Emergency: true}, nil)
}

// WorkersToRestart returns the workers that a release wants to be restarted now.
func (a *Agent) WorkersToRestart() (ids []string) {
	state := a.State()
	if state == nil {
		return nil
	}
	for _, permit := range state.Change.Permits {
		if permit.Phase == change.InUse && permit.Release != 0 {
			for _, subject := range permit.Subjects {
				if subject.Kind() == change.Worker {
					ids = append(ids, subject.Name())
				}
			}
		}
	}
	slices.Sort(ids)
	return ids
}
