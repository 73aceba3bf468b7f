package lifecycle

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/mqtt"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
	"quillrail/internal/wire/workerlink"
)

const text = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"bulletin":"%BULLETIN%",
 "known":{"no":3,"items":[{"no":3,"roster":{"revision":1,"complete":true,"members":[{"id":"s-00c41f7a",
 "host_port":"%WORKER%","locality":"x","flavor":"std","cell":1,"phase":"active","size":1,"up_since_ms":0}]}}]},
 "settings":{"azs":["x"],"kinds":["std"],"balancers":1,"classes":[{"credit":1,"deadline-s":4,"effect":"idempotent",
 "key-scope":"all","late-worth":0.3,"name":"read","promise-s":1,"streaming":false,"window-s":5}],"contract":{
 "drain-grace-s":2,"cold-from":0.2,"cold-s":10,"fall-multiple":2.5,"fall-s":3},"customers":[{"name":"a","share":1}],
 "family-info":{"keep-s":10,"marks-cold":true,"not-loaded":"load"},"membership-mode":"automatic","policy-limits":{
 "cancelling":true,"conn-idle-s":30,"connect-timeout-s":0.25,"max-retry-after-s":2,"parallel-tries":true,
 "retry-after":true,"streams-per-conn":32,"try-limit":5}}}`

// Every configuration that can't be used is told in one line, and nothing is started.
func TestBadConfiguration(t *testing.T) {
	good := strings.NewReplacer("%BULLETIN%", "127.0.0.1:1", "%WORKER%", "127.0.0.1:2").Replace(text)
	dir := t.TempDir()
	side := filepath.Join(dir, "mqtt.toml")
	read := func(conf, mqtt string) error {
		path := filepath.Join(dir, "config.json")
		for file, content := range map[string]string{path: conf, side: mqtt} {
			if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		t.Setenv("NODE_CONFIG", path)
		_, err := FromEnv(side, "none")
		return err
	}
	if err := read(good, "enabled = false"); err != nil {
		t.Fatal(err)
	}
	for old, new := range map[string]string{`{"name"`: `{`, `"seed":"8`: `"seed":"x`, `127.0.0.1:0`: `nowhere`,
		`127.0.0.1:1"`: `"`, `"sockets":1024`: `"sockets":3`, `"memory_mb":192`: `"memory_mb":1`, `"active"`: `"odd"`,
		`"idempotent"`: `"odd"`, `"conn-idle-s":30`: `"conn-idle-s":0`, `"streams-per-conn":32`: `"streams-per-conn":0`,
		`"locality":"x"`: `"locality":"q"`} {
		if err := read(strings.Replace(good, old, new, 1), ""); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v", new, err)
		}
	}
	on := "enabled = true\n[calls]\nbroker = \"%s\"\nclient_id = \"c\"\nlisten = [\"t\"]\nsession_expiry_s = 9\nkeep_alive_s = %d\n"
	if err := read(good, fmt.Sprintf(on, "127.0.0.1:9", 9)); err != nil {
		t.Error(err)
	}
	for _, bad := range []string{"x = 1", "enabled = 3", fmt.Sprintf(on, "10.0.0.1:9", 9), fmt.Sprintf(on, "localhost", 9),
		fmt.Sprintf(on, "127.0.0.1:9", 0), "[export]\nenabled = true\ncollector = \"1.1.1.1:1\"\nqueue = 1",
		"[export]\nenabled = true\ncollector = \"127.0.0.1:1\"\nqueue = 0",
		"enabled = true\n[workers]\nbroker = \"127.0.0.1:1\"\nclient_id = \"c\"\nreplies = \"a/#\"\nkeep_alive_s = 1"} {
		if err := read(good, bad); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v", bad, err)
		}
	}
	t.Setenv("NODE_CONFIG", filepath.Join(dir, "none"))
	if _, err := FromEnv(side, "none"); err == nil {
		t.Error("a file that does not exist was read")
	}
}

// The time for the last answers follows from the classes: SIGKILL comes 0.7 s after the longest deadline, of which the
// platform counts 3 s at most.
func TestDrainFollowsTheDeadlines(t *testing.T) {
	for deadline, want := range map[string]time.Duration{"4": 3300 * time.Millisecond, "1.2": 1500 * time.Millisecond} {
		c, err := ParseConfig([]byte(strings.NewReplacer(`"deadline-s":4`, `"deadline-s":`+deadline, "%WORKER%", "127.0.0.1:2").
			Replace(text)))
		if err != nil {
			t.Fatal(err)
		}
		if got := (&Gateway{conf: c}).longest(); got != want {
			t.Errorf("deadline %s s: %v, want %v", deadline, got, want)
		}
	}
}

// worker is a stand-in on a real socket that answers every call.
type worker struct {
	c    sock.Conn
	hold chan struct{}
}

func (w *worker) Data(b []byte) error {
	words := strings.Fields(string(b))
	if len(words) < 4 || words[0] != "CALL" { // it stands for the bulletin as well, which has no news
		return nil
	}
	go func() { // never on the I/O goroutine
		<-w.hold
		w.c.Write([]byte(words[1] + " OK detail=warm 4\r\ndone\r\n"))
	}()
	return nil
}
func (w *worker) Closed(error) {}

// A gateway on real sockets: ready, a call served, SIGTERM while another is open, its answer, the end. The clock
// is the test's, so that the drain takes no time.
func TestGatewayServesAndDrains(t *testing.T) {
	for _, side := range []string{"", mqttOn} { // with MQTT and export on, and nobody there to speak to
		s, err := ParseSide(side)
		if err != nil {
			t.Fatal(err)
		}
		for _, drained := range []bool{false, true} { // SIGTERM ends a gateway that operators have drained as well
			servesAndDrains(t, s, drained)
		}
	}
}

const mqttOn = `enabled = true
[calls]
broker = "127.0.0.1:1"
client_id = "c"
listen = ["t"]
session_expiry_s = 9
keep_alive_s = 9
[workers]
broker = "127.0.0.1:1"
client_id = "w"
replies = "r"
keep_alive_s = 9
[[workers.worker]]
name = "one"
topic = "one/calls"
status = "one/status"
zone = "x"
[export]
enabled = true
collector = "127.0.0.1:1"
queue = 10
`

func servesAndDrains(t *testing.T, side *Side, drained bool) {
	hold := make(chan struct{})
	workers, err := sock.Listen("127.0.0.1:0", sock.Limits{Descriptors: 64, Accepted: 64}, func(c sock.Conn) sock.Handler { return &worker{c, hold} }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer workers.Stop()
	c, err := ParseConfig([]byte(strings.NewReplacer("%BULLETIN%", workers.Addr(), "%WORKER%", workers.Addr()).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	c.Side = side
	var mu sync.Mutex
	now := 1000 * time.Hour
	g, err := Start(c, func() time.Duration { mu.Lock(); defer mu.Unlock(); return now }, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	defer g.net.Stop()
	ended := make(chan struct{})
	g.done = func() { close(ended) }
	go func() { // the turn
		for {
			select {
			case <-ended:
				return
			default:
				g.loop.Wait()
				g.loop.Turn()
			}
		}
	}()
	call := func(id string) <-chan string {
		got := make(chan string, 1)
		go func() {
			conn, err := net.Dial("tcp", g.net.Addr())
			if err != nil {
				got <- err.Error()
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "GET /check HTTP/1.1\r\n\r\n")
			r := bufio.NewReader(conn)
			if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
				got <- fmt.Sprint(resp, err)
				return
			} else if _, err := r.Discard(int(resp.ContentLength)); err != nil {
				got <- err.Error()
				return
			}
			fmt.Fprintf(conn, "POST /do/00000000000000ff/call HTTP/1.1\r\nX-Class: read\r\nReq-Owner: a\r\nReq-Id: %s\r\n"+
				"Req-Wait-Ms: 4000\r\nContent-Length: 0\r\n\r\n", id)
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				got <- err.Error()
				return
			}
			body := make([]byte, resp.ContentLength)
			resp.Body.Read(body)
			got <- fmt.Sprint(resp.StatusCode, string(body))
		}()
		return got
	}
	first := call("0000000000000001")
	hold <- struct{}{}
	if got := <-first; got != "200done" {
		t.Fatalf("first call: %s", got)
	}
	second := call("0000000000000002")
	for open := 0; open == 0; { // until it has been taken
		got := make(chan int)
		g.loop.Post(func() { got <- g.core.Open() })
		open = <-got
	}
	pass := func(d time.Duration) {
		mu.Lock()
		now += d
		mu.Unlock()
		done := make(chan struct{})
		g.loop.Post(func() { close(done) })
		select {
		case <-done:
		case <-ended: // no turn will come
		}
	}
	if drained {
		g.loop.Post(func() {
			(*desk)(g).Drain()
			g.reload(g.conf, nil) // SIGHUP leaves it drained
			if (*desk)(g).Ready() == nil {
				t.Error("ready though drained")
			}
		})
		pass(0)
	}
	g.loop.Post(g.drain)
	pass(0)
	pass(keepAccept)
	pass(time.Second) // the call is still open: the process must not end
	select {
	case <-ended:
		t.Fatal("ended with a call open")
	default:
	}
	hold <- struct{}{}
	if got := <-second; got != "200done" {
		t.Errorf("second call: %s", got)
	}
	for {
		pass(lastFlush)
		select {
		case <-ended:
			return
		default:
		}
	}
}

// The bulletin knows nothing of the workers that are reached by MQTT: its whole lists must not remove them, and
// its link must not be asked to connect to them.
func TestBulletinDoesNotRemoveMQTTWorkers(t *testing.T) {
	w := wiretest.New(t)
	site := wiretest.Site()
	var told []string
	tell := func(whole bool, members []core.Member) {
		for _, m := range members {
			told = append(told, fmt.Sprint(m.Name, whole))
		}
	}
	l := mqtt.NewLink(w.Loop, w, mqtt.Options{Broker: "b"}, "r", []mqtt.Worker{{Name: "mqtt-1", Topic: "t", StatusTopic: "s"}},
		1, tell, w.Log())
	f := &bothKinds{Pool: workerlink.New(w.Loop, w, site, 9, w.Log()), mqtt: l}
	w.Listen("b", func(c *wiretest.Conn) sock.Handler {
		c.Write(mqtt.Append(nil, mqtt.Connack, 0, []byte{0, 0, 0}))
		c.Write(mqtt.AppendPublish(nil, &mqtt.Message{Topic: "s", Payload: []byte("ready")}, 0, 1))
		return &wiretest.Peer{Conn: c}
	})
	l.Connect()
	w.Run()
	f.bulletin(tell)(true, []core.Member{{Addr: "a:1", Host: decide.Host{Name: "s-1"}}})
	if got := strings.Join(told, " "); got != "mqtt-1false s-1true mqtt-1true" {
		t.Errorf("told %s", got)
	}
	f.List(true, []core.Member{{Addr: "t", Host: decide.Host{Name: "mqtt-1"}}})
	if f.link("mqtt-1") != core.Workers(l) || f.link("s-1") != core.Workers(f.Pool) {
		t.Error("a worker is sent to on the wrong link")
	}
}
