package lifecycle

import (
	"context"
	"math"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/bulletin"
	"quillrail/internal/wire/httpfront"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/workerlink"
)

const (
	ownSockets   = 32                     // descriptors kept for the process itself
	keepAccept   = 700 * time.Millisecond // after SIGTERM calls go on coming for so long
	longestDrain = 3 * time.Second        // the longest deadline that the platform waits for
	drainMargin  = 400 * time.Millisecond // what is open then is answered, before SIGKILL can come
	lastFlush    = 100 * time.Millisecond // for the last answers to leave the sockets
	memoryPart   = 0.6                    // of the limit that the Go runtime may take before it collects harder
)

// Gateway is a running gateway.
type Gateway struct {
	loop  *core.Loop
	core  *core.Core
	net   *sock.Net
	front *httpfront.Front
	log   *zap.Logger
	term  bool
	done  context.CancelFunc
}

// Serve runs a gateway until ctx ends, then drains it.
func Serve(ctx context.Context, c *Config, log *zap.Logger) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Cores))))
	debug.SetMemoryLimit(int64(memoryPart * float64(c.MemoryMB) * (1 << 20)))
	g, err := Start(c, log)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { g.loop.Post(g.drain) })
	defer stop()
	run, cancel := context.WithCancel(context.Background())
	g.loop.Post(func() { g.done = cancel })
	g.loop.Run(run)
	log.Info("stopped", zap.Int("open", g.core.Open()))
	return nil
}

// Start brings the parts of a gateway up; its Loop is still to be run.
func Start(c *Config, log *zap.Logger) (*Gateway, error) {
	loop := core.NewLoop(core.WallClock)
	clients := c.Sockets/3 + 8
	front := httpfront.New(loop, c.Site, clients, log.Named("http"))
	net, err := sock.Listen(c.Listen, c.Sockets, front.Accept, log)
	if err != nil {
		return nil, err
	}
	workers := workerlink.New(loop, net, c.Site, c.Sockets-clients-ownSockets, log.Named("workers"))
	k, err := core.New(loop, c.Site.Decide, c.Seed, workers, nil, log.Named("core"))
	if err != nil {
		net.Stop()
		return nil, err
	}
	workers.Serve(k)
	feed := bulletin.NewFeed(loop, net, c.Bulletin, c.Site, c.Last, k.List, log.Named("bulletin"))
	g := &Gateway{loop: loop, core: k, net: net, front: front, log: log}
	loop.Post(func() {
		for _, e := range c.Known {
			k.List(e.Whole, e.Members)
		}
		feed.Connect()
		front.Serve(k)
		log.Info("ready", zap.String("listen", net.Addr()), zap.Uint64("event", c.Last))
	})
	return g, nil
}

// drain is what SIGTERM does: for a while calls are taken as ever, since the platform goes on sending them;
// then connections are closed as they fall idle, and the process ends with the last answer.
func (g *Gateway) drain() {
	if g.term {
		return
	}
	g.term = true
	g.log.Info("draining", zap.Int("open", g.core.Open()), zap.Int("clients", g.front.Conns()))
	g.loop.After(keepAccept, g.finish)
	g.loop.After(longestDrain+keepAccept-drainMargin, func() {
		if n := g.core.Open(); n > 0 {
			g.log.Warn("out of time", zap.Int("failed", n))
			g.core.FailAll()
		}
	})
}

func (g *Gateway) finish() {
	if g.core.Open() > 0 {
		g.loop.After(10*time.Millisecond, g.finish)
		return
	}
	g.front.Closing()
	g.loop.After(lastFlush, func() {
		if g.core.Open() > 0 { // a call came in meanwhile
			g.finish()
			return
		}
		g.done()
	})
}
