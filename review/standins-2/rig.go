package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig holds what a case needs: the record, the gateway processes and the temporary folder.
type rig struct {
	root, dir, tmp string
	trouble        bool
	start          time.Time
	mu             sync.Mutex
	record         *os.File
	procs          []*process
	broken         []string
}

func newRig(root, dir string) (*rig, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "quillrail-review-")
	if err != nil {
		return nil, err
	}
	return &rig{root: root, dir: dir, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: f}, nil
}

// logf writes a line to the record, with the time since the start of the case.
func (r *rig) logf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.record, format+"\n", a...)
}

// breakRule records that the rule was broken.
func (r *rig) breakRule(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	r.logf("BROKEN %s", text)
	r.mu.Lock()
	r.broken = append(r.broken, text)
	r.mu.Unlock()
}

// close ends all processes that the case has started, and removes the temporary folder.
func (r *rig) close() {
	for _, p := range r.procs {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	r.record.Close()
	os.RemoveAll(r.tmp)
}

// verdict prints the outcome and returns the exit code.
func (r *rig) verdict(summary string) int {
	r.logf("SUMMARY %s", summary)
	fmt.Println(summary)
	if len(r.broken) > 0 {
		fmt.Printf("BROKEN %d times, first: %s\n", len(r.broken), r.broken[0])
		return 1
	}
	fmt.Println("held")
	return 0
}

// process is one process of a gateway, started by the deploy file's command.
type process struct {
	name             string
	cmd              *exec.Cmd
	exited           chan struct{}
	listen, operator string
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// gateway describes one gateway.
type gateway struct {
	name, listen, operator, bulletin string
	dir                              string // its TMPDIR
	settings                         map[string]any
	known                            map[string]any
	flags                            string // added to the deploy file's command
	zone, slot                       int
}

// deployCommand returns a command of the deploy file.
func (r *rig) deployCommand(key string) string {
	text, _ := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	for _, line := range strings.Split(string(text), "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	return ""
}

func (r *rig) writeConfig(g *gateway) string {
	os.MkdirAll(g.dir, 0o755)
	conf := map[string]any{"name": g.name, "listen": g.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": g.bulletin, "known": g.known,
		"settings": g.settings}
	if g.operator != "" {
		conf["operator"] = g.operator
	}
	text, _ := json.Marshal(conf)
	path := filepath.Join(r.tmp, g.name+".json")
	os.WriteFile(path+".new", text, 0o644)
	os.Rename(path+".new", path)
	return path
}

// startGateway starts a process of a gateway and waits until it is ready.
func (r *rig) startGateway(g *gateway) (*process, error) {
	p, err := r.beginGateway(g)
	if err == nil {
		err = r.awaitGateway(g, p)
	}
	return p, err
}

// beginGateway starts a process of a gateway.
func (r *rig) beginGateway(g *gateway) (*process, error) {
	path := r.writeConfig(g)
	logFile, err := os.OpenFile(filepath.Join(r.tmp, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", r.deployCommand("run")+g.flags)
	cmd.Dir = r.root
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+path, "NODE_NAME="+g.name, "NODE_LISTEN="+g.listen, "TMPDIR="+g.dir)
	if g.operator != "" {
		cmd.Env = append(cmd.Env, "NODE_OPERATOR="+g.operator)
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: g.name, cmd: cmd, exited: make(chan struct{}), listen: g.listen, operator: g.operator}
	go func() { cmd.Wait(); close(p.exited) }()
	r.procs = append(r.procs, p)
	return p, nil
}

// awaitGateway waits until a process of a gateway is ready: by GET /check, or at its operators' door if it has one.
func (r *rig) awaitGateway(g *gateway, p *process) error {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
		if g.operator != "" && operatorCall(g.operator, "ready") == "SUCCESS" || g.operator == "" && checkReady(g.listen) {
			r.logf("%s is ready, pid %d", g.name, p.cmd.Process.Pid)
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("%s ended at its start: %s", g.name, r.gatewayLog(g.name))
		default:
		}
	}
	return fmt.Errorf("%s is not ready: %s", g.name, r.gatewayLog(g.name))
}

func (r *rig) gatewayLog(name string) string {
	text, _ := os.ReadFile(filepath.Join(r.tmp, name+".log"))
	return string(text)
}

// operatorCall makes a call at an operators' door and returns the first word of the reply.
func operatorCall(addr, line string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintln(c, line)
	buf := make([]byte, 4096)
	n, _ := c.Read(buf)
	word, _, _ := strings.Cut(strings.TrimSpace(string(buf[:n])), " ")
	word, _, _ = strings.Cut(word, "\n")
	return word
}

// loopback is an address of this case's own, so that cases that run at the same time do not take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), rand.IntN(250), 1+rand.IntN(250))

// freeAddr returns an address on loopback that nobody listens at.
func freeAddr() string {
	ln, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		panic(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
