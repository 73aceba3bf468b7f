package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	startLimit = 20 * time.Second // a gateway that does not take calls by then has failed to start
	logKept    = 400              // lines of a process's log that are kept, for waiting and for telling what went wrong
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
	links      []*Relay // to the workers, by number
	peer       string   // where other gateways reach it
	mu         sync.Mutex
	procs      []*Process // all that were started, the last one in front of clients
}

func newGateway(l *Lab, n int) (g *Gateway, err error) {
	g = &Gateway{Name: fmt.Sprint("gw", n+1), Hall: n % l.Halls, lab: l, n: n}
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
	for _, w := range l.Workers {
		r, err := newRelay(l, fmt.Sprintf("127.77.2.%d:0", n+1), w.at)
		if err != nil {
			return nil, err
		}
		g.links = append(g.links, r)
	}
	g.peer = fmt.Sprintf("127.77.4.%d:%d", n+1, 20_000+os.Getpid()%20_000)
	return g, l.configure(g)
}

// Link is the relay between the gateway and a worker.
func (g *Gateway) Link(worker int) *Relay { return g.links[worker] }

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
	g.lab.Say("%s takes calls at %s", g.Name, g.Addr)
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
	g.lab.Say("%s is killed", g.Name)
	g.lab.count(func(c *Counts) { c.Kills++ })
	g.Process().End(syscall.SIGKILL)
}

// Pause stops the process, which knows nothing of it; Resume lets it go on.
func (g *Gateway) Pause()  { g.lab.Say("%s is paused", g.Name); g.Process().Signal(syscall.SIGSTOP) }
func (g *Gateway) Resume() { g.lab.Say("%s goes on", g.Name); g.Process().Signal(syscall.SIGCONT) }

// Terminate ends the process with SIGTERM and returns how it exited.
func (g *Gateway) Terminate() error {
	g.lab.Say("%s is asked to end", g.Name)
	return g.Process().End(syscall.SIGTERM)
}

// Upgrade starts a new process beside the old one and ends the old one once the new one takes calls.
func (g *Gateway) Upgrade() error {
	old := g.Process()
	g.lab.Say("%s is upgraded", g.Name)
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

func (g *Gateway) end() {
	g.mu.Lock()
	procs := g.procs
	g.mu.Unlock()
	for _, p := range procs {
		p.Signal(syscall.SIGCONT)
		p.End(syscall.SIGKILL)
	}
}

// Process is one process of a gateway.
type Process struct {
	Name     string
	cmd      *exec.Cmd
	operator string
	mu       sync.Mutex
	lines    []map[string]any // of its log, those not awaited yet
	raw      []string         // the last of it, as written
	more     chan struct{}
	over     chan struct{} // closed when it has ended
	err      error
}

// start starts a process that is ended with the lab, and when the lab's own process dies.
func (l *Lab) start(g *Gateway) (*Process, error) {
	args := append([]string(nil), l.Program[1:]...)
	if l.Fleet {
		if err := g.joinFleet(); err != nil {
			return nil, err
		}
		args = append(args, "--fleet", filepath.Join(g.dir, "fleet.toml"))
	}
	cmd := exec.Command(l.Program[0], args...)
	cmd.Dir = g.dir
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+g.config, "TMPDIR="+g.dir,
		fmt.Sprintf("NODE_OPERATOR=127.77.3.%d:0", g.n+1)), l.Env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = in
	err = cmd.Start()
	in.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	p := &Process{Name: g.Name, cmd: cmd, more: make(chan struct{}), over: make(chan struct{})}
	go p.read(out)
	line, err := p.Await("operators are heard", startLimit)
	if err != nil {
		p.End(syscall.SIGKILL)
		return nil, err
	}
	p.operator, _ = line["at"].(string)
	return p, nil
}

func (p *Process) read(out *os.File) {
	for in := bufio.NewScanner(out); in.Scan(); {
		var line map[string]any
		ok := json.Unmarshal(in.Bytes(), &line) == nil
		p.mu.Lock()
		if p.raw = append(p.raw, in.Text()); len(p.raw) > logKept {
			p.raw = p.raw[1:]
		}
		if ok {
			if p.lines = append(p.lines, line); len(p.lines) > logKept {
				p.lines = p.lines[1:]
			}
		}
		close(p.more)
		p.more = make(chan struct{})
		p.mu.Unlock()
	}
	out.Close()
	p.err = p.cmd.Wait()
	close(p.over)
}

// Await waits for a line of the log, each of which is found once.
func (p *Process) Await(msg string, limit time.Duration) (map[string]any, error) {
	late := time.After(limit)
	for {
		p.mu.Lock()
		for i, l := range p.lines {
			if l["msg"] == msg {
				p.lines = append(p.lines[:i:i], p.lines[i+1:]...)
				p.mu.Unlock()
				return l, nil
			}
		}
		more := p.more
		p.mu.Unlock()
		select {
		case <-more:
		case <-p.over:
			return nil, fmt.Errorf("%s ended without %q:\n%s", p.Name, msg, p.Log())
		case <-late:
			return nil, fmt.Errorf("%s: no %q in %v:\n%s", p.Name, msg, limit, p.Log())
		}
	}
}

// Log is the last of what the process has written.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := ""
	for _, l := range p.raw {
		text += l + "\n"
	}
	return text
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.over:
	default:
		p.cmd.Process.Signal(sig)
	}
}

// End sends a signal and waits until the process has ended, at most 20 s; then it is killed.
func (p *Process) End(sig syscall.Signal) error {
	p.Signal(sig)
	select {
	case <-p.over:
		return p.err
	case <-time.After(startLimit):
		p.Signal(syscall.SIGKILL)
		<-p.over
		return errors.Join(fmt.Errorf("%s did not end", p.Name), p.err)
	}
}

// Operator is where the process hears operators.
func (p *Process) Operator() string { return p.operator }

// Curl is a line for a shell that makes a call and gets an answer.
func (g *Gateway) Curl() string {
	return fmt.Sprintf(`curl -s -d hello -H 'X-Class: read' -H 'Req-Owner: demo' -H 'Req-Wait-Ms: 2000' `+
		`-H "Req-Id: $(openssl rand -hex 8)" http://%s/do/00000000000000a1/call`, g.Addr)
}
