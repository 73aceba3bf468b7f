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
	ownSockets    = 32                     // descriptors kept for the process itself, and of these
	platformComes = 400 * time.Millisecond // after SIGTERM new connections go on coming for so long,
	keepAccept    = 700 * time.Millisecond // and calls for so long
	longestDrain  = 3 * time.Second        // a longer deadline counts as this to the platform
	drainMargin   = 400 * time.Millisecond // what is open then is answered, so long before SIGKILL can come
	lastFlush     = 100 * time.Millisecond // for the last answers to leave the sockets
	successorWait = 500 * time.Millisecond // at SIGTERM, for a successor to say that it is ready
	heldPart      = 8                      // of the memory is for answers to clients that read slowly
	memoryPart    = 0.6                    // of the limit that the Go runtime may take before it collects harder
)

// Gateway is a running gateway.
type Gateway struct {
	loop        *core.Loop
	core        *core.Core
	taker       httpfront.Core // the core, or what stands before it
	net         *sock.Net
	front       *httpfront.Front
	pool        *workerlink.Pool
	calls       *mqtt.Front     // nil where MQTT is off
	link        *mqtt.Link      // likewise
	flows       *ipfix.Exporter // nil where the export is off
	log         *zap.Logger
	feed        *bulletin.Feed
	conf        *Config
	node        *fleet.Node      // nil where the gateway is of no fleet
	recovery    *fleet.Recovery  // the node's part that brings the gateway back
	agreement   *agreement.Agent // the node's part that keeps what is agreed, nil where nothing is
	pending     *Config          // that came in a freeze,
	drops       bool             // and is dropped afterwards
	kept        uint64           // configurations that came in freezes
	fresh       bool             // the node brings the gateway up
	admin       *sock.Net        // nil where operators have none
	upgrade     *upgrade         // nil where no new process can take over
	terminating bool
	patient     bool // SIGTERM has come, and a successor that has not said that it is ready is waited for

	began time.Duration    // of this process
	known []bulletin.Event // the list to begin with, until it is told
	told  func(whole bool, members []core.Member)

	applied, rejected uint64 // configurations read at SIGHUP
	done              context.CancelFunc
}

// Serve runs a gateway until ctx ends, then drains it. Each signal on hup has the configuration read again.
func Serve(ctx context.Context, c *Config, hup <-chan os.Signal, log *zap.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20)))
	g, err := Start(c, Clock, log)
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
		log.Info("stopped", zap.Int("open", g.core.InFlight()))
	}
	return nil
}

// Start brings the parts of a gateway up; its Loop is still to be run.
func Start(c *Config, clock func() time.Duration, log *zap.Logger) (*Gateway, error) {
	loop := core.NewLoop(clock)
	g := &Gateway{loop: loop, conf: c, log: log, began: loop.Now(),
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
	if g.net, err = sock.Serve(ln, sock.Limits{Descriptors: c.Sockets, Accepted: c.clients()}, g.front.Accept, log); err != nil {
		return nil, err
	}
	if c.Operator != "" {
		door := opfront.New(loop, (*desk)(g), log.Named("operator"))
		if g.admin, err = sock.Listen(c.Operator, sock.Limits{Descriptors: c.Sockets, Accepted: opfront.Descriptors}, door.Accept, log); err != nil {
			g.net.Stop()
			return nil, err
		}
		log.Info("operators are heard", zap.String("at", g.admin.Addr()))
	}
	g.comeBack(c, state.Roster.Bans)
	if g.fresh = g.node != nil && (g.upgrade == nil || g.upgrade.from == nil); g.fresh {
		loop.Post(func() { g.join(false) })
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
	if !g.frozen(c) {
		g.take(c)
	}
}

// take goes by a configuration.
func (g *Gateway) take(c *Config) {
	g.applied++
	if g.pending = nil; g.agreement != nil {
		g.agreement.Configured(c.ID)
	}
	if o := g.conf; c.Listen != o.Listen || c.MemoryMB != o.MemoryMB || c.Sockets != o.Sockets || c.Cores != o.Cores ||
		!reflect.DeepEqual(c.Site, o.Site) {
		g.log.Warn("listen, limits and settings stay as they are until a restart")
	}
	g.log.Info("configuration reloaded", zap.String("bulletin", c.Bulletin))
	g.feed.Move(c.Bulletin, c.Known)
}
