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
	broadcastInterval = 50 * time.Millisecond // pace of broadcasts of functions found to be loaded
	maxFoundFunctions = 40                    // in one broadcast
)

// report is what this part sends to other gateways without a request: changed bans, or functions found to be loaded.
type report struct {
	Bans      recover.BanRecords `msgpack:"Marks"`
	Functions []string           `msgpack:"Stands"` // functions that were found to be loaded
}

// Check returns an error if there are too many functions, or a ban is invalid.
func (r *report) Check() error {
	if len(r.Functions) > maxFoundFunctions {
		return fmt.Errorf("fleet: report of %d functions exceeds the limit", len(r.Functions))
	}
	return r.Bans.Check()
}

// LocalState returns the state that this gateway sends to others.
func (c *Recovery) LocalState() []byte {
	answer := &recover.Answer{BanRecords: c.bans, Started: map[string]int64{}, LoadedCopies: map[string][]recover.Copy{}, Rate: c.formerRate,
		Full: c.phases.Phase() == recover.Full}
	if c.begun {
		answer.Event = c.gateway.LastEvent()
		now := c.host.Now()
		for _, m := range c.workers {
			if m.State == decide.Draining {
				answer.Draining = append(answer.Draining, m.Name)
			}
			if age := now - m.Since; m.Since > 0 && age >= 0 && age < c.settings.ColdFor {
				answer.Started[m.Name] = age.Milliseconds()
			}
		}
		for _, s := range c.copies {
			answer.LoadedCopies[s.Function] = append(answer.LoadedCopies[s.Function],
				recover.Copy{Worker: s.Worker, Age: max(0, (now - s.ProvenAt).Milliseconds())})
		}
	}
	b, err := msgpack.Marshal(answer)
	if err != nil {
		c.host.Log().Error("local state can't be encoded", zap.Error(err))
		return nil
	}
	return b
}

// Receive handles another gateway's state, or its report of changed bans and found functions.
func (c *Recovery) Receive(m Received) {
	if m.Channel == Answer {
		c.receiveAnswer(m.Body)
		return
	}
	var message report
	if err := decode(m.Body, &message); err != nil {
		c.host.Log().Warn("report of another gateway can't be decoded", zap.Error(err))
		return
	}
	c.applyBans(message.Bans)
	if c.admission != nil {
		for _, fn := range message.Functions {
			c.admission.MarkLoaded(fn)
		}
	}
}

// receiveAnswer adds another gateway's state to what is known of all peers.
func (c *Recovery) receiveAnswer(b []byte) {
	var answer recover.Answer
	if err := decode(b, &answer); err != nil {
		c.host.Log().Warn("state of another gateway can't be decoded", zap.Error(err))
		return
	}
	if c.admission != nil {
		for fn := range answer.LoadedCopies {
			c.admission.MarkLoaded(fn)
		}
	}
	if c.begun { // from now on the module itself observes copies and worker starts
		answer.LoadedCopies, answer.Started = nil, nil
	}
	c.peerState.Add(&answer, c.host.Now())
	c.applyBans(answer.BanRecords)
	c.updateHeld()
}

// broadcastFoundFunctions sends the functions found to be loaded during recovery to all gateways, so that each function needs
// only one first load in the whole fleet.
func (c *Recovery) broadcastFoundFunctions() {
	if len(c.foundFunctions) == 0 || !c.host.MayAct() {
		return
	}
	count := min(maxFoundFunctions, len(c.foundFunctions))
	if b, err := msgpack.Marshal(&report{Functions: c.foundFunctions[:count]}); err != nil || !c.host.Broadcast(b) {
		c.unsent++
	}
	c.foundFunctions = append([]string(nil), c.foundFunctions[count:]...)
}

// BroadcastBan notifies all gateways that an operator has banned a worker here, or ended its ban.
func (c *Recovery) BroadcastBan(id string, banned bool, since time.Duration) {
	if old, known := c.bans[id]; known && old.Banned == banned {
		return
	}
	record := c.bans.Set(id, banned, since)
	c.host.SaveSoon()
	b, err := msgpack.Marshal(&report{Bans: recover.BanRecords{id: record}})
	if err != nil {
		c.unsent++
		return
	}
	c.host.SendAll(b)   // gossip may be late,
	c.host.Broadcast(b) // but also reaches gateways to which no link can be opened
	c.host.Republish()
}

// applyBans applies bans, and ends of bans, from other gateways.
func (c *Recovery) applyBans(records recover.BanRecords) {
	newer, refused := c.bans.Merge(records)
	if refused > 0 {
		c.unsent += refused
		c.host.Log().Warn("bans of other gateways exceed the limit", zap.Int("refused", refused))
	}
	if !c.begun {
		return
	}
	for _, id := range newer {
		if record := c.bans[id]; record.Banned {
			c.gateway.Ban(roster.Ban{ID: id, Since: record.Since})
		} else {
			c.gateway.Unban(id)
		}
		c.host.Log().Info("ban of a worker changed by another gateway", zap.String("worker", id), zap.Bool("left_out", c.bans[id].Banned))
	}
	if len(newer) > 0 {
		c.host.SaveSoon()
		c.host.Republish()
	}
}

// ListChanged records a change of the worker list, including the initial list. It is called after the gateway has applied it. whole
// means that members is the complete list.
func (c *Recovery) ListChanged(whole bool, members []core.Member) {
	c.workers.Update(whole, members)
	c.updateHeld()
}

// updateHeld holds back the workers that are draining according to a peer's list newer than this gateway's.
func (c *Recovery) updateHeld() {
	if !c.begun {
		return
	}
	held := c.peerState.NewerDrains(c.gateway.LastEvent())
	if maps.Equal(held, c.held) {
		return
	}
	c.held = held
	ids := map[string]bool{}
	for id := range held {
		ids[id] = true
	}
	c.gateway.Hold(ids)
	if len(ids) > 0 {
		c.host.Log().Info("workers that peers list as draining are held back", zap.Int("workers", len(ids)))
	}
}

// provenCopies returns the copies that calls have found loaded, from the module's memory.
func provenCopies(m *decide.Snapshot) (out []LoadedCopy) {
	for _, f := range m.Functions {
		for _, p := range f.Placements {
			if p.Loaded && p.ConfirmedAt > 0 {
				out = append(out, LoadedCopy{f.Name, p.Worker, p.ConfirmedAt})
			}
		}
	}
	return out
}
