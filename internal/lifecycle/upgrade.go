package lifecycle

import (
	"errors"
	"net"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/roster"
)

// offerLimit is how long a new process is made to wait for the turn.
const offerLimit = 1500 * time.Millisecond

// upgrade is this process's part in handing the gateway on: from a predecessor at its start, to a successor later.
// Its fields belong to the turn; its methods that the link calls only post.
type upgrade struct {
	g       *Gateway
	dir     string
	who     handover.Who
	saver   *handover.Saver
	door    *handover.Server // where a successor asks
	opening bool
	from    *handover.Peer // the predecessor, while it lives
	to      *handover.Peer // the successor
	toReady bool           // it can serve
	offered roster.Saved   // what the successor was told
	ended   bool
}

// inherit looks for a process of this gateway that serves now, or for what one has left.
func (g *Gateway) inherit(c *Config) (net.Listener, handover.State) {
	u := &upgrade{g: g, dir: c.StateDir, who: handover.Who{Name: c.Name, Listen: c.Listen}}
	g.upgrade = u
	peer, ln, state, err := handover.Take(u.dir, u.who)
	if err == nil {
		u.from = peer
		g.log.Info("taking over from a process that serves", zap.Int("bans", len(state.Roster.Bans)))
		return ln, state
	}
	if !errors.Is(err, handover.ErrNone) {
		g.log.Warn("nothing is taken over from the process that serves", zap.Error(err))
	}
	state, err = handover.Load(u.dir, u.who)
	switch {
	case err == nil:
		g.log.Info("state of a former process is taken", zap.Int("bans", len(state.Roster.Bans)))
	case !errors.Is(err, handover.ErrNone):
		g.log.Warn("state of a former process is not used", zap.Error(err))
	}
	return nil, state
}

// begin is called in the first turn, when calls are taken.
func (u *upgrade) begin() {
	u.saver = handover.NewSaver(u.dir, func(err error) { u.g.log.Warn("state not saved", zap.Error(err)) })
	u.save()
	if u.from != nil {
		u.from.Start(u)
		u.from.Ready()
	}
	u.open()
	u.share()
}

// openAgain is the pause after a place for the next process that could not be had: the folder may be full for a while.
const openAgain = time.Second

// open takes the place where the next process asks, off the turn.
func (u *upgrade) open() {
	if u.opening || u.g.terminating {
		return
	}
	u.opening = true
	go func() {
		door, err := handover.Listen(u.dir, u.who, u)
		u.g.loop.Post(func() {
			u.opening = false
			if err != nil {
				u.g.log.Warn("a new process won't be able to take over", zap.Error(err))
				u.g.loop.After(openAgain, u.open)
				return
			}
			if u.door != nil {
				u.door.Close()
			}
			u.door = door
		})
	}()
}

// share keeps each of two processes to half of what the gateway may hold. Clients are not counted: the platform bounds
// what they hold of the gateway as a whole.
func (u *upgrade) share() {
	c, part := u.g.conf, 1
	if u.from != nil || u.to != nil {
		part = 2
	}
	u.g.pool.SetLimit((c.Sockets - c.clients() - c.own()) / part)
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20) / float64(part)))
	}
}

func (u *upgrade) save() {
	if u.ended {
		return
	}
	u.saver.Save(handover.State{Who: u.who, Roster: u.g.core.Saved()})
}

// changed passes on what an operator has said of a worker here.
func (u *upgrade) changed(id string) {
	ban, banned := u.g.core.Banned(id)
	for _, p := range []*handover.Peer{u.from, u.to} {
		switch {
		case p == nil:
		case banned:
			p.Ban(ban)
		default:
			p.CallBack(id)
		}
	}
	u.save()
}

// Offer gives a successor the listening socket and the state.
func (u *upgrade) Offer() (net.Listener, handover.State, error) {
	type offer struct {
		state handover.State
		err   error
	}
	got := make(chan offer, 1)
	go u.g.loop.PostUrgent(func() {
		switch {
		case u.g.terminating:
			got <- offer{err: errEnding}
		case u.to != nil:
			got <- offer{err: errors.New("a new process has taken over already")}
		default:
			u.offered = u.g.core.Saved()
			s := handover.State{Roster: u.offered, Module: u.g.core.Remember()}
			if u.g.agreement != nil {
				s.Agreed = u.g.agreement.Handed()
			}
			got <- offer{state: s}
		}
	})
	select {
	case o := <-got:
		return u.g.net.Listener(), o.state, o.err
	case <-time.After(offerLimit):
		return nil, handover.State{}, errors.New("no turn in time")
	}
}

// Taken notes a successor, and tells it what has changed since it was offered the state.
func (u *upgrade) Taken(p *handover.Peer) {
	u.g.loop.PostUrgent(func() {
		u.to, u.toReady = p, false
		for _, b := range u.g.core.Saved().Bans {
			p.Ban(b)
		}
		for _, b := range u.offered.Bans {
			if _, banned := u.g.core.Banned(b.ID); !banned {
				p.CallBack(b.ID)
			}
		}
		u.g.log.Info("a new process takes over")
		u.share()
	})
}

// PeerReady says that the successor can serve: from SIGTERM on it takes the connections that come.
func (u *upgrade) PeerReady(p *handover.Peer) {
	u.g.loop.PostUrgent(func() {
		if u.to == p {
			u.toReady = true
			u.g.log.Info("the new process is ready")
		}
	})
}

// PeerGone says that the other process has ended: this one has the gateway to itself.
func (u *upgrade) PeerGone(p *handover.Peer) {
	u.g.loop.PostUrgent(func() {
		switch p {
		case u.from:
			u.from = nil
			u.g.log.Info("the old process has ended")
			if u.g.node != nil && !u.g.terminating {
				u.g.join(true)
			}
			u.g.connectBrokers()
		case u.to:
			u.to, u.toReady = nil, false
			u.g.log.Warn("the new process has gone")
			if u.g.agreement != nil {
				u.g.agreement.Failed("the new process has gone")
			}
			u.open() // it may have taken the place
		default:
			return
		}
		u.share()
	})
}

// Ban takes over a ban that an operator has laid at the other process.
func (u *upgrade) Ban(b roster.Ban) {
	u.g.loop.PostUrgent(func() {
		u.g.core.Adopt(b)
		u.save()
	})
}

// CallBack takes over the end of a ban.
func (u *upgrade) CallBack(id string) {
	u.g.loop.PostUrgent(func() {
		if u.g.core.Enable(id) == nil {
			u.save()
		}
	})
}

// end closes what the turn will not serve any more.
func (u *upgrade) end() {
	u.ended = true
	if u.door != nil {
		u.door.Close()
	}
	u.saver.Close()
}

// part ends the link to the other process: it has the gateway to itself from then on.
func (u *upgrade) part() {
	for _, p := range []*handover.Peer{u.from, u.to} {
		if p != nil {
			p.Close()
		}
	}
}
