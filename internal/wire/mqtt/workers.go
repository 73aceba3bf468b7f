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
		Weight: w.Weight, Since: l.since[w.Name], SelfReported: true}}
}

var states = map[string]decide.HostState{"ready": decide.Ready, "draining": decide.Draining, "gone": decide.Gone}

// status takes a worker's state. One that comes back after it was gone may have been started anew, and is
// treated as cold unless the state is from before we subscribed.
func (l *Link) status(w *Worker, text string, retained bool) {
	state, ok := states[strings.TrimSpace(text)]
	if !ok {
		l.log.Warn("worker's state can't be read", zap.String("worker", w.Name))
		return
	}
	was, known := l.state[w.Name]
	if known && was == state || !known && state == decide.Gone {
		return
	}
	if state == decide.Ready && !retained {
		l.since[w.Name] = l.loop.Now()
	}
	l.state[w.Name] = state
	l.log.Info("worker's state", zap.String("worker", w.Name), zap.String("state", text))
	l.tell(false, []core.Member{l.member(w, state)})
	if state == decide.Gone {
		for _, ref := range slices.Sorted(maps.Keys(l.open)) {
			if l.open[ref].worker == w.Name {
				l.end(ref, decide.Reset, decide.NoNote, nil)
			}
		}
	}
}

// Members are the workers as last told.
func (l *Link) Members() (members []core.Member) {
	for _, name := range slices.Sorted(maps.Keys(l.state)) {
		members = append(members, l.member(l.workers[name], l.state[name]))
	}
	return members
}
