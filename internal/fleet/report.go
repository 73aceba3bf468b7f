package fleet

import (
	"fmt"
	"maps"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/fleet/recover"
	"quillrail/internal/roster"
)

const (
	tellEvery       = 50 * time.Millisecond // copies that were found are told so often
	foundCopiesMost = 40                    // in one piece of news
)

// report is what is told unasked.
type report struct {
	Marks  recover.Checkpoints
	Stands []string // functions that were found
}

// Check reports what no finding can hold.
func (x *report) Check() error {
	if len(x.Stands) > foundCopiesMost {
		return fmt.Errorf("fleet: news of %d functions", len(x.Stands))
	}
	return x.Marks.Check()
}

// LocalState returns what is known, for who asks.
func (c *Recovery) LocalState() []byte {
	w := &recover.Answer{Marks: c.marks, Started: map[string]int64{}, Stands: map[string][]recover.Copy{}, Rate: c.former,
		Full: c.course.Phase() == recover.Full}
	if c.begun {
		w.Event = c.gw.Event()
		now := c.host.Now()
		for _, m := range c.members {
			if m.State == decide.Draining {
				w.Draining = append(w.Draining, m.Name)
			}
			if age := now - m.Since; m.Since > 0 && age >= 0 && age < c.set.ColdFor {
				w.Started[m.Name] = age.Milliseconds()
			}
		}
		for _, s := range c.stands {
			w.Stands[s.Function] = append(w.Stands[s.Function], recover.Copy{Worker: s.Worker, Age: max(0, (now - s.At).Milliseconds())})
		}
	}
	b, err := msgpack.Marshal(w)
	if err != nil {
		c.host.Log().Error("what is known can't be told", zap.Error(err))
		return nil
	}
	return b
}

// Receive takes what another gateway knows, or has found.
func (c *Recovery) Receive(m Received) {
	if m.How == Answer {
		c.heard(m.Body)
		return
	}
	var x report
	if err := decode(m.Body, &x); err != nil {
		c.host.Log().Warn("news are not understood", zap.Error(err))
		return
	}
	c.take(x.Marks)
	if c.admit != nil {
		for _, fn := range x.Stands {
			c.admit.Stands(fn)
		}
	}
}

func (c *Recovery) heard(b []byte) {
	var w recover.Answer
	if err := decode(b, &w); err != nil {
		c.host.Log().Warn("another gateway's word is not understood", zap.Error(err))
		return
	}
	if c.admit != nil {
		for fn := range w.Stands {
			c.admit.Stands(fn)
		}
	}
	if c.begun { // the module learns the rest by itself
		w.Stands, w.Started = nil, nil
	}
	c.agreed.Add(&w, c.host.Now())
	c.take(w.Marks)
	c.hold()
}

// broadcastFoundCopies passes on what was found while the fleet comes back, so that each function is loaded once for all.
func (c *Recovery) broadcastFoundCopies() {
	if len(c.foundCopies) == 0 || !c.host.May() {
		return
	}
	k := min(foundCopiesMost, len(c.foundCopies))
	if b, err := msgpack.Marshal(&report{Stands: c.foundCopies[:k]}); err != nil || !c.host.Broadcast(b) {
		c.late++
	}
	c.foundCopies = append([]string(nil), c.foundCopies[k:]...)
}

// BroadcastBan passes on that an operator has left a worker out here, or uses it again.
func (c *Recovery) BroadcastBan(id string, banned bool, since time.Duration) {
	if k, known := c.marks[id]; known && k.Banned == banned {
		return
	}
	k := c.marks.Say(id, banned, since)
	c.host.SaveSoon()
	b, err := msgpack.Marshal(&report{Marks: recover.Checkpoints{id: k}})
	if err != nil {
		c.late++
		return
	}
	c.host.SendAll(b)   // it must not be late,
	c.host.Broadcast(b) // and has to reach those, too, to whom no link comes up
	c.host.Republish()
}

// take puts marks of others into effect.
func (c *Recovery) take(m recover.Checkpoints) {
	newer, refused := c.marks.Join(m)
	if refused > 0 {
		c.late += refused
		c.host.Log().Warn("marks of other gateways find no room", zap.Int("refused", refused))
	}
	if !c.begun {
		return
	}
	for _, id := range newer {
		if k := c.marks[id]; k.Banned {
			c.gw.Ban(roster.Ban{ID: id, Since: k.Since})
		} else {
			c.gw.CallBack(id)
		}
		c.host.Log().Info("another gateway's word on a worker", zap.String("worker", id), zap.Bool("left_out", c.marks[id].Banned))
	}
	if len(newer) > 0 {
		c.host.SaveSoon()
		c.host.Republish()
	}
}

// Told notes a change of the list; Begin's own, too. It is called after the gateway has taken it.
func (c *Recovery) Told(whole bool, members []core.Member) {
	if whole {
		clear(c.members)
	}
	for _, m := range members {
		if m.State == decide.Gone {
			delete(c.members, m.Name)
		} else {
			c.members[m.Name] = m
		}
	}
	c.hold()
}

// hold leaves alone what others know to drain by a newer list than ours.
func (c *Recovery) hold() {
	if !c.begun {
		return
	}
	held := c.agreed.Held(c.gw.Event())
	if maps.Equal(held, c.held) {
		return
	}
	c.held = held
	ids := map[string]bool{}
	for id := range held {
		ids[id] = true
	}
	c.gw.Hold(ids)
	if len(ids) > 0 {
		c.host.Log().Info("workers that others know to drain are left alone", zap.Int("workers", len(ids)))
	}
}

// standing are the copies that a memory knows to have been found.
func standing(m *decide.Snapshot) (out []Stand) {
	for _, f := range m.Functions {
		for _, p := range f.Placements {
			if p.Loaded && p.ConfirmedAt > 0 {
				out = append(out, Stand{f.Name, p.Worker, p.ConfirmedAt})
			}
		}
	}
	return out
}
