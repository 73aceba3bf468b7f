package lab

import (
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// ChangeVersion starts a process of another version beside the serving one, as operators do, and ends the old one once the new one
// accepts calls. A version consists of a name and of what is added to the environment of its process.
func (g *Gateway) ChangeVersion(version string, env []string) error {
	g.mu.Lock()
	g.version, g.env = version, env
	g.mu.Unlock()
	g.changingVersion.Store(true)
	defer g.changingVersion.Store(false)
	return g.Upgrade()
}

// Version returns the version of the process that was started last.
func (g *Gateway) Version() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.version
}

// ConfigChange is a configuration that was given to a gateway. It has a bulletin address of its own, so that a connection to this
// address shows that the gateway has applied it.
type ConfigChange struct {
	Gateway   *Gateway
	Revision  string
	Given     time.Time
	appliedAt atomic.Int64 // when the gateway first connected to that address, in Unix ns; 0 if it has not
}

// AppliedAt returns when the gateway applied the configuration, and false if it has not.
func (c *ConfigChange) AppliedAt() (time.Time, bool) {
	n := c.appliedAt.Load()
	return time.Unix(0, n), n != 0
}

// Configure replaces the gateway's configuration file and sends SIGHUP to its process.
func (g *Gateway) Configure(revision string) (*ConfigChange, error) {
	change := &ConfigChange{Gateway: g, Revision: revision, Given: time.Now()}
	ln, err := net.Listen("tcp", "127.77.0.1:0")
	if err != nil {
		return nil, err
	}
	g.lab.onClose(func() { ln.Close() })
	go g.lab.acceptAll(ln, func(c net.Conn) {
		change.appliedAt.CompareAndSwap(0, time.Now().UnixNano())
		g.bulletin.handle(c)
	})
	g.mu.Lock()
	g.revision, g.bulletinAddr = revision, ln.Addr().String()
	g.mu.Unlock()
	g.lab.Logf("%s gets configuration %s", g.Name, revision)
	if err := g.lab.configure(g); err != nil {
		return nil, err
	}
	g.Process().Signal(syscall.SIGHUP)
	return change, nil
}

// Supervise acts as the supervisor of every gateway until the lab is closed: it polls the operator listener for the version or the
// configuration that the gateway wants, and provides it. versionEnv is the environment that each version's process gets.
func (l *Lab) Supervise(versionEnv map[string][]string) {
	stop := make(chan struct{})
	l.onClose(func() { close(stop) })
	for _, g := range l.Gateways {
		go g.supervise(versionEnv, stop)
	}
}

const superviseInterval = 200 * time.Millisecond

func (g *Gateway) supervise(versionEnv map[string][]string, stop chan struct{}) {
	for ticker := time.NewTicker(superviseInterval); ; {
		select {
		case <-stop:
			ticker.Stop()
			return
		case <-ticker.C:
		}
		if p := g.Process(); p == nil || g.downSince.Load() != 0 {
			continue
		}
		text, err := g.SendCommand("wanted")
		fields := strings.Fields(strings.TrimPrefix(strings.TrimSuffix(strings.TrimSpace(text), "EOT"), "SUCCESS"))
		if err != nil || len(fields) < 2 {
			continue
		}
		switch fields[0] {
		case "version":
			if fields[1] != g.Version() {
				if err := g.ChangeVersion(fields[1], versionEnv[fields[1]]); err != nil {
					g.lab.Logf("%s does not change to version %s: %.200v", g.Name, fields[1], err)
					g.restoreServing()
				}
			}
		case "config":
			if fields[1] != g.Revision() {
				if _, err := g.Configure(fields[1]); err != nil {
					g.lab.Logf("%s does not get its configuration: %v", g.Name, err)
				}
			}
		}
	}
}

// Revision returns the revision of the configuration that the gateway was last given.
func (g *Gateway) Revision() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.revision
}

// restoreServing makes the process that still runs the current one again after the start of a new version has failed.
func (g *Gateway) restoreServing() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := len(g.processes) - 1; i >= 0; i-- {
		if p := g.processes[i]; p.Running() {
			g.processes = append(append(g.processes[:i:i], g.processes[i+1:]...), p)
			g.version, g.env = p.version, p.env
			return
		}
	}
}
