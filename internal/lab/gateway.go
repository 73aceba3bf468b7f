package lab

import (
	"fmt"
	"io"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quillrail/internal/lab/sysfault"
)

// Gateway is one gateway of the fleet, by its name and address; processes of it come and go.
type Gateway struct {
	Name, Addr string
	Hall       int
	lab        *Lab
	n          int
	dir        string
	config     string
	bulletin   *bulletin
	listLink   *Relay   // to its bulletin
	links      []*Relay // to the workers, by number
	peer       string   // where other gateways reach it
	mu         sync.Mutex
	procs      []*Process           // all that were started, the last one in front of clients
	ending     atomic.Int64         // when it was asked to end, in Unix ns; 0 if it takes clients
	unready    atomic.Int64         // when it was seen to send clients away, in Unix ns; 0 if it does not
	version    string               // of the process that is started next,
	env        []string             // and what it finds in the environment besides
	revision   string               // of the configuration
	listTold   string               // where it says that the bulletin is, "" for the first address
	supervisor *sysfault.Supervisor // of its processes' system calls, nil for none
	changing   atomic.Bool          // a process of another version is taking over
	unwilling  atomic.Int64         // when it was killed or stopped, in Unix ns; 0 once it goes on
	lost       atomic.Int64         // when it was last killed or went on after a stop, in Unix ns
}

func newGateway(l *Lab, n int) (g *Gateway, err error) {
	g = &Gateway{Name: fmt.Sprint("gw", n+1), Hall: n % l.Halls, lab: l, n: n, version: "v1", revision: "r1"}
	if g.dir, err = l.folder(g.Name); err != nil {
		return nil, err
	}
	g.config = filepath.Join(g.dir, "config.json")
	if g.Addr, err = l.reserve(fmt.Sprintf("127.77.1.%d", n+1)); err != nil {
		return nil, err
	}
	if g.bulletin, err = newBulletin(l, g); err != nil {
		return nil, err
	}
	if g.listLink, err = newRelay(l, "127.77.0.1:0", func() string { return g.bulletin.addr }); err != nil {
		return nil, err
	}
	for _, w := range l.Workers {
		r, err := newRelay(l, fmt.Sprintf("127.77.2.%d:0", n+1), w.at)
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, r)
	}
	g.peer = fmt.Sprintf("127.77.4.%d:%d", n+1, l.peers)
	return g, l.configure(g)
}

// Supervise has the system calls of the processes that are started from now on answered by a supervisor.
func (g *Gateway) Supervise(s *sysfault.Supervisor) {
	g.mu.Lock()
	g.supervisor = s
	g.mu.Unlock()
}

// Link is the relay between the gateway and a worker.
func (g *Gateway) Link(worker int) *Relay { return g.links[worker] }

// Peer is where other gateways reach it.
func (g *Gateway) Peer() string { return g.peer }

// Process is the process that was started last, nil if none was.
func (g *Gateway) Process() *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.procs) == 0 {
		return nil
	}
	return g.procs[len(g.procs)-1]
}

// Start starts a process of the gateway and waits until it takes calls. Beside one that runs it is a new version, which
// takes over.
func (g *Gateway) Start() error {
	if err := g.begin(); err != nil {
		return err
	}
	if _, err := g.Process().Await("ready", startLimit); err != nil {
		return err
	}
	g.ending.Store(0)
	g.unwilling.Store(0)
	g.lab.Logf("%s takes calls at %s", g.Name, g.Addr)
	return nil
}

// begin starts a process and does not wait until it takes calls.
func (g *Gateway) begin() error {
	p, err := g.lab.start(g)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.procs = append(g.procs, p)
	g.mu.Unlock()
	return nil
}

// Kill ends the process with SIGKILL and waits for its end.
func (g *Gateway) Kill() {
	g.lab.Logf("%s is killed", g.Name)
	g.lab.count(func(c *Counts) { c.Kills++ })
	g.unwilling.Store(time.Now().UnixNano())
	g.lost.Store(time.Now().UnixNano())
	g.Process().End(syscall.SIGKILL)
}

// Pause stops the process, which knows nothing of it; Resume lets it go on.
func (g *Gateway) Pause() {
	g.lab.Logf("%s is paused", g.Name)
	g.unwilling.Store(time.Now().UnixNano())
	g.Process().Signal(syscall.SIGSTOP)
}

// Resume has a process that was stopped go on.
func (g *Gateway) Resume() {
	g.lab.Logf("%s goes on", g.Name)
	g.Process().Signal(syscall.SIGCONT)
	g.lost.Store(time.Now().UnixNano())
	g.unwilling.Store(0)
}

// Terminate ends the process with SIGTERM and returns how it exited.
func (g *Gateway) Terminate() error {
	g.lab.Logf("%s is asked to end", g.Name)
	g.ending.Store(time.Now().UnixNano())
	return g.Process().End(syscall.SIGTERM)
}

// Upgrade starts a new process beside the old one and ends the old one once the new one takes calls.
func (g *Gateway) Upgrade() error {
	old := g.Process()
	g.lab.Logf("%s is upgraded", g.Name)
	if err := g.Start(); err != nil {
		return err
	}
	return old.End(syscall.SIGTERM)
}

// Ask makes an operators' call to the last process.
func (g *Gateway) Ask(call string) (string, error) {
	c, err := net.DialTimeout("tcp", g.Process().operator, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(c, call)
	text, err := io.ReadAll(c)
	return string(text), err
}

// Logs are the last of what all processes of the gateway have written.
func (g *Gateway) Logs() (text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.procs {
		text += p.Log() + "--\n"
	}
	return text
}

func (g *Gateway) end() {
	g.mu.Lock()
	procs := g.procs
	g.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGCONT)
		p.End(syscall.SIGKILL)
	}
}

// Curl is a line for a shell that makes a call and gets an answer.
func (g *Gateway) Curl() string {
	return fmt.Sprintf(`curl -s -d hello -H 'X-Class: read' -H 'Req-Owner: demo' -H 'Req-Wait-Ms: 2000' `+
		`-H "Req-Id: $(openssl rand -hex 8)" http://%s/do/00000000000000a1/call`, g.Addr)
}
