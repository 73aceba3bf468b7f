package lifecycle

import (
	"time"

	"go.uber.org/zap"
)

// drainLimit returns how long after SIGTERM calls in flight may still be answered. The platform may send SIGKILL callWindow after the
// longest deadline of the classes has passed, and counts a deadline as maxPlatformDeadline at most.
func (g *Gateway) drainLimit() time.Duration {
	most := time.Duration(0)
	for _, c := range g.conf.Site.Decide.Classes {
		most = max(most, c.Deadline)
	}
	return min(most, maxPlatformDeadline) + callWindow - drainMargin
}

// drain is called at SIGTERM. Without a successor the gateway first accepts calls as usual, since the platform goes on sending them.
// After connectionWindow, when no new connections arrive, each answer closes its connection, since clients go on sending on open
// ones. After callWindow, connections are closed as they become idle, and the process ends with the last answer.
func (g *Gateway) drain() {
	if g.terminating {
		return
	}
	// The successor's ready message may still be on its way: the signal can overtake it.
	if g.upgrade != nil && g.upgrade.successor != nil && !g.upgrade.successorReady && !g.awaitsSuccessor {
		g.awaitsSuccessor = true
		g.loop.After(successorReadyWait, g.drain)
		return
	}
	g.terminating, g.terminatedAt = true, g.loop.Now()
	if g.core == nil { // the core is not built yet, so no call has been served
		g.log.Info("stopping before the gateway served any call")
		g.stop()
		return
	}
	if g.agreement != nil {
		g.agreement.ProcessEnding()
	}
	if g.node != nil {
		g.node.Drain()
	}
	handed := g.upgrade != nil && g.upgrade.successorReady
	g.log.Info("draining", zap.Int("open", g.core.InFlight()), zap.Int("clients", g.front.Conns()),
		zap.Int("outcomes", g.unpublishedOutcomes()), zap.Bool("handed", handed))
	if g.mqttFront != nil {
		g.mqttFront.ReconnectSoon()
	}
	if handed { // the new process accepts the connections in the listening socket's queue and all later ones
		g.net.StopAccepting()
		g.front.HandOver()
		if g.mqttFront != nil { // the new process connects to the broker when this one has disconnected
			g.mqttFront.Drain()
		}
		g.loop.After(flushDelay, g.stopAfterClients)
	} else { // /check answers no, so that clients go elsewhere; later, answers close the connections of those that still call
		g.front.Unready()
		g.loop.After(connectionWindow, g.front.HandOver)
		g.loop.After(callWindow, g.closeCallWindow)
	}
	g.loop.After(g.drainLimit(), func() {
		if n, outcomes := g.core.InFlight(), g.unpublishedOutcomes(); n > 0 || outcomes > 0 {
			g.log.Warn("out of time", zap.Int("failed", n), zap.Int("outcomes", outcomes))
			g.core.FailAll()
		}
		g.front.Shutdown()
		g.loop.After(flushDelay, g.stop) // even if acknowledgements of a broker are still outstanding
	})
}

// stopAfterClients stops the gateway when no calls are in flight, no clients are connected and the broker has acknowledged all outcomes,
// or the successor can publish them. It checks this every 10 ms.
func (g *Gateway) stopAfterClients() {
	if g.core.InFlight() > 0 || g.front.Conns() > 0 || g.awaitsBroker() {
		g.loop.After(10*time.Millisecond, g.stopAfterClients)
		return
	}
	g.stop()
}

// closeCallWindow refuses the calls that a broker still delivers, and stops the gateway when all others are answered.
func (g *Gateway) closeCallWindow() {
	if g.mqttFront != nil {
		g.mqttFront.Drain()
	}
	g.stopAfterCalls()
}

// unanswered reports whether calls are in flight or answers have not left this process, or a predecessor runs, which may have such calls
// and leave outcomes to this process. Whoever watches the gateway's last process takes the end of that for the end of both.
func (g *Gateway) unanswered() bool {
	return g.core.InFlight() > 0 || g.front.Unsent() > 0 || g.awaitsBroker() || g.upgrade != nil && g.upgrade.predecessor != nil
}

// stopAfterCalls is the counterpart of stopAfterClients without a successor. It doesn't wait until clients disconnect: when all calls
// are answered and the answers read, and any predecessor has ended, it closes the connections.
func (g *Gateway) stopAfterCalls() {
	if g.unanswered() {
		g.loop.After(10*time.Millisecond, g.stopAfterCalls)
		return
	}
	g.front.Shutdown()
	g.loop.After(flushDelay, func() {
		if g.unanswered() { // another call arrived meanwhile
			g.stopAfterCalls()
			return
		}
		g.stop()
	})
}

// stop fails the calls that are still in flight, closes the sessions that need an orderly end, and then ends the event loop. Several
// timers may call it; only the first call counts.
func (g *Gateway) stop() {
	if g.stopped {
		return
	}
	g.stopped = true
	if g.core != nil {
		g.core.FailAll()
	}
	if g.upgrade != nil {
		g.upgrade.passOutcomes()
	}
	if g.mqttFront != nil {
		g.mqttFront.Stop()
	}
	if g.mqttLink != nil {
		g.mqttLink.Stop()
	}
	if g.flowExporter != nil {
		g.flowExporter.Stop()
	}
	if g.upgrade != nil {
		g.upgrade.stop()
	}
	if g.agreement != nil {
		g.agreement.Stop()
	}
	if g.node != nil { // the successor joins the fleet under this gateway's name, with its state file, when exit closes the link to it
		g.node.Stop(g.exit)
		return
	}
	g.exit()
}

// exit closes the links to other processes of the gateway and ends the event loop, and with it the process.
func (g *Gateway) exit() {
	if g.upgrade == nil {
		g.done()
		return
	}
	g.upgrade.closeLinks(g.flushLimit(), g.done)
}

// closeLinks writes what is queued for the other process and closes the link to it, which then has the gateway to itself. It calls done
// on the event loop when that has happened, after limit at the latest.
func (u *upgrade) closeLinks(limit time.Duration, done func()) {
	links := u.peers()
	if len(links) == 0 {
		done()
		return
	}
	go func() {
		for _, p := range links {
			p.Finish(limit)
		}
		u.gateway.loop.Post(done)
	}()
}

// flushLimit returns how long the messages for another process may still be written before this one ends, which it does ahead of the
// platform's SIGKILL.
func (g *Gateway) flushLimit() time.Duration {
	return max(flushDelay, g.terminatedAt+g.drainLimit()+drainMargin-flushDelay-g.loop.Now())
}
