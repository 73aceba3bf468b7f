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
	"quillrail/internal/fleet/agreement"
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
	processSockets      = 32                     // descriptors reserved for the process itself
	connectionWindow    = 400 * time.Millisecond // how long after SIGTERM new connections may still arrive
	callWindow          = 700 * time.Millisecond // how long after SIGTERM calls may still arrive
	maxPlatformDeadline = 3 * time.Second        // the platform waits no longer than this for calls with a longer deadline
	drainMargin         = 400 * time.Millisecond // calls in flight are answered this long before SIGKILL can come
	flushDelay          = 100 * time.Millisecond // time for the last answers to leave the sockets
	successorReadyWait  = 500 * time.Millisecond // how long SIGTERM waits for a successor to report that it is ready
	heldAnswersDivisor  = 8                      // answers to clients that read slowly may take the memory limit divided by this
	memoryLimitFraction = 0.6                    // part of the memory limit at which the Go runtime begins to collect garbage more aggressively
)

// Gateway is a running gateway.
type Gateway struct {
	loop            *core.Loop
	core            *core.Core
	callHandler     httpfront.Core // receives the calls of the fronts: the core, or a wrapper around it
	net             *sock.Net
	front           *httpfront.Front
	pool            *workerlink.Pool
	mqttFront       *mqtt.Front     // nil if clients are not served by MQTT
	mqttLink        *mqtt.Link      // nil if no workers are reached by MQTT
	flowExporter    *ipfix.Exporter // nil if the export is off
	log             *zap.Logger
	feed            *bulletin.Feed
	conf            *Config
	node            *fleet.Node      // nil if the gateway belongs to no fleet
	recovery        *fleet.Recovery  // the node's part that recovers the gateway's state after a restart
	agreement       *agreement.Agent // the node's part that holds what the fleet has agreed, nil if it is off
	pendingConfig   *Config          // received during a freeze and not applied yet
	dropPending     bool             // pendingConfig is dropped, rather than applied, when the freeze ends
	deferredConfigs uint64           // number of configurations that freezes have deferred
	recovers        bool             // the node recovers the state and starts the service: no running process was taken over
	operatorNet     *sock.Net        // nil if there is no operator listener
	upgrade         *upgrade         // nil if no new process can take over
	terminating     bool             // SIGTERM has come
	terminatedAt    time.Duration    // loop time at SIGTERM
	stopped         bool             // stop has been called
	awaitsSuccessor bool             // SIGTERM has come and is delayed once, until a successor can report that it is ready

	startedAt     time.Duration    // loop time at the start of this process
	initialEvents []bulletin.Event // the worker list to begin with, until followList applies it
	updateList    func(whole bool, members []core.Member)

	applied, rejected uint64 // configurations read at SIGHUP
	done              context.CancelFunc
}

// Serve runs a gateway until ctx ends, then drains it. At each signal on hup it reloads the configuration.
func Serve(ctx context.Context, conf *Config, hup <-chan os.Signal, log *zap.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(conf.Cores))))
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(conf.MemoryMB) * (1 << 20)))
	g, err := Start(conf, Clock, log)
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
				c, err := readNodeConfig()
				g.loop.Post(func() { g.reload(c, err) })
			}
		}
	}()
	g.loop.Post(func() { g.done = cancel })
	g.loop.Run(run)
	if g.core != nil {
		log.Info("stopped", zap.Int("open", g.core.InFlight()))
	}
	return nil
}

// Start creates a gateway and starts its listeners. The caller must then run its event loop.
func Start(conf *Config, clock func() time.Duration, log *zap.Logger) (*Gateway, error) {
	loop := core.NewLoop(clock)
	g := &Gateway{loop: loop, conf: conf, log: log, startedAt: loop.Now(),
		front: httpfront.New(loop, conf.Site, conf.clientSockets(), conf.MemoryMB<<20/heldAnswersDivisor, log.Named("http"))}
	var ln net.Listener
	var state handover.State
	if conf.StateDir != "" {
		ln, state = g.takeOver(conf)
	}
	var err error
	if ln == nil {
		if ln, err = sock.Bind(conf.Listen, conf.StateDir != ""); err != nil {
			return nil, err
		}
	}
	if g.net, err = sock.Serve(ln, sock.Limits{Descriptors: conf.Sockets, Accepted: conf.clientSockets()}, g.front.Accept, log); err != nil {
		return nil, err
	}
	if conf.Operator != "" {
		operatorFront := opfront.New(loop, (*operatorAPI)(g), log.Named("operator"))
		if g.operatorNet, err = sock.Listen(conf.Operator, sock.Limits{Descriptors: conf.Sockets, Accepted: opfront.Descriptors},
			operatorFront.Accept, log); err != nil {
			g.net.Stop()
			return nil, err
		}
		log.Info("operators are heard", zap.String("at", g.operatorNet.Addr()))
	}
	g.addFleetNode(conf, state.Roster.Bans)
	if g.recovers = g.node != nil && (g.upgrade == nil || g.upgrade.predecessor == nil); g.recovers {
		loop.Post(func() { g.joinFleet(false) })
		return g, nil
	}
	if err := g.build(conf, state); err != nil {
		g.net.Stop()
		return nil, err
	}
	loop.Post(func() {
		g.followList()
		g.acceptClients()
	})
	return g, nil
}

// reload is called at SIGHUP with the configuration read again. Only the bulletin's address is applied; all else stays as it was. If
// the configuration is invalid, this is logged and the old one stays.
func (g *Gateway) reload(conf *Config, err error) {
	if g.feed == nil && err == nil {
		err = errNotReady
	}
	if err != nil {
		g.rejected++
		g.log.Error("configuration not reloaded", zap.Error(err))
		return
	}
	if !g.deferDuringFreeze(conf) {
		g.applyConfig(conf)
	}
}

// applyConfig moves to the bulletin that a configuration names, and warns if it also changes what needs a restart.
func (g *Gateway) applyConfig(conf *Config) {
	g.applied++
	if g.pendingConfig = nil; g.agreement != nil {
		g.agreement.Configured(conf.Revision)
	}
	if old := g.conf; conf.Listen != old.Listen || conf.MemoryMB != old.MemoryMB || conf.Sockets != old.Sockets || conf.Cores != old.Cores ||
		!reflect.DeepEqual(conf.Site, old.Site) {
		g.log.Warn("listen, limits and settings stay as they are until a restart")
	}
	g.log.Info("configuration reloaded", zap.String("bulletin", conf.Bulletin))
	g.feed.Move(conf.Bulletin, conf.KnownEvents)
}
