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

// stage is what the processes of one gateway meet: a folder, an address, a bulletin, two workers.
type stage struct {
	t      *testing.T
	dir    string
	listen string
	served [2]atomic.Int64 // calls by worker
	ran    sync.Map        // how often calls ran, by id
	resets int64           // one call of so many is run and its connection reset, 0 for none
}

const workersConfig = `{"name":"n","listen":%q,"seed":"01","limits":{"cores":1,"memory_mb":64,"sockets":256},"bulletin":%q,
 "known":{"no":1,"items":[{"no":1,"roster":{"revision":1,"complete":true,"members":[
 {"id":"s-00000000","host_port":%q,"locality":"x","flavor":"std","cell":0,"phase":"active","size":1,"up_since_ms":0},
 {"id":"s-00000001","host_port":%q,"locality":"x","flavor":"std","cell":0,"phase":"active","size":1,"up_since_ms":0}]}}]},
 "settings":{"azs":["x"],"kinds":["std"],"balancers":1,"classes":[{"deadline-s":4,"effect":"idempotent","key-scope":"all",
 "name":"read","promise-s":4},{"deadline-s":4,"effect":"at_most_once","name":"once","promise-s":4}],"contract":{"drain-grace-s":2,"cold-from":0.2,"cold-s":10,"fall-multiple":2.5,"fall-s":3},
 "customers":[{"name":"a","share":1}],"family-info":{"keep-s":10,"marks-cold":true,"not-loaded":"load"},
 "membership-mode":"automatic","policy-limits":{"cancelling":true,"conn-idle-s":30,"connect-timeout-s":1,
 "max-retry-after-s":2,"parallel-tries":true,"retry-after":true,"streams-per-conn":32,"try-limit":5}}}`

// serveOn accepts connections on loopback until the test ends.
func (s *stage) serveOn(handle func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { l.Close() })
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

// worker answers every call with its body.
func (s *stage) worker(i int) func(net.Conn) {
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
			count, _ := s.ran.LoadOrStore(words[1], new(atomic.Int64))
			count.(*atomic.Int64).Add(1)
			if n := s.served[i].Add(1); s.resets > 0 && n%s.resets == 0 {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			fmt.Fprintf(c, "%s OK detail=warm %d\r\n%s", words[1], n, body)
		}
	}
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, dir: t.TempDir()}
	// The address is kept for the gateway by a socket that is bound and never listens.
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
	s.listen = fmt.Sprint("127.0.0.1:", at.(*unix.SockaddrInet4).Port)
	bulletin := s.serveOn(func(c net.Conn) { io.Copy(io.Discard, c) })
	text := fmt.Sprintf(workersConfig, s.listen, bulletin, s.serveOn(s.worker(0)), s.serveOn(s.worker(1)))
	if err := os.WriteFile(filepath.Join(s.dir, "config.json"), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return s
}

// process is one process of the gateway.
type process struct {
	t        *testing.T
	cmd      *exec.Cmd
	lines    chan map[string]any // of its log, and
	past     []map[string]any    // those passed over
	operator string
}

func (s *stage) start() *process { return s.startIn(s.dir) }

// startIn starts a process that looks for others of its gateway in dir.
func (s *stage) startIn(dir string) *process {
	p := &process{t: s.t, lines: make(chan map[string]any, 10000), cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), "QUILLRAIL_TEST_PROCESS=1", "TMPDIR="+dir, "NODE_OPERATOR=127.0.0.1:0",
		"NODE_CONFIG="+filepath.Join(s.dir, "config.json"))
	out, err := p.cmd.StderrPipe()
	if err != nil {
		s.t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { p.cmd.Process.Kill() })
	go func() {
		defer close(p.lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			var line map[string]any
			if json.Unmarshal(in.Bytes(), &line) == nil {
				p.lines <- line
			}
		}
	}()
	p.operator = p.line("operators are heard")["at"].(string)
	return p
}

// line waits for a line of the log, each of which is found once.
func (p *process) line(msg string) map[string]any {
	p.t.Helper()
	for i, l := range p.past {
		if l["msg"] == msg {
			p.past = slices.Delete(p.past, i, i+1)
			return l
		}
	}
	for l := range p.lines {
		if l["msg"] == msg {
			return l
		}
		p.past = append(p.past, l)
	}
	p.t.Fatalf("the process ended without %q: %v", msg, p.past)
	return nil
}

// ask makes an operator's call.
func (p *process) ask(call string) string {
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

// end sends a signal and waits for the process to end.
func (p *process) end(sig os.Signal) error {
	p.cmd.Process.Signal(sig)
	for range p.lines { // to the end of the log
	}
	return p.cmd.Wait()
}
