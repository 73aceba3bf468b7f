package agreement

import (
	"maps"
	"slices"

	"go.uber.org/zap"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/replog"
)

// CancelDrain is called when an operator lets this gateway take clients again. It withdraws or returns the permit under
// which the gateway drains, and the requests for one that may still be agreed.
func (a *Agent) CancelDrain() {
	a.WithdrawRequests(change.NewSubject(change.Gateway, a.options.Name))
	permit := a.OwnPermit()
	switch {
	case permit == nil || permit.Holder != a.options.Name || permit.Release != 0:
	case permit.Phase <= change.Granted: // the permit is not in use yet and no longer wanted
		a.permits.withdrawnPermit = permit.ID
		a.Propose("lapse", "", 0, change.PermitBody{ID: permit.ID, Why: "its drain was taken back"}, nil)
	case permit.Phase == change.InUse:
		a.permits.drainPermit = 0
		a.returnOwnPermit(permit.ID)
	}
}

// WithdrawRequests withdraws this gateway's requests for a permit for a subject that have not been applied here, and reports whether
// there are any. They are not sent again, but may be agreed all the same: their permits are then withdrawn at once. Emergency permits
// are not withdrawn, as their subjects were out.
func (a *Agent) WithdrawRequests(subject change.Subject) (withdrawn bool) {
	for _, p := range a.pending {
		if p.request != nil && !p.request.Emergency && slices.Contains(p.request.Subjects, subject) {
			p.withdrawn, withdrawn = true, true
		}
	}
	return withdrawn
}

// withdrawApplied withdraws the permit of a request that was withdrawn before it was applied, as the entry with the given index.
func (a *Agent) withdrawApplied(index uint64) {
	a.permits.withdrawnPermit = index
	a.withdrawPermit(index, "an operator, before it was agreed", func(_ uint64, err error) {
		if err != nil {
			a.log.Warn("a withdrawn request was agreed, and its permit is not withdrawn", zap.Uint64("permit", index), zap.Error(err))
		}
	})
}

// withdrawFromState withdraws the permits of withdrawn requests that have been applied according to a whole state that was adopted, in
// which their entries are not seen.
func (a *Agent) withdrawFromState(state *replog.State) {
	for _, seq := range slices.Sorted(maps.Keys(a.pending)) {
		p := a.pending[seq]
		if !p.withdrawn || !state.HasApplied(p.entry.From, p.entry.Incarnation, seq) {
			continue
		}
		delete(a.pending, seq)
		permit := state.Change.PermitOf(p.request.Subjects[0])
		if permit != nil && permit.ID > p.knownIndex && permit.By == p.entry.By {
			a.withdrawApplied(permit.ID)
		}
	}
}

// ReturnPermit ends a permit because an operator says that its subjects may be used again. done is called once, within a
// second.
func (a *Agent) ReturnPermit(permit *change.Permit, by string, done func(string, error)) {
	a.withdrawPermit(permit.ID, by, a.withTimeout(func(_ uint64, err error) { done("", err) }))
}

// withdrawPermit proposes the entry that ends a permit in its present phase. If the permit changes its phase before that
// entry is applied, the entry has no effect, and the entry that fits the new phase is proposed.
func (a *Agent) withdrawPermit(id uint64, by string, done func(uint64, error)) {
	withdrawal, err := a.State().Change.CancelOrReturn(id, a.host.Incarnation().Number, "taken back by "+by)
	if err != nil {
		done(0, err)
		return
	}
	a.Propose(withdrawal.Kind, by, 0, withdrawal.Body, func(index uint64, err error) {
		if err != nil && a.withdrawalChanged(id, withdrawal) {
			a.withdrawPermit(id, by, done)
			return
		}
		done(index, err)
	})
}

// withdrawalChanged reports whether ending a permit now takes another entry than the one that was proposed.
func (a *Agent) withdrawalChanged(id uint64, proposed change.Proposal) bool {
	now, err := a.State().Change.CancelOrReturn(id, 0, "")
	return err == nil && now.Kind != proposed.Kind
}
