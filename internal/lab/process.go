package lab

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	startLimit = 20 * time.Second // a gateway that does not take calls by then has failed to start
	logKept    = 400              // lines of a process's log that are kept, for waiting and for telling what went wrong
)

// Process is one process of a gateway.
type Process struct {
	Name     string
	version  string
	env      []string
	cmd      *exec.Cmd
	operator string
	mu       sync.Mutex
	lines    []map[string]any // of its log, those not awaited yet
	raw      []string         // the last of it, as written
	log      *os.File         // where it is read
	reading  chan struct{}    // closed while it is read
	more     chan struct{}
	over     chan struct{} // closed when it has ended
	err      error
}

// start starts a process that is ended with the lab, and when the lab's own process dies.
func (l *Lab) start(g *Gateway) (*Process, error) {
	if err := l.configure(g); err != nil { // with what the list has told so far
		return nil, err
	}
	args := slices.Concat(l.Program[1:], l.Arguments)
	g.mu.Lock()
	version, own, supervisor := g.version, g.env, g.supervisor
	env := own
	g.mu.Unlock()
	if l.EnvOf != nil {
		env = append(l.EnvOf(g.n), env...)
	}
	if l.Fleet {
		if err := g.joinFleet(); err != nil {
			return nil, err
		}
		args = append(args, "--fleet", filepath.Join(g.dir, "fleet.toml"))
	}
	cmd := exec.Command(l.Program[0], args...)
	cmd.Dir = g.dir
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+g.config, "TMPDIR="+g.dir,
		fmt.Sprintf("NODE_OPERATOR=127.77.3.%d:0", g.n+1), "QUILLRAIL_TEST_VERSION="+version), append(append([]string(nil), l.Env...), env...)...)
	if l.ClockFile != "" {
		cmd.Env = append(cmd.Env, "QUILLRAIL_TEST_CLOCK_FILE="+l.ClockFile)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, in, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = in
	if supervisor != nil {
		err = supervisor.Start(cmd)
	} else {
		err = cmd.Start()
	}
	in.Close()
	if err != nil {
		out.Close()
		return nil, err
	}
	p := &Process{Name: g.Name, version: version, env: own, cmd: cmd, log: out, reading: closedChannel(), more: make(chan struct{}), over: make(chan struct{})}
	go p.read()
	line, err := p.Await("operators are heard", startLimit)
	if err != nil {
		p.End(syscall.SIGKILL)
		return nil, err
	}
	p.operator, _ = line["at"].(string)
	return p, nil
}

func (p *Process) read() {
	for in := bufio.NewScanner(p.log); in.Scan(); {
		p.mu.Lock()
		reading := p.reading
		p.mu.Unlock()
		<-reading
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
	p.log.Close()
	p.err = p.cmd.Wait()
	close(p.over)
}

// HoldLog stops the reading of the log until the process is released: the pipe fills up.
func (p *Process) HoldLog() {
	p.mu.Lock()
	p.reading = make(chan struct{})
	p.mu.Unlock()
}

// CloseLog ends the reading of the log for good.
func (p *Process) CloseLog() { p.log.Close() }

// ReleaseLog goes on with reading it.
func (p *Process) ReleaseLog() {
	p.mu.Lock()
	close(p.reading)
	p.mu.Unlock()
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
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

// Runs reports whether the process has not ended.
func (p *Process) Runs() bool {
	select {
	case <-p.over:
		return false
	default:
		return true
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

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Operator is where the process hears operators.
func (p *Process) Operator() string { return p.operator }
