package lifecycle

import (
	"time"

	"go.uber.org/zap"
)

// longest is how long after SIGTERM what is open may still be answered. SIGKILL may come keepAccept after the
// longest deadline of the classes, of which the platform waits for no more than longestDrain.
func (g *Gateway) longest() time.Duration {
	most := time.Duration(0)
	for _, c := range g.conf.Site.Decide.Classes {
		most = max(most, c.Deadline)
	}
	return min(most, longestDrain) + keepAccept - drainMargin
}

// drain is what SIGTERM does: for a while calls are taken as ever, since the platform goes on sending them; once no new
// connections come any more each answer ends its connection, since clients go on sending on those that stay open. Later
// connections are closed as they fall idle, and the process ends with the last answer.
func (g *Gateway) drain() {
	if g.terminating {
		return
	}
	if g.upgrade != nil && g.upgrade.to != nil && !g.upgrade.toReady && !g.patient { // its word may be on the way, behind this signal
		g.patient = true
		g.loop.After(successorWait, g.drain)
		return
	}
	g.terminating = true
	if g.core == nil { // it has not come so far as to serve anybody
		g.log.Info("ending before the first call")
		g.stop()
		return
	}
	if g.agreement != nil {
		g.agreement.Ending()
	}
	if g.node != nil {
		g.node.Drain()
	}
	handed := g.upgrade != nil && g.upgrade.toReady
	g.log.Info("draining", zap.Int("open", g.core.InFlight()), zap.Int("clients", g.front.Conns()), zap.Bool("handed", handed))
	if handed { // what waits to be accepted and all that comes is the new process's
		g.net.StopAccepting()
		g.front.HandOver()
		if g.calls != nil { // the new process joins the broker once this one has left
			g.calls.Drain()
		}
		g.loop.After(lastFlush, g.leave)
	} else { // clients are told to stay away, and those that go on on their connections lose them with the next answer
		g.front.Unready()
		g.loop.After(platformComes, g.front.HandOver)
		g.loop.After(keepAccept, g.finish)
	}
	g.loop.After(g.longest(), func() {
		if n := g.core.InFlight(); n > 0 {
			g.log.Warn("out of time", zap.Int("failed", n))
			g.core.FailAll()
		}
		g.front.Shutdown()
		g.loop.After(lastFlush, g.stop) // whether or not a broker still owes an acknowledgement
	})
}

// leave ends the process once its last client has gone.
func (g *Gateway) leave() {
	if g.core.InFlight() > 0 || g.front.Conns() > 0 || g.calls != nil && g.calls.Up() && g.calls.Waiting() > 0 {
		g.loop.After(10*time.Millisecond, g.leave)
		return
	}
	g.stop()
}

func (g *Gateway) finish() {
	if g.core.InFlight() > 0 || g.front.Unsent() > 0 || g.calls != nil && g.calls.Up() && g.calls.Waiting() > 0 {
		g.loop.After(10*time.Millisecond, g.finish)
		return
	}
	g.front.Shutdown()
	g.loop.After(lastFlush, func() {
		if g.core.InFlight() > 0 || g.front.Unsent() > 0 { // a call came in meanwhile
			g.finish()
			return
		}
		g.stop()
	})
}

// stop ends the sessions that should not just break off, and the loop. What came in at the last is failed.
func (g *Gateway) stop() {
	if g.core != nil {
		g.core.FailAll()
	}
	if g.calls != nil {
		g.calls.Stop()
	}
	if g.link != nil {
		g.link.Stop()
	}
	if g.flows != nil {
		g.flows.Stop()
	}
	if g.upgrade != nil {
		g.upgrade.end()
	}
	if g.agreement != nil {
		g.agreement.Stop()
	}
	if g.node != nil { // a new process takes this one's place in the fleet, and its file, once the link to it ends
		g.node.Stop(g.stopped)
		return
	}
	g.stopped()
}

// stopped ends the process.
func (g *Gateway) stopped() {
	if g.upgrade != nil {
		g.upgrade.part()
	}
	g.done()
}
