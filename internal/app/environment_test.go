package app

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
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"
)

// environment is what the processes of one gateway need: a directory, an address, a bulletin server and two workers.
type environment struct {
	t             *testing.T
	dir           string
	listen        string
	callsByWorker [2]atomic.Int64
	runsByID      sync.Map // how often each call ran, by request ID
	resetEvery    int64    // workers reset the connection after running every resetEvery-th call, 0 for none
}

const environmentConfig = `{"name":"n","listen":%q,"seed":"01","limits":{"cores":1,"memory_mb":64,"sockets":256},"bulletin":%q,
 "known":{"no":1,"items":[{"no":1,"roster":{"revision":1,"complete":true,"members":[
 {"id":"s-00000000","host_port":%q,"locality":"x","flavor":"std","cell":0,"phase":"active","size":1,"up_since_ms":0},
 {"id":"s-00000001","host_port":%q,"locality":"x","flavor":"std","cell":0,"phase":"active","size":1,"up_since_ms":0}]}}]},
 "settings":{"azs":["x"],"kinds":["std"],"balancers":1,"classes":[{"deadline-s":4,"effect":"idempotent","key-scope":"all",
 "name":"read","promise-s":4},{"deadline-s":4,"effect":"at_most_once","name":"once","promise-s":4}],"contract":{"drain-grace-s":2,"cold-from":0.2,"cold-s":10,"fall-multiple":2.5,"fall-s":3},
 "customers":[{"name":"a","share":1}],"family-info":{"keep-s":10,"marks-cold":true,"not-loaded":"load"},
 "membership-mode":"automatic","policy-limits":{"cancelling":true,"conn-idle-s":30,"connect-timeout-s":1,
 "max-retry-after-s":2,"parallel-tries":true,"retry-after":true,"streams-per-conn":32,"try-limit":5}}}`

// serveOn accepts connections on loopback until the test ends.
func (env *environment) serveOn(handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(c)
		}
	}()
	return l.Addr().String()
}

// worker returns a connection handler that answers every call with the call's body.
func (env *environment) worker(i int) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			words := strings.Fields(line)
			if len(words) != 4 || words[0] != "CALL" {
				continue
			}
			n := 0
			fmt.Sscan(words[3], &n)
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			count, _ := env.runsByID.LoadOrStore(words[1], new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			if n := env.callsByWorker[i].Add(1); env.resetEvery > 0 && n%env.resetEvery == 0 {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			fmt.Fprintf(c, "%s OK detail=warm %d\r\n%s", words[1], n, body)
		}
	}
}

func newEnvironment(t *testing.T) *environment {
	env := &environment{t: t, dir: t.TempDir()}
	// A socket that is bound but never listens reserves the address for the gateway.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unix.Close(fd) })
	if err := errors.Join(unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1),
		unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})); err != nil {
		t.Fatal(err)
	}
	at, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	env.listen = fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port)
	bulletin := env.serveOn(func(c net.Conn) { io.Copy(io.Discard, c) })
	text := fmt.Sprintf(environmentConfig, env.listen, bulletin, env.serveOn(env.worker(0)), env.serveOn(env.worker(1)))
	if err := os.WriteFile(filepath.Join(env.dir, "config.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return env
}

// process is one process of the gateway.
type process struct {
	t        *testing.T
	cmd      *exec.Cmd
	lines    chan map[string]any // of its log
	skipped  []map[string]any    // lines that waitForLog has read but not returned
	operator string
}

func (env *environment) start() *process { return env.startIn(env.dir) }

// startIn starts a process that looks in dir for another process of its gateway.
func (env *environment) startIn(dir string) *process {
	p := &process{t: env.t, lines: make(chan map[string]any, 10000), cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), "QUILLRAIL_TEST_PROCESS=1", "TMPDIR="+dir, "NODE_OPERATOR=127.0.0.1:0",
		"NODE_CONFIG="+filepath.Join(env.dir, "config.json"))
	out, err := p.cmd.StderrPipe()
	if err != nil {
		env.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			var line map[string]any
			if json.Unmarshal(in.Bytes(), &line) == nil {
				p.lines <- line
			}
		}
	}()
	p.operator = p.waitForLog("operators are heard")["at"].(string)
	return p
}

// waitForLog waits for a log line with the message msg. It returns each line once.
func (p *process) waitForLog(msg string) map[string]any {
	p.t.Helper()
	for i, l := range p.skipped {
		if l["msg"] == msg {
			p.skipped = slices.Delete(p.skipped, i, i+1)
			return l
		}
	}
	for l := range p.lines {
		if l["msg"] == msg {
			return l
		}
		p.skipped = append(p.skipped, l)
	}
	p.t.Fatalf("the process ended without the log line %q: %v", msg, p.skipped)
	return nil
}

// operatorCall sends a call to the operator listener and returns the reply.
func (p *process) operatorCall(call string) string {
	p.t.Helper()
	c, err := net.Dial("tcp", p.operator)
	if err != nil {
		p.t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintln(c, call)
	got, err := io.ReadAll(c)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(got)
}

// signalAndWait sends a signal and waits for the process to end.
func (p *process) signalAndWait(sig os.Signal) error {
	p.cmd.Process.Signal(sig)
	for range p.lines { // read to the end of the log
	}
	return p.cmd.Wait()
}
