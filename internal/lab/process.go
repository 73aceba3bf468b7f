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
	startTimeout = 20 * time.Second // for a gateway to start and accept calls, and for a process to exit after a signal
	maxLogLines  = 400              // last log lines of a process that are stored, for Await and for reports of failed tests
)

// Process is one process of a gateway.
type Process struct {
	Name         string
	version      string
	env          []string
	cmd          *exec.Cmd
	operatorAddr string
	mu           sync.Mutex
	lines        []map[string]any // parsed log lines that Await has not returned yet
	rawLines     []string         // the last log lines as written
	log          *os.File         // the end of the log's pipe from which the lab reads
	readGate     chan struct{}    // the reader of the log waits for it; closed except between HoldLog and ReleaseLog
	newLine      chan struct{}    // closed and replaced at each log line
	exited       chan struct{}    // closed when the process has ended
	err          error            // of its exit; set before exited is closed
}

// startProcess starts a process of a gateway. The process ends with the lab, and is killed if the lab's own process dies.
func (l *Lab) startProcess(g *Gateway) (*Process, error) {
	if err := l.configure(g); err != nil { // with the worker list of this moment
		return nil, err
	}
	args := slices.Concat(l.Program[1:], l.Arguments)
	g.mu.Lock()
	version, gatewayEnv, supervisor := g.version, g.env, g.syscallSupervisor
	env := gatewayEnv
	g.mu.Unlock()
	if l.EnvOf != nil {
		env = append(l.EnvOf(g.index), env...)
	}
	if l.Fleet {
		if err := g.writeFleetConfig(); err != nil {
			return nil, err
		}
		args = append(args, "--fleet", filepath.Join(g.dir, "fleet.toml"))
	}
	cmd := exec.Command(l.Program[0], args...)
	cmd.Dir = g.dir
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+g.configPath, "TMPDIR="+g.dir,
		fmt.Sprintf("NODE_OPERATOR=127.77.3.%d:0", g.index+1), "QUILLRAIL_TEST_VERSION="+version),
		append(append([]string(nil), l.Env...), env...)...)
	if l.ClockFile != "" {
		cmd.Env = append(cmd.Env, "QUILLRAIL_TEST_CLOCK_FILE="+l.ClockFile)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	logReader, logWriter, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = logWriter
	if supervisor != nil {
		err = supervisor.Start(cmd)
	} else {
		err = cmd.Start()
	}
	logWriter.Close()
	if err != nil {
		logReader.Close()
		return nil, err
	}
	p := &Process{Name: g.Name, version: version, env: gatewayEnv, cmd: cmd, log: logReader,
		readGate: closedChannel(), newLine: make(chan struct{}), exited: make(chan struct{})}
	go p.read()
	line, err := p.Await("operators are heard", startTimeout)
	if err != nil {
		p.End(syscall.SIGKILL)
		return nil, err
	}
	p.operatorAddr, _ = line["at"].(string)
	return p, nil
}

// read reads the log until the process closes it, and then waits for the process.
func (p *Process) read() {
	for scanner := bufio.NewScanner(p.log); scanner.Scan(); {
		p.mu.Lock()
		gate := p.readGate
		p.mu.Unlock()
		<-gate
		var line map[string]any
		ok := json.Unmarshal(scanner.Bytes(), &line) == nil
		p.mu.Lock()
		if p.rawLines = append(p.rawLines, scanner.Text()); len(p.rawLines) > maxLogLines {
			p.rawLines = p.rawLines[1:]
		}
		if ok {
			if p.lines = append(p.lines, line); len(p.lines) > maxLogLines {
				p.lines = p.lines[1:]
			}
		}
		close(p.newLine)
		p.newLine = make(chan struct{})
		p.mu.Unlock()
	}
	p.log.Close()
	p.err = p.cmd.Wait()
	close(p.exited)
}

// HoldLog stops reading the log until ReleaseLog, so that the pipe fills up.
func (p *Process) HoldLog() {
	p.mu.Lock()
	p.readGate = make(chan struct{})
	p.mu.Unlock()
}

// CloseLog closes the lab's end of the log's pipe for good.
func (p *Process) CloseLog() { p.log.Close() }

// ReleaseLog continues to read the log after HoldLog.
func (p *Process) ReleaseLog() {
	p.mu.Lock()
	close(p.readGate)
	p.mu.Unlock()
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// Await waits for a log line with this message, and removes it, so that each line is returned only once.
func (p *Process) Await(msg string, limit time.Duration) (map[string]any, error) {
	timeout := time.After(limit)
	for {
		p.mu.Lock()
		for i, line := range p.lines {
			if line["msg"] == msg {
				p.lines = append(p.lines[:i:i], p.lines[i+1:]...)
				p.mu.Unlock()
				return line, nil
			}
		}
		newLine := p.newLine
		p.mu.Unlock()
		select {
		case <-newLine:
		case <-p.exited:
			return nil, fmt.Errorf("%s ended without the log line %q:\n%s", p.Name, msg, p.Log())
		case <-timeout:
			return nil, fmt.Errorf("%s: no log line %q within %v:\n%s", p.Name, msg, limit, p.Log())
		}
	}
}

// Log returns the last log lines of the process.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := ""
	for _, l := range p.rawLines {
		text += l + "\n"
	}
	return text
}

// Signal sends a signal to the process if it runs.
func (p *Process) Signal(sig syscall.Signal) {
	select {
	case <-p.exited:
	default:
		p.cmd.Process.Signal(sig)
	}
}

// Running reports whether the process has not ended yet.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// End sends a signal and waits until the process has ended. After startTimeout it kills the process.
func (p *Process) End(sig syscall.Signal) error {
	p.Signal(sig)
	select {
	case <-p.exited:
		return p.err
	case <-time.After(startTimeout):
		p.Signal(syscall.SIGKILL)
		<-p.exited
		return errors.Join(fmt.Errorf("%s did not end within %v after signal %v", p.Name, startTimeout, sig), p.err)
	}
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// OperatorAddr returns the address of the process's operator listener.
func (p *Process) OperatorAddr() string { return p.operatorAddr }
