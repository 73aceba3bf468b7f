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

// Gateway is one gateway of the fleet. Its name and address stay the same while its processes start and end.
type Gateway struct {
	Name, Addr        string
	Hall              int
	lab               *Lab
	index             int
	dir               string
	configPath        string
	bulletin          *bulletin
	bulletinLink      *Relay   // to its bulletin
	links             []*Relay // to the workers, by their index
	peerAddr          string   // where other gateways reach it
	mu                sync.Mutex
	processes         []*Process           // all that were started; the last one serves the clients
	stopRequestedAt   atomic.Int64         // when it got SIGTERM, in Unix ns; 0 if it has not since its last start
	unreadyAt         atomic.Int64         // when a poll first found it not ready, in Unix ns; 0 if it is ready
	version           string               // of the next process
	env               []string             // added to the environment of the next process
	revision          string               // of the configuration
	bulletinAddr      string               // the bulletin's address in the configuration; "" for that of bulletinLink
	syscallSupervisor *sysfault.Supervisor // of its processes' system calls, nil for none
	changingVersion   atomic.Bool          // a process of another version is taking over
	downSince         atomic.Int64         // when it was killed or paused, in Unix ns; 0 once it runs again
	interruptedAt     atomic.Int64         // when it was last killed, or last resumed after a pause, in Unix ns
}

func newGateway(l *Lab, n int) (g *Gateway, err error) {
	g = &Gateway{Name: fmt.Sprint("gw", n+1), Hall: n % l.Halls, lab: l, index: n, version: "v1", revision: "r1"}
	if g.dir, err = l.folder(g.Name); err != nil {
		return nil, err
	}
	g.configPath = filepath.Join(g.dir, "config.json")
	if g.Addr, err = l.reserve(fmt.Sprintf("127.77.1.%d", n+1)); err != nil {
		return nil, err
	}
	if g.bulletin, err = newBulletin(l, g); err != nil {
		return nil, err
	}
	if g.bulletinLink, err = newRelay(l, "127.77.0.1:0", func() string { return g.bulletin.addr }); err != nil {
		return nil, err
	}
	for _, w := range l.Workers {
		link, err := newRelay(l, fmt.Sprintf("127.77.2.%d:0", n+1), w.address)
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, link)
	}
	g.peerAddr = fmt.Sprintf("127.77.4.%d:%d", n+1, l.peerPort)
	return g, l.configure(g)
}

// SuperviseSyscalls starts all further processes of the gateway under a supervisor, which may make their system calls fail.
func (g *Gateway) SuperviseSyscalls(s *sysfault.Supervisor) {
	g.mu.Lock()
	g.syscallSupervisor = s
	g.mu.Unlock()
}

// Link returns the relay between the gateway and a worker; workers count from 0.
func (g *Gateway) Link(worker int) *Relay { return g.links[worker] }

// PeerAddr returns the address at which other gateways reach this one.
func (g *Gateway) PeerAddr() string { return g.peerAddr }

// Process returns the process that was started last, nil if none was.
func (g *Gateway) Process() *Process {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.processes) == 0 {
		return nil
	}
	return g.processes[len(g.processes)-1]
}

// Start starts a process of the gateway and waits until it accepts calls. If a process runs already, the new one takes over from it.
func (g *Gateway) Start() error {
	if err := g.startProcess(); err != nil {
		return err
	}
	if _, err := g.Process().Await("ready", startTimeout); err != nil {
		return err
	}
	g.stopRequestedAt.Store(0)
	g.downSince.Store(0)
	g.lab.Logf("%s accepts calls at %s", g.Name, g.Addr)
	return nil
}

// startProcess starts a process without waiting until it accepts calls.
func (g *Gateway) startProcess() error {
	p, err := g.lab.startProcess(g)
	if err != nil {
		return err
	}
	g.mu.Lock()
	g.processes = append(g.processes, p)
	g.mu.Unlock()
	return nil
}

// Kill ends the process with SIGKILL and waits until it has exited.
func (g *Gateway) Kill() {
	g.lab.Logf("%s is killed", g.Name)
	g.lab.count(func(c *Counts) { c.Kills++ })
	g.downSince.Store(time.Now().UnixNano())
	g.interruptedAt.Store(time.Now().UnixNano())
	g.Process().End(syscall.SIGKILL)
}

// Pause stops the process with SIGSTOP, which it can't notice; Resume continues it.
func (g *Gateway) Pause() {
	g.lab.Logf("%s is paused", g.Name)
	g.downSince.Store(time.Now().UnixNano())
	g.Process().Signal(syscall.SIGSTOP)
}

// Resume continues a paused process with SIGCONT.
func (g *Gateway) Resume() {
	g.lab.Logf("%s is resumed", g.Name)
	g.Process().Signal(syscall.SIGCONT)
	g.interruptedAt.Store(time.Now().UnixNano())
	g.downSince.Store(0)
}

// Terminate ends the process with SIGTERM and returns the error of its exit.
func (g *Gateway) Terminate() error {
	g.lab.Logf("%s gets SIGTERM", g.Name)
	g.stopRequestedAt.Store(time.Now().UnixNano())
	return g.Process().End(syscall.SIGTERM)
}

// Upgrade starts a new process beside the old one, and ends the old one with SIGTERM once the new one accepts calls.
func (g *Gateway) Upgrade() error {
	old := g.Process()
	g.lab.Logf("%s is upgraded", g.Name)
	if err := g.Start(); err != nil {
		return err
	}
	return old.End(syscall.SIGTERM)
}

// SendCommand sends a command to the operator listener of the last process and returns the whole reply.
func (g *Gateway) SendCommand(command string) (string, error) {
	c, err := net.DialTimeout("tcp", g.Process().operatorAddr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(c, command)
	text, err := io.ReadAll(c)
	return string(text), err
}

// Logs returns the last log lines of all processes of the gateway.
func (g *Gateway) Logs() (text string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.processes {
		text += p.Log() + "--\n"
	}
	return text
}

// killAll kills all processes of the gateway, paused ones too.
func (g *Gateway) killAll() {
	g.mu.Lock()
	procs := g.processes
	g.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGCONT)
		p.End(syscall.SIGKILL)
	}
}

// Curl returns a shell command that makes a call to the gateway.
func (g *Gateway) Curl() string {
	return fmt.Sprintf(`curl -s -d hello -H 'X-Class: read' -H 'Req-Owner: demo' -H 'Req-Wait-Ms: 2000' `+
		`-H "Req-Id: $(openssl rand -hex 8)" http://%s/do/00000000000000a1/call`, g.Addr)
}
