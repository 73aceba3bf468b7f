package agreement

import (
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/replog"
)

// maintainVoters proposes the next voter change, if one is due. It looks every tenth time that it is called.
func (a *Agent) maintainVoters(state *replog.State, now time.Duration) {
	lead := &a.lead
	if lead.iterations++; lead.iterations%10 != 0 {
		return
	}
	var candidates []replog.Candidate
	for name, report := range lead.reports {
		if now-report.receivedAt > forgetReportAfter {
			delete(lead.reports, name)
			continue
		}
		candidate := replog.Candidate{Name: name, Hall: report.Hall, ID: report.ID, Up: now-report.receivedAt <= reportMaxAge,
			DownForMs: (now - report.receivedAt).Milliseconds()}
		candidate.Behind, candidate.Responsive = a.group.Behind(report.ID)
		candidates = append(candidates, candidate)
	}
	for _, v := range state.Voters { // a voter that has never reported counts as down since this gateway became the leader
		if _, ok := lead.reports[v.Name]; !ok {
			candidates = append(candidates, replog.Candidate{Name: v.Name, Hall: v.Hall, ID: v.ID,
				DownForMs: (now - lead.since).Milliseconds()})
		}
	}
	membership := replog.Membership{TargetVoters: a.options.TargetVoters, LostAfterMs: a.options.ReplaceAfter.Milliseconds()}
	if v, remove, ok := membership.Next(state, a.group.ID(), candidates); ok {
		v.At = now.Milliseconds()
		a.log.Info("proposing a voter change", zap.String("gateway", v.Name), zap.Bool("learner", v.Learner), zap.Bool("removed", remove))
		if err := a.group.ProposeVoterChange(v, remove); err != nil {
			a.log.Info("voter change not proposed", zap.Error(err))
		}
		a.pump()
	}
}
