package lifecycle

import (
	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/wire/bulletin"
	"quillrail/internal/wire/ipfix"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/workerlink"
)

// build makes the parts behind the front.
func (g *Gateway) build(c *Config, state handover.State) (err error) {
	loop, net, log := g.loop, g.net, g.log
	var observe core.Observer
	switch {
	case g.agreement != nil:
		observe = func(r core.Record) { g.recovery.Observe(r); g.agreement.Observe(r) }
	case g.fresh:
		observe = g.recovery.Observe
	}
	if c.Extensions.Export.Enabled {
		g.flows = ipfix.New(loop, net, c.Extensions.exportOptions(c.Site), log.Named("ipfix"))
		if observe == nil {
			observe = g.flows.Observe
		} else {
			inner := observe
			observe = func(r core.Record) { g.flows.Observe(r); inner(r) }
		}
	}
	if len(c.Site.Unknown) > 0 {
		log.Warn("settings hold what is not understood", zap.Strings("places", c.Site.Unknown))
	}
	g.pool = workerlink.New(loop, net, c.Site, c.Sockets-c.clients()-c.own(), log.Named("workers"))
	var workers core.Workers = g.pool
	tell := func(whole bool, members []core.Member) { g.core.ApplyList(whole, members) }
	told := tell
	if c.Extensions.Enabled && c.Extensions.Workers.Broker != "" {
		opt, replies, list, err := c.Extensions.workerOptions(c.Name, c.Site)
		if err != nil {
			return err
		}
		g.link = mqtt.NewLink(loop, net, opt, replies, list, c.Seed, tell, log.Named("mqtt.workers"))
		f := &bothKinds{Pool: g.pool, mqtt: g.link}
		workers, told = f, f.bulletin(tell)
	}
	if g.agreement != nil {
		workers = &confined{workers, g}
	}
	set := c.Site.Decide
	set.MaxListDelay = bulletin.MaxPropagation
	if g.core, err = core.New(loop, set, c.Seed, workers, observe, log.Named("core")); err != nil {
		return err
	}
	g.core.Restore(state.Roster)
	if g.agreement != nil {
		g.agreement.Adopt(state.Agreed)
	}
	if state.Module != nil {
		if err := g.core.Recall(state.Module); err != nil {
			log.Warn("what the module had learnt is not taken over", zap.Error(err))
		}
	}
	g.pool.SetReceiver(g.core)
	if g.link != nil {
		g.link.Serve(g.core)
	}
	g.taker = g.core
	if g.fresh || g.agreement != nil {
		g.taker = &gate{g.core, g}
	}
	if Before != nil {
		g.taker = Before(g.taker)
	}
	if c.Extensions.Enabled && c.Extensions.Calls.Broker != "" {
		opt, keep := c.Extensions.callOptions(c.Name)
		g.calls = mqtt.NewFront(loop, net, g.taker, c.Site, opt, keep, c.Seed, observe, log.Named("mqtt.calls"))
	}
	if g.node != nil {
		inner := told
		told = func(whole bool, members []core.Member) {
			inner(whole, members)
			g.recovery.Told(whole, members)
			if g.agreement != nil {
				g.agreement.Told(whole, members)
			}
		}
	}
	g.feed = bulletin.NewFeed(loop, net, c.Bulletin, c.Site, c.Last, told, log.Named("bulletin"))
	g.feed.OnListCurrent = g.core.ListCurrent
	if g.node != nil {
		g.feed.OnReceived = g.recovery.Current
	}
	g.known, g.told = c.Known, told
	return nil
}

// follow begins to follow the list.
func (g *Gateway) follow() {
	for _, e := range g.known {
		g.told(e.Complete, e.Members)
	}
	g.known = nil
	g.core.ListCurrent(g.began) // what the configuration holds is as of the start
	g.feed.Connect()
	if g.flows != nil {
		g.flows.Start()
	}
}

// open takes clients.
func (g *Gateway) open() {
	if g.upgrade == nil || g.upgrade.from == nil {
		g.connectBrokers()
	}
	g.front.Serve(g.taker)
	g.log.Info("ready", zap.String("listen", g.net.Addr()), zap.Uint64("event", g.feed.Last()))
	if g.upgrade != nil {
		g.upgrade.begin()
	}
}

// connectBrokers begins the sessions with brokers. Two processes of a gateway have the same client id, and a broker
// would end the session of one for the other's: a new process waits for the old one's end.
func (g *Gateway) connectBrokers() {
	if g.link != nil {
		g.link.Connect()
	}
	if g.calls != nil {
		g.calls.Connect()
	}
}
