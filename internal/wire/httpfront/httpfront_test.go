package httpfront

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

const requestHead = "POST /do/7f3a9c21e0b4d655/call HTTP/1.1\r\nHost: backend.local\r\nX-Class: command\r\n" +
	"Req-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 1500\r\nReq-Owner: b\r\nReq-Token: abc\r\nReq-Cost: 8.2\r\n" +
	"X-Tags: memory_mb:512;lanes:2;load_ms:640\r\n"
const callRequest = requestHead + "Content-Length: 2\r\n\r\nhi"

// fakeCore records the calls that it is given and does not answer them.
type fakeCore struct {
	calls []core.Call
	gone  []core.Ref
	count []string
}

func (f *fakeCore) Count(_ int, answer string) { f.count = append(f.count, answer) }

func (f *fakeCore) Submit(c core.Call) core.Ref {
	f.calls = append(f.calls, c)
	return core.Ref(len(f.calls))
}
func (f *fakeCore) ClientGone(r core.Ref) { f.gone = append(f.gone, r) }

// dial opens a client's connection to a front.
func dial(world *wiretest.World, front *Front) *wiretest.Peer {
	peer := &wiretest.Peer{}
	peer.Conn, _ = world.Pair(peer, func(c *wiretest.Conn) sock.Handler { return front.Accept(c) })
	world.Run()
	return peer
}

func newFront(t testing.TB, limit int) (*wiretest.World, *Front, *fakeCore) {
	world, fake := wiretest.New(t), &fakeCore{}
	front := New(world.Loop, wiretest.Site(), limit, 1<<20, world.Log())
	front.Serve(fake)
	return world, front, fake
}

func send(world *wiretest.World, peer *wiretest.Peer, text string) string {
	peer.Write([]byte(text))
	world.Run()
	return peer.Take()
}

func TestCallIsReadAndAnswered(t *testing.T) {
	world, front, fake := newFront(t, 9)
	for _, world.MaxChunk = range []int{0, 1, 7} {
		fake.calls = nil
		peer := dial(world, front)
		send(world, peer, callRequest)
		if len(fake.calls) != 1 {
			t.Fatalf("chunks of %d bytes: %d calls", world.MaxChunk, len(fake.calls))
		}
		c := fake.calls[0]
		if c.Function != "7f3a9c21e0b4d655" || c.ID != "9b1f03aa5c7e2d41" || c.Class != 1 || c.Tenant != 1 || c.Lanes != 2 ||
			c.Key != "abc" || string(c.Body) != "hi" || c.Wait != 1500*time.Millisecond || c.MemoryMB != 512 ||
			c.Work != 8200*time.Microsecond || c.LoadTime != 640*time.Millisecond || c.Repeat {
			t.Errorf("call %+v", c)
		}
		c.Reply.Served([]byte("done"))
		c.Reply.Refused(0, "") // a second answer is dropped
		world.Run()
		if got := peer.Take(); !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(got, "Content-Length: 4\r\n\r\ndone") {
			t.Errorf("answer %q", got)
		}
	}
}

func TestRefusalStatesRetryDelay(t *testing.T) {
	world, front, fake := newFront(t, 9)
	peer := dial(world, front)
	send(world, peer, callRequest)
	fake.calls[0].Reply.Refused(250*time.Millisecond, "no site is up")
	world.Run()
	if got := peer.Take(); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nSrv-Wait-Ms: 250\r\n") ||
		!strings.HasSuffix(got, "\r\nno site is up\n") {
		t.Errorf("answer %q", got)
	}
	send(world, peer, callRequest)
	fake.calls[1].Reply.Failed(core.TimedOut)
	world.Run()
	if got := peer.Take(); !strings.HasPrefix(got, "HTTP/1.1 504 ") {
		t.Errorf("answer %q", got)
	}
}

// What can't be read as a call is answered with a 4xx and never reaches a worker. If the bytes that follow can't be interpreted,
// the connection is closed.
func TestBadRequests(t *testing.T) {
	with := func(old, new string) string { return strings.Replace(callRequest, old, new, 1) }
	for text, want := range map[string]string{
		with("X-Class: command", "X-Class: nope"):                     "400",
		with("Req-Owner: b", "Req-Owner: c"):                          "400",
		with("9b1f03aa5c7e2d41", "9b1f"):                              "400",
		with("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4z"):                  "400",
		with("7f3a9c21e0b4d655", "7f3a"):                              "404",
		with("/do/", "/did/"):                                         "404",
		with("POST", "PUT"):                                           "405",
		with("1500", "soon"):                                          "400",
		with("1500", "NaN"):                                           "400",
		with("Req-Token: abc", "Req-Token: a,b"):                      "400",
		with("Req-Token: abc\r\n", ""):                                "400",
		with("Req-Token: abc", "Req-Token: abc\r\nReq-Token: d"):      "400",
		with("Host: ", "Ho\nst: "):                                    "400 closed",
		with("1500", "40001"):                                         "400",
		with("lanes:2", "lanes:0"):                                    "400",
		with("lanes:2", "lanes:1.5"):                                  "400",
		with("memory_mb:512", "memory_mb:1e300"):                      "400",
		with("load_ms:640", "load_ms"):                                "400",
		with("Req-Cost: 8.2", "Req-Cost: Inf"):                        "400",
		with("Req-Cost: 8.2", "Req-Retry: maybe"):                     "400",
		with("Host: ", "Transfer-Encoding: chunked\r\nHost: "):        "411 closed",
		with("8.2", "-1"):                                             "400",
		with("lanes:2", "lanes:x"):                                    "400",
		with("Length: 2", "Length: 16385"):                            "413 closed",
		with("Length: 2", "Length: -2"):                               "400 closed",
		with("Length: 2", "Length: 2\r\nContent-Length: 3"):           "400 closed",
		with("Content-Length: 2", "Transfer-Encoding: chunked"):       "411 closed",
		with("Host: ", "Host : "):                                     "400 closed",
		with("HTTP/1.1", "HTTP/3"):                                    "400 closed",
		"\x16\x03\x01\r\n\r\n":                                        "400 closed",
		"GET /check HTTP/1.1\r\n" + strings.Repeat("x", 9000):         "431 closed",
		"GET /check HTTP/1.1\r\n\r\n":                                 "200",
		"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n":            "200 closed",
		"GET /check HTTP/1.0\r\n\r\n":                                 "200 closed",
		"GET /check HTTP/1.0\r\nConnection: keep-alive\r\n\r\n":       "200",
		strings.Repeat("GET /check HTTP/1.1\r\n\r\n", 3) + "\r\n\r\n": "200",
	} {
		world, front, fake := newFront(t, 9)
		peer := dial(world, front)
		got := send(world, peer, text)
		world.Advance(lingerTimeout)
		status := strings.TrimPrefix(got, "HTTP/1.1 ")[:min(3, max(0, len(got)-9))]
		if peer.Ended {
			status += " closed"
		}
		if status != want || len(fake.calls) > 0 {
			t.Errorf("%.60q: %s, want %s; %d calls", text, status, want, len(fake.calls))
		}
	}
}

func TestCheckFailsBeforeServe(t *testing.T) {
	world := wiretest.New(t)
	front := New(world.Loop, wiretest.Site(), 9, 1<<20, world.Log())
	if got := send(world, dial(world, front), "GET /check HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("answer %q", got)
	}
}
