package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// gateway is a gateway with all its processes.
type gateway struct {
	record     *record
	root       string
	dir        string // folder of its files
	addr       string // where clients connect
	bulletin   *bulletin
	runCommand string // of the deploy file, with further arguments
	processes  []*process
}

// process is one process of a gateway.
type process struct {
	name     string
	operator string // where operators call
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newGateway(s *setup, b *bulletin) (*gateway, error) {
	addr, err := freeAddr()
	if err != nil {
		return nil, err
	}
	run, err := deployCommand(s.root, "run")
	if err != nil {
		return nil, err
	}
	g := &gateway{record: s.record, root: s.root, dir: filepath.Join(s.dir, "n1"), addr: addr, bulletin: b, runCommand: run}
	return g, os.MkdirAll(filepath.Join(g.dir, "tmp"), 0o700)
}

// deployCommand returns a command of the deploy file.
func deployCommand(root, name string) (command string, err error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == name {
			return command, json.Unmarshal([]byte(strings.TrimSpace(value)), &command)
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no command %s", name)
}

// freeAddr returns an address on loopback on which nobody listens.
func freeAddr() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// configure writes the configuration, with the list of this moment.
func (g *gateway) configure() error {
	text, err := json.Marshal(map[string]any{"name": "n1", "listen": g.addr, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"bulletin": g.bulletin.addr, "known": g.bulletin.known(zones), "settings": settings()})
	return errors.Join(err, os.WriteFile(g.configPath(), text, 0o600))
}

func (g *gateway) configPath() string { return filepath.Join(g.dir, "config.json") }

// start starts a process as the platform does: with the deploy file's command, by /bin/sh -c from the root of the repository. If a
// process runs already, the new one is another version beside it: all is the same but the operators' address.
func (g *gateway) start() (*process, error) {
	operator, err := freeAddr()
	if err = errors.Join(err, g.configure()); err != nil {
		return nil, err
	}
	number := len(g.processes) + 1
	log, err := os.Create(filepath.Join(g.dir, fmt.Sprintf("log-%d.txt", number)))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p := &process{name: fmt.Sprintf("n1, process %d", number), operator: operator, cmd: exec.Command("/bin/sh", "-c", g.runCommand),
		exited: make(chan struct{})}
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = g.root, log, log
	p.cmd.Env = append(os.Environ(), "NODE_NAME=n1", "NODE_LISTEN="+g.addr, "NODE_OPERATOR="+operator, "NODE_CONFIG="+g.configPath(),
		"TMPDIR="+filepath.Join(g.dir, "tmp"))
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program, however that ends
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.cmd.Wait()
		g.record.printf("%s has ended: %v", p.name, p.cmd.ProcessState)
		close(p.exited)
	}()
	g.processes = append(g.processes, p)
	g.record.printf("%s starts", p.name)
	return p, p.awaitReady()
}

// awaitReady waits until the process says on the operators' address that it is ready, for 6 s at most.
func (p *process) awaitReady() error {
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if reply, err := p.ask("ready"); err == nil && strings.HasPrefix(reply, "SUCCESS") {
			return nil
		}
	}
	return fmt.Errorf("%s was not ready after 6 s", p.name)
}

// ask makes an operator's call and returns the reply.
func (p *process) ask(call string) (string, error) {
	c, err := net.DialTimeout("tcp", p.operator, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(c, call)
	text, err := io.ReadAll(c)
	return strings.TrimSpace(string(text)), err
}

// disable leaves a worker out by hand.
func (p *process) disable(w *worker) error {
	reply, err := p.ask("disable-server " + w.id)
	if err == nil && reply != "SUCCESS" {
		err = fmt.Errorf("disable-server %s: %q", w.id, reply)
	}
	return err
}

// terminate sends SIGTERM.
func (p *process) terminate() { p.cmd.Process.Signal(syscall.SIGTERM) }

// killAll ends all processes of the gateway.
func (g *gateway) killAll() {
	for _, p := range g.processes {
		select {
		case <-p.exited:
		default:
			p.cmd.Process.Kill()
			<-p.exited
		}
	}
}
