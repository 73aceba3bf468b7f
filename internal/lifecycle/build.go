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

// build creates the parts behind the front: the links to workers, the core, the MQTT front and the bulletin feed.
func (g *Gateway) build(conf *Config, state handover.State) (err error) {
	loop, net, log := g.loop, g.net, g.log
	var observe core.Observer
	switch {
	case g.agreement != nil:
		observe = func(r core.Record) { g.recovery.Observe(r); g.agreement.Observe(r) }
	case g.recovers:
		observe = g.recovery.Observe
	}
	if conf.Extensions.Export.Enabled {
		g.flowExporter = ipfix.New(loop, net, conf.Extensions.exportOptions(conf.Site), log.Named("ipfix"))
		if observe == nil {
			observe = g.flowExporter.Observe
		} else {
			inner := observe
			observe = func(r core.Record) { g.flowExporter.Observe(r); inner(r) }
		}
	}
	if len(conf.Site.Unknown) > 0 {
		log.Warn("settings hold what is not understood", zap.Strings("places", conf.Site.Unknown))
	}
	g.pool = workerlink.New(loop, net, conf.Site, conf.Sockets-conf.clientSockets()-conf.reservedSockets(), log.Named("workers"))
	var workers core.Workers = g.pool
	updateCore := func(whole bool, members []core.Member) { g.core.ApplyList(whole, members) }
	updateAll := updateCore
	if conf.Extensions.Enabled && conf.Extensions.Workers.Broker != "" {
		options, replies, list, err := conf.Extensions.workerOptions(conf.Name, conf.Site)
		if err != nil {
			return err
		}
		g.mqttLink = mqtt.NewLink(loop, net, options, replies, list, conf.Site.Decide.Classes, conf.Seed, updateCore, log.Named("mqtt.workers"))
		router := &workerRouter{Pool: g.pool, mqtt: g.mqttLink}
		workers, updateAll = router, router.addMQTTMembers(updateCore)
	}
	if g.agreement != nil {
		workers = &restrictedWorkers{workers, g}
	}
	decideConf := conf.Site.Decide
	decideConf.MaxListDelay = bulletin.MaxPropagation
	if g.core, err = core.New(loop, decideConf, conf.Seed, workers, observe, log.Named("core")); err != nil {
		return err
	}
	g.core.Restore(state.Roster)
	if g.agreement != nil {
		g.agreement.Adopt(state.Agreed)
	}
	if state.Module != nil {
		if err := g.core.RestoreModule(state.Module); err != nil {
			log.Warn("what the module had learnt is not taken over", zap.Error(err))
		}
	}
	g.pool.SetReceiver(g.core)
	if g.mqttLink != nil {
		g.mqttLink.SetReceiver(g.core)
	}
	g.callHandler = g.core
	if g.recovers || g.agreement != nil {
		g.callHandler = &admissionGate{g.core, g}
	}
	if Middleware != nil {
		g.callHandler = Middleware(g.callHandler)
	}
	if conf.Extensions.Enabled && conf.Extensions.Calls.Broker != "" {
		options, keepAnswers := conf.Extensions.callOptions(conf.Name)
		g.mqttFront = mqtt.NewFront(loop, net, g.callHandler, conf.Site, options, keepAnswers, conf.Seed, observe, log.Named("mqtt.calls"))
	}
	if g.node != nil {
		inner := updateAll
		updateAll = func(whole bool, members []core.Member) {
			inner(whole, members)
			g.recovery.ListChanged(whole, members)
			if g.agreement != nil {
				g.agreement.UpdateWorkers(whole, members)
			}
		}
	}
	g.feed = bulletin.NewFeed(loop, net, conf.Bulletin, conf.Site, conf.LastEvent, updateAll, log.Named("bulletin"))
	g.feed.OnListCurrent = g.core.ListCurrent
	if g.node != nil {
		g.feed.OnReceived = g.recovery.ListCurrent
	}
	g.initialEvents, g.updateList = conf.KnownEvents, updateAll
	return nil
}

// followList applies the worker list of the configuration and connects to the bulletin.
func (g *Gateway) followList() {
	for _, e := range g.initialEvents {
		g.updateList(e.Complete, e.Members)
	}
	g.initialEvents = nil
	g.core.ListCurrent(g.startedAt) // the list of the configuration counts as current at the start of the process
	g.feed.Connect()
	if g.flowExporter != nil {
		g.flowExporter.Start()
	}
}

// acceptClients starts to serve clients.
func (g *Gateway) acceptClients() {
	if g.upgrade == nil || g.upgrade.predecessor == nil {
		g.connectBrokers()
	}
	g.front.Serve(g.callHandler)
	g.log.Info("ready", zap.String("listen", g.net.Addr()), zap.Uint64("event", g.feed.Last()))
	if g.upgrade != nil {
		g.upgrade.start()
	}
}

// connectBrokers opens the sessions with MQTT brokers. Both processes of a gateway have the same client id, and a broker ends a
// session when another client connects with its id, so a new process calls this only when the old one has ended.
func (g *Gateway) connectBrokers() {
	if g.mqttLink != nil {
		g.mqttLink.Connect()
	}
	if g.mqttFront != nil {
		g.mqttFront.Connect()
	}
}
