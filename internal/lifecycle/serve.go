package lifecycle

import (
	"context"
	"math"
	"net"
	"os"
	"reflect"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet"
	"quillrail/internal/lifecycle/handover"
	"quillrail/internal/wire/bulletin"
	"quillrail/internal/wire/httpfront"
	"quillrail/internal/wire/ipfix"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/opfront"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/workerlink"
)

const (
	ownSockets    = 32                     // descriptors kept for the process itself
	keepAccept    = 700 * time.Millisecond // after SIGTERM calls go on coming for so long
	longestDrain  = 3 * time.Second        // a longer deadline counts as this to the platform
	drainMargin   = 400 * time.Millisecond // what is open then is answered, so long before SIGKILL can come
	lastFlush     = 100 * time.Millisecond // for the last answers to leave the sockets
	successorWait = 500 * time.Millisecond // at SIGTERM, for a successor to say that it is ready
	heldPart      = 8                      // of the memory is for answers to clients that read slowly
	memoryPart    = 0.6                    // of the limit that the Go runtime may take before it collects harder
)

// Gateway is a running gateway.
type Gateway struct {
	loop    *core.Loop
	core    *core.Core
	taker   httpfront.Taker // the core, or what stands before it
	net     *sock.Net
	front   *httpfront.Front
	pool    *workerlink.Pool
	calls   *mqtt.Front     // nil where MQTT is off
	link    *mqtt.Link      // likewise
	flows   *ipfix.Exporter // nil where the export is off
	log     *zap.Logger
	feed    *bulletin.Feed
	conf    *Config
	node    *fleet.Node // nil where the gateway is of no fleet
	fresh   bool        // the node brings the gateway up
	door    *sock.Net   // nil where operators have none
	up      *upgrade    // nil where no new process can take over
	term    bool
	patient bool // SIGTERM has come, and a successor that has not said that it is ready is waited for

	known []bulletin.Event // the list to begin with, until it is told
	told  func(whole bool, members []core.Member)

	applied, rejected uint64 // configurations read at SIGHUP
	done              context.CancelFunc
}

// Serve runs a gateway until ctx ends, then drains it. Each signal on hup has the configuration read again.
func Serve(ctx context.Context, c *Config, hup <-chan os.Signal, log *zap.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20)))
	g, err := Start(c, core.WallClock, log)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { g.loop.Post(g.drain) })
	defer stop()
	run, cancel := context.WithCancel(context.Background())
	go func() {
		for {
			select {
			case <-run.Done():
				return
			case <-hup:
				c, err := nodeConfig()
				g.loop.Post(func() { g.reload(c, err) })
			}
		}
	}()
	g.loop.Post(func() { g.done = cancel })
	g.loop.Run(run)
	if g.core != nil {
		log.Info("stopped", zap.Int("open", g.core.Open()))
	}
	return nil
}

// Start brings the parts of a gateway up; its Loop is still to be run.
func Start(c *Config, clock func() time.Duration, log *zap.Logger) (*Gateway, error) {
	loop := core.NewLoop(clock)
	g := &Gateway{loop: loop, conf: c, log: log,
		front: httpfront.New(loop, c.Site, c.clients(), c.MemoryMB<<20/heldPart, log.Named("http"))}
	var ln net.Listener
	var state handover.State
	if c.StateDir != "" {
		ln, state = g.inherit(c)
	}
	var err error
	if ln == nil {
		if ln, err = sock.Bind(c.Listen, c.StateDir != ""); err != nil {
			return nil, err
		}
	}
	if g.net, err = sock.Serve(ln, c.Sockets, g.front.Accept, log); err != nil {
		return nil, err
	}
	if c.Operator != "" {
		door := opfront.New(loop, (*desk)(g), log.Named("operator"))
		if g.door, err = sock.Listen(c.Operator, opfront.Sockets, door.Accept, log); err != nil {
			g.net.Stop()
			return nil, err
		}
		log.Info("operators are heard", zap.String("at", g.door.Addr()))
	}
	g.comeBack(c, state.Roster.Bans)
	if g.fresh = g.node != nil && (g.up == nil || g.up.from == nil); g.fresh {
		loop.Post(func() { g.node.Start(false) })
		return g, nil
	}
	if err := g.build(c, state); err != nil {
		g.net.Stop()
		return nil, err
	}
	loop.Post(func() {
		g.follow()
		g.open()
	})
	return g, nil
}

// build makes the parts behind the front.
func (g *Gateway) build(c *Config, state handover.State) (err error) {
	loop, net, log := g.loop, g.net, g.log
	var observe core.Observer
	if g.fresh {
		observe = g.node.Observe
	}
	if c.Side.Export.Enabled {
		g.flows = ipfix.New(loop, net, c.Side.exportOptions(c.Site), log.Named("ipfix"))
		if observe == nil {
			observe = g.flows.Observe
		} else {
			observe = func(r core.Record) { g.flows.Observe(r); g.node.Observe(r) }
		}
	}
	if len(c.Site.Unknown) > 0 {
		log.Warn("settings hold what is not understood", zap.Strings("places", c.Site.Unknown))
	}
	g.pool = workerlink.New(loop, net, c.Site, c.Sockets-c.clients()-c.own(), log.Named("workers"))
	var workers core.Workers = g.pool
	tell := func(whole bool, members []core.Member) { g.core.List(whole, members) }
	told := tell
	if c.Side.Enabled && c.Side.Workers.Broker != "" {
		opt, replies, list, err := c.Side.workerOptions(c.Name, c.Site)
		if err != nil {
			return err
		}
		g.link = mqtt.NewLink(loop, net, opt, replies, list, c.Seed, tell, log.Named("mqtt.workers"))
		f := &bothKinds{Pool: g.pool, mqtt: g.link}
		workers, told = f, f.bulletin(tell)
	}
	if g.core, err = core.New(loop, c.Site.Decide, c.Seed, workers, observe, log.Named("core")); err != nil {
		return err
	}
	g.core.Restore(state.Roster)
	if state.Module != nil {
		if err := g.core.Recall(state.Module); err != nil {
			log.Warn("what the module had learnt is not taken over", zap.Error(err))
		}
	}
	g.pool.Serve(g.core)
	if g.link != nil {
		g.link.Serve(g.core)
	}
	g.taker = g.core
	if g.fresh {
		g.taker = &gate{g.core, g.node}
	}
	if c.Side.Enabled && c.Side.Calls.Broker != "" {
		opt, keep := c.Side.callOptions(c.Name)
		g.calls = mqtt.NewFront(loop, net, g.taker, c.Site, opt, keep, c.Seed, observe, log.Named("mqtt.calls"))
	}
	if g.node != nil {
		inner := told
		told = func(whole bool, members []core.Member) { inner(whole, members); g.node.Told(whole, members) }
	}
	g.feed = bulletin.NewFeed(loop, net, c.Bulletin, c.Site, c.Last, told, log.Named("bulletin"))
	if g.node != nil {
		g.feed.Heard = g.node.Current
	}
	g.known, g.told = c.Known, told
	return nil
}

// follow begins to follow the list.
func (g *Gateway) follow() {
	for _, e := range g.known {
		g.told(e.Whole, e.Members)
	}
	g.known = nil
	g.feed.Connect()
	if g.flows != nil {
		g.flows.Start()
	}
}

// open takes clients.
func (g *Gateway) open() {
	if g.up == nil || g.up.from == nil {
		g.connectBrokers()
	}
	g.front.Serve(g.taker)
	g.log.Info("ready", zap.String("listen", g.net.Addr()), zap.Uint64("event", g.feed.Last()))
	if g.up != nil {
		g.up.begin()
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

// reload is what SIGHUP does: the bulletin is followed at the address that the configuration names now, and all
// else goes on. A configuration that can't be used is logged, and the old one stays.
func (g *Gateway) reload(c *Config, err error) {
	if g.feed == nil && err == nil {
		err = errNotReady
	}
	if err != nil {
		g.rejected++
		g.log.Error("configuration not reloaded", zap.Error(err))
		return
	}
	g.applied++
	if o := g.conf; c.Listen != o.Listen || c.MemoryMB != o.MemoryMB || c.Sockets != o.Sockets || c.Cores != o.Cores ||
		!reflect.DeepEqual(c.Site, o.Site) {
		g.log.Warn("listen, limits and settings stay as they are until a restart")
	}
	g.log.Info("configuration reloaded", zap.String("bulletin", c.Bulletin))
	g.feed.Move(c.Bulletin, c.Known)
}

// longest is how long after SIGTERM what is open may still be answered. SIGKILL may come keepAccept after the
// longest deadline of the classes, of which the platform waits for no more than longestDrain.
func (g *Gateway) longest() time.Duration {
	most := time.Duration(0)
	for _, c := range g.conf.Site.Decide.Classes {
		most = max(most, c.Deadline)
	}
	return min(most, longestDrain) + keepAccept - drainMargin
}

// drain is what SIGTERM does: for a while calls are taken as ever, since the platform goes on sending them;
// then connections are closed as they fall idle, and the process ends with the last answer.
func (g *Gateway) drain() {
	if g.term {
		return
	}
	if g.up != nil && g.up.to != nil && !g.up.toReady && !g.patient { // its word may be on the way, behind this signal
		g.patient = true
		g.loop.After(successorWait, g.drain)
		return
	}
	g.term = true
	if g.core == nil { // it has not come so far as to serve anybody
		g.log.Info("ending before the first call")
		g.stop()
		return
	}
	if g.node != nil {
		g.node.Drain()
	}
	handed := g.up != nil && g.up.toReady
	g.log.Info("draining", zap.Int("open", g.core.Open()), zap.Int("clients", g.front.Conns()), zap.Bool("handed", handed))
	if handed { // what waits to be accepted and all that comes is the new process's
		g.net.StopAccepting()
		g.front.Leave()
		if g.calls != nil { // the new process joins the broker once this one has left
			g.calls.Drain()
		}
		g.loop.After(lastFlush, g.leave)
	} else {
		g.loop.After(keepAccept, g.finish)
	}
	g.loop.After(g.longest(), func() {
		if n := g.core.Open(); n > 0 {
			g.log.Warn("out of time", zap.Int("failed", n))
			g.core.FailAll()
		}
		g.front.Closing()
		g.loop.After(lastFlush, g.stop) // whether or not a broker still owes an acknowledgement
	})
}

// leave ends the process once its last client has gone.
func (g *Gateway) leave() {
	if g.core.Open() > 0 || g.front.Conns() > 0 || g.calls != nil && g.calls.Up() && g.calls.Waiting() > 0 {
		g.loop.After(10*time.Millisecond, g.leave)
		return
	}
	g.stop()
}

func (g *Gateway) finish() {
	if g.core.Open() > 0 || g.front.Held() > 0 || g.calls != nil && g.calls.Up() && g.calls.Waiting() > 0 {
		g.loop.After(10*time.Millisecond, g.finish)
		return
	}
	g.front.Closing()
	g.loop.After(lastFlush, func() {
		if g.core.Open() > 0 || g.front.Held() > 0 { // a call came in meanwhile
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
	if g.up != nil {
		g.up.end()
	}
	if g.node != nil {
		g.node.Stop(g.done)
		return
	}
	g.done()
}
