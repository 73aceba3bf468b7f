package agreement

import (
	"time"

	"go.uber.org/zap"

	"quillrail/internal/fleet/replog"
)

// seats sees to those who vote: one change at a time.
func (a *Agent) seats(st *replog.State, now time.Duration) {
	l := &a.lead
	if l.turn++; l.turn%10 != 0 {
		return
	}
	var all []replog.Candidate
	for name, r := range l.reports {
		if now-r.at > forgetLead {
			delete(l.reports, name)
			continue
		}
		c := replog.Candidate{Name: name, Hall: r.Hall, ID: r.ID, Up: now-r.at <= fresh, DownFor: (now - r.at).Milliseconds()}
		c.Behind, c.Listens = a.group.Behind(r.ID)
		all = append(all, c)
	}
	for _, v := range st.Voters { // one that was never heard of counts from the begin of this lead on
		if _, ok := l.reports[v.Name]; !ok {
			all = append(all, replog.Candidate{Name: v.Name, Hall: v.Hall, ID: v.ID, DownFor: (now - l.since).Milliseconds()})
		}
	}
	s := replog.Membership{Want: a.o.Votes, LostMs: a.o.Replace.Milliseconds()}
	if v, gone, ok := s.Next(st, a.group.ID(), all); ok {
		v.At = now.Milliseconds()
		a.log.Info("who votes is changed", zap.String("gateway", v.Name), zap.Bool("learner", v.Learner), zap.Bool("removed", gone))
		if err := a.group.Change(v, gone); err != nil {
			a.log.Info("who votes is not changed yet", zap.Error(err))
		}
		a.pump()
	}
}
