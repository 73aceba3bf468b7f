package mqtt

import (
	"maps"
	"slices"
	"strings"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
)

func (l *Link) member(w *Worker, state decide.HostState) core.Member {
	return core.Member{Addr: w.Topic, Host: decide.Host{Name: w.Name, Zone: w.Zone, Cell: w.Cell, State: state,
		Weight: w.Weight, Since: l.startedAt[w.Name], SelfReported: true}}
}

var stateByText = map[string]decide.HostState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// handleStatus handles a worker's state. A worker that is ready again after it was gone may have been restarted and is treated as
// cold, unless the state is a retained message from before the subscription.
func (l *Link) handleStatus(w *Worker, text string, retained bool) {
	state, ok := stateByText[strings.TrimSpace(text)]
	if !ok {
		l.log.Warn("worker's state can't be read", zap.String("worker", w.Name))
		return
	}
	previous, known := l.states[w.Name]
	if known && previous == state || !known && state == decide.Gone {
		return
	}
	if state == decide.Ready && !retained {
		l.startedAt[w.Name] = l.loop.Now()
	}
	l.states[w.Name] = state
	l.log.Info("worker's state", zap.String("worker", w.Name), zap.String("state", text))
	l.onMembers(false, []core.Member{l.member(w, state)})
	if state == decide.Gone {
		for _, ref := range slices.Sorted(maps.Keys(l.inFlight)) {
			if l.inFlight[ref].worker == w.Name {
				l.end(ref, decide.Reset, decide.NoNote, nil)
			}
		}
	}
}

// Members returns the workers whose state is known.
func (l *Link) Members() (members []core.Member) {
	for _, name := range slices.Sorted(maps.Keys(l.states)) {
		members = append(members, l.member(l.workers[name], l.states[name]))
	}
	return members
}
