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

// offerTimeout is how long Offer waits for the event loop to provide the state for a successor.
const offerTimeout = 1500 * time.Millisecond

// upgrade hands the gateway over between processes: from a predecessor to this process at its start, and later to a successor. It
// implements handover.Handler. Its fields belong to the event loop; the methods of handover.Handler, which run on goroutines of the
// link, only post to the loop.
type upgrade struct {
	gateway         *Gateway
	dir             string
	identity        handover.Identity
	saver           *handover.Saver
	server          *handover.Server // accepts the successor's connection
	listening       bool             // a goroutine is creating the server
	predecessor     *handover.Peer   // nil once the predecessor has ended
	successor       *handover.Peer
	successorReady  bool          // the successor has reported that it is ready to serve
	successorBroker string        // address of the broker at which the successor publishes outcomes; empty for none
	offeredRoster   roster.Saved  // the roster that was last offered to a successor
	callTransfer    *callTransfer // to the successor; nil without one that is ready, and without an MQTT front
	ended           bool
}

// takeOver requests the listening socket and the state from the process of this gateway that serves now. If there is none, it loads the
// state file of a former process; the listener is nil then.
func (g *Gateway) takeOver(conf *Config) (net.Listener, handover.State) {
	u := &upgrade{gateway: g, dir: conf.StateDir, identity: handover.Identity{Name: conf.Name, Listen: conf.Listen}}
	u.saver = handover.NewSaver(u.dir, func(err error) { g.log.Warn("state not saved", zap.Error(err)) })
	g.upgrade = u
	peer, ln, state, err := handover.TakeOver(u.dir, u.identity)
	if err == nil {
		u.predecessor = peer
		g.log.Info("taking over from a process that serves", zap.Int("bans", len(state.Roster.Bans)))
		return ln, state
	}
	if !errors.Is(err, handover.ErrNoPredecessor) {
		g.log.Warn("nothing is taken over from the process that serves", zap.Error(err))
	}
	state, err = handover.Load(u.dir, u.identity)
	switch {
	case err == nil:
		g.log.Info("state of a former process is taken", zap.Int("bans", len(state.Roster.Bans)))
	case !errors.Is(err, handover.ErrNoPredecessor):
		g.log.Warn("state of a former process is not used", zap.Error(err))
	}
	return nil, state
}

// start is called on the event loop when the gateway begins to serve clients.
func (u *upgrade) start() {
	u.save()
	if u.predecessor != nil {
		u.predecessor.Start(u)
		u.predecessor.Ready(u.gateway.outcomeBroker())
	}
	u.listen()
	u.splitLimits()
}

// listenRetryDelay is the time between attempts to create the server for a successor; they fail, for example, while the disk is full.
const listenRetryDelay = time.Second

// listen creates the server for a successor on another goroutine, since that may block. It replaces an earlier one.
func (u *upgrade) listen() {
	if u.listening || u.gateway.terminating {
		return
	}
	u.listening = true
	go func() {
		server, err := handover.Listen(u.dir, u.identity, u)
		u.gateway.loop.Post(func() {
			u.listening = false
			if err != nil {
				u.gateway.log.Warn("a new process won't be able to take over", zap.Error(err))
				u.gateway.loop.After(listenRetryDelay, u.listen)
				return
			}
			if u.server != nil {
				u.server.Close()
			}
			u.server = server
		})
	}()
}

// peers returns the links to the other processes of the gateway.
func (u *upgrade) peers() (links []*handover.Peer) {
	for _, p := range []*handover.Peer{u.predecessor, u.successor} {
		if p != nil {
			links = append(links, p)
		}
	}
	return links
}

// splitLimits gives each process half of the gateway's worker connections and memory while there are two, and all to a single one.
// Client connections are not split: the platform limits them for the gateway as a whole.
func (u *upgrade) splitLimits() {
	conf, divisor := u.gateway.conf, 1
	if len(u.peers()) > 0 {
		divisor = 2
	}
	u.gateway.pool.SetLimit((conf.Sockets - conf.clientSockets() - conf.reservedSockets()) / divisor)
	if conf.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(conf.MemoryMB) * (1 << 20) / float64(divisor)))
	}
}

func (u *upgrade) save() {
	if u.ended {
		return
	}
	u.saver.Save(handover.State{Identity: u.identity, Roster: u.gateway.core.Saved()})
}

// Offer returns the listening socket and the state for a successor.
func (u *upgrade) Offer() (net.Listener, handover.State, error) {
	type offer struct {
		state handover.State
		err   error
	}
	offered := make(chan offer, 1)
	go u.gateway.loop.PostUrgent(func() {
		switch {
		case u.gateway.terminating:
			offered <- offer{err: errEnding}
		case u.successor != nil:
			offered <- offer{err: errors.New("a new process has taken over already")}
		default:
			u.offeredRoster = u.gateway.core.Saved()
			s := handover.State{Roster: u.offeredRoster, Module: u.gateway.core.ModuleSnapshot()}
			if u.gateway.agreement != nil {
				s.Agreed = u.gateway.agreement.EncodedState()
			}
			offered <- offer{state: s}
		}
	})
	select {
	case o := <-offered:
		return u.gateway.net.Listener(), o.state, o.err
	case <-time.After(offerTimeout):
		return nil, handover.State{}, errors.New("no turn in time")
	}
}

// HandedOver stores the link to a successor, and sends it the changes of bans since Offer.
func (u *upgrade) HandedOver(p *handover.Peer) {
	u.gateway.loop.PostUrgent(func() {
		u.successor, u.successorReady = p, false
		u.sendBansSinceOffer(p)
		u.gateway.log.Info("a new process takes over")
		u.splitLimits()
	})
}

// PeerReady notes that the successor is ready: after SIGTERM it alone accepts connections.
func (u *upgrade) PeerReady(p *handover.Peer, broker string) {
	u.gateway.loop.PostUrgent(func() {
		if u.successor == p {
			u.successorReady, u.successorBroker = true, broker
			u.beginCallTransfer(p)
			u.gateway.log.Info("the new process is ready")
		}
	})
}

// PeerGone notes that the other process has ended. This one joins the fleet if it was the successor, and has all resources again.
func (u *upgrade) PeerGone(p *handover.Peer) {
	u.gateway.loop.PostUrgent(func() {
		switch p {
		case u.predecessor:
			u.predecessor = nil
			u.logPredecessorEnded()
			if u.gateway.node != nil && !u.gateway.terminating {
				u.gateway.joinFleet(true)
			}
			if !u.gateway.terminating || u.gateway.unpublishedOutcomes() > 0 {
				u.gateway.connectBrokers()
			}
		case u.successor:
			u.successor, u.successorReady = nil, false
			u.abandonCallTransfer()
			u.gateway.log.Warn("the new process has gone")
			if u.gateway.agreement != nil {
				u.gateway.agreement.StepFailed("the new process has gone")
			}
			u.listen() // the successor may have replaced the socket with its own
		default:
			return
		}
		u.splitLimits()
	})
}

// stop closes the server and writes the last state, since the event loop is about to end.
func (u *upgrade) stop() {
	u.ended = true
	u.finishCallTransfer()
	if u.server != nil {
		u.server.Close()
	}
	u.saver.Close()
}
