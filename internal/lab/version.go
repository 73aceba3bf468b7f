package lab

import (
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Become starts a process of another version beside the one that serves, as operators do, and ends the old one once the new
// one takes calls. A version is a name and what its process finds in the environment.
func (g *Gateway) Become(version string, env []string) error {
	g.mu.Lock()
	g.version, g.env = version, env
	g.mu.Unlock()
	g.changing.Store(true)
	defer g.changing.Store(false)
	return g.Upgrade()
}

// Version is the one that the gateway was last started at.
func (g *Gateway) Version() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// Taken is a configuration that was given to a gateway, and whether the gateway has acted on it: it names an address of the
// bulletin that no other does.
type Taken struct {
	Gateway  *Gateway
	Revision string
	Given    time.Time
	at       atomic.Int64 // when the gateway came to that address, Unix ns
}

// At is when the gateway first acted on the configuration, false if it has not.
func (x *Taken) At() (time.Time, bool) {
	n := x.at.Load()
	return time.Unix(0, n), n != 0
}

// Configure replaces the gateway's configuration and sends SIGHUP.
func (g *Gateway) Configure(revision string) (*Taken, error) {
	x := &Taken{Gateway: g, Revision: revision, Given: time.Now()}
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	g.lab.onClose(func() { ln.Close() })
	go g.lab.serve(ln, func(c net.Conn) {
		x.at.CompareAndSwap(0, time.Now().UnixNano())
		g.bulletin.handle(c)
	})
	g.mu.Lock()
	g.revision, g.listTold = revision, ln.Addr().String()
	g.mu.Unlock()
	g.lab.Logf("%s gets configuration %s", g.Name, revision)
	if err := g.lab.configure(g); err != nil {
		return nil, err
	}
	g.Process().Signal(syscall.SIGHUP)
	return x, nil
}

// Supervise does for every gateway what its door says is wanted, as whoever supervises it would: a process of another version,
// or another configuration. what is what a version's process finds in the environment. It ends with the lab.
func (l *Lab) Supervise(what map[string][]string) {
	over := make(chan struct{})
	l.onClose(func() { close(over) })
	for _, g := range l.Gateways {
		go g.supervise(what, over)
	}
}

const superviseEvery = 200 * time.Millisecond

func (g *Gateway) supervise(what map[string][]string, over chan struct{}) {
	for tick := time.NewTicker(superviseEvery); ; {
		select {
		case <-over:
			tick.Stop()
			return
		case <-tick.C:
		}
		if p := g.Process(); p == nil || g.unwilling.Load() != 0 {
			continue
		}
		text, err := g.Ask("wanted")
		words := strings.Fields(strings.TrimPrefix(strings.TrimSuffix(strings.TrimSpace(text), "EOT"), "SUCCESS"))
		if err != nil || len(words) < 2 {
			continue
		}
		switch words[0] {
		case "version":
			if words[1] != g.Version() {
				if err := g.Become(words[1], what[words[1]]); err != nil {
					g.lab.Logf("%s does not become %s: %.200v", g.Name, words[1], err)
					g.restore()
				}
			}
		case "config":
			if words[1] != g.Revision() {
				if _, err := g.Configure(words[1]); err != nil {
					g.lab.Logf("%s is not configured: %v", g.Name, err)
				}
			}
		}
	}
}

// Revision is that of the configuration that the gateway was last given.
func (g *Gateway) Revision() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision
}

// restore puts the process that still serves in front again, where a new version has come to nothing.
func (g *Gateway) restore() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.procs) - 1; i >= 0; i-- {
		if p := g.procs[i]; p.Runs() {
			g.procs = append(append(g.procs[:i:i], g.procs[i+1:]...), p)
			g.version, g.env = p.version, p.env
			return
		}
	}
}
