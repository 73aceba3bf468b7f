package httpfront

import (
	"strings"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

const head = "POST /do/7f3a9c21e0b4d655/call HTTP/1.1\r\nHost: backend.local\r\nX-Class: command\r\n" +
	"Req-Id: 9b1f03aa5c7e2d41\r\nReq-Wait-Ms: 1500\r\nReq-Owner: b\r\nReq-Token: abc\r\nReq-Cost: 8.2\r\n" +
	"X-Tags: memory_mb:512;lanes:2;load_ms:640\r\n"
const post = head + "Content-Length: 2\r\n\r\nhi"

// taker is a core that keeps what it is given.
type taker struct {
	calls []core.Call
	gone  []core.Ref
	count []string
}

func (t *taker) Count(_ int, answer string) { t.count = append(t.count, answer) }

func (t *taker) Submit(c core.Call) core.Ref {
	t.calls = append(t.calls, c)
	return core.Ref(len(t.calls))
}
func (t *taker) ClientGone(r core.Ref) { t.gone = append(t.gone, r) }

// dial opens a client's connection to a front.
func dial(w *wiretest.World, f *Front) *wiretest.Peer {
	p := &wiretest.Peer{}
	p.Conn, _ = w.Pair(p, func(c *wiretest.Conn) sock.Handler { return f.Accept(c) })
	w.Run()
	return p
}

func newFront(t testing.TB, limit int) (*wiretest.World, *Front, *taker) {
	w, k := wiretest.New(t), &taker{}
	f := New(w.Loop, wiretest.Site(), limit, 1<<20, w.Log())
	f.Serve(k)
	return w, f, k
}

func say(w *wiretest.World, p *wiretest.Peer, text string) string {
	p.Write([]byte(text))
	w.Run()
	return p.Take()
}

func TestCallIsReadAndAnswered(t *testing.T) {
	w, f, k := newFront(t, 9)
	for _, w.Chunk = range []int{0, 1, 7} {
		k.calls = nil
		p := dial(w, f)
		say(w, p, post)
		if len(k.calls) != 1 {
			t.Fatalf("chunks of %d: %d calls", w.Chunk, len(k.calls))
		}
		c := k.calls[0]
		if c.Function != "7f3a9c21e0b4d655" || c.ID != "9b1f03aa5c7e2d41" || c.Class != 1 || c.Tenant != 1 || c.Lanes != 2 ||
			c.Key != "abc" || string(c.Body) != "hi" || c.Wait != 1500*time.Millisecond || c.MemoryMB != 512 ||
			c.Work != 8200*time.Microsecond || c.LoadTime != 640*time.Millisecond || c.Repeat {
			t.Errorf("call %+v", c)
		}
		c.Reply.Served([]byte("done"))
		c.Reply.Refused(0, "") // a second answer is dropped
		w.Run()
		if got := p.Take(); !strings.HasPrefix(got, "HTTP/1.1 200 OK\r\n") || !strings.HasSuffix(got, "Content-Length: 4\r\n\r\ndone") {
			t.Errorf("answer %q", got)
		}
	}
}

func TestRefusalTellsWhenToComeBack(t *testing.T) {
	w, f, k := newFront(t, 9)
	p := dial(w, f)
	say(w, p, post)
	k.calls[0].Reply.Refused(250*time.Millisecond, "no site is up")
	w.Run()
	if got := p.Take(); !strings.HasPrefix(got, "HTTP/1.1 503 ") || !strings.Contains(got, "\r\nSrv-Wait-Ms: 250\r\n") || !strings.HasSuffix(got, "\r\nno site is up\n") {
		t.Errorf("answer %q", got)
	}
	say(w, p, post)
	k.calls[1].Reply.Failed(core.TimedOut)
	w.Run()
	if got := p.Take(); !strings.HasPrefix(got, "HTTP/1.1 504 ") {
		t.Errorf("answer %q", got)
	}
}

// Whatever can't be a call is answered with a 4xx and never gets to a worker; where the bytes that follow can't be
// made sense of, the connection is closed.
func TestBadRequests(t *testing.T) {
	swap := func(old, new string) string { return strings.Replace(post, old, new, 1) }
	for text, want := range map[string]string{
		swap("X-Class: command", "X-Class: nope"):                     "400",
		swap("Req-Owner: b", "Req-Owner: c"):                          "400",
		swap("9b1f03aa5c7e2d41", "9b1f"):                              "400",
		swap("9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4z"):                  "400",
		swap("7f3a9c21e0b4d655", "7f3a"):                              "404",
		swap("/do/", "/did/"):                                         "404",
		swap("POST", "PUT"):                                           "405",
		swap("1500", "soon"):                                          "400",
		swap("1500", "NaN"):                                           "400",
		swap("Req-Token: abc", "Req-Token: a,b"):                      "400",
		swap("Req-Token: abc\r\n", ""):                                "400",
		swap("Req-Token: abc", "Req-Token: abc\r\nReq-Token: d"):      "400",
		swap("Host: ", "Ho\nst: "):                                    "400 closed",
		swap("1500", "40001"):                                         "400",
		swap("lanes:2", "lanes:0"):                                    "400",
		swap("lanes:2", "lanes:1.5"):                                  "400",
		swap("memory_mb:512", "memory_mb:1e300"):                      "400",
		swap("load_ms:640", "load_ms"):                                "400",
		swap("Req-Cost: 8.2", "Req-Cost: Inf"):                        "400",
		swap("Req-Cost: 8.2", "Req-Retry: maybe"):                     "400",
		swap("Host: ", "Transfer-Encoding: chunked\r\nHost: "):        "411 closed",
		swap("8.2", "-1"):                                             "400",
		swap("lanes:2", "lanes:x"):                                    "400",
		swap("Length: 2", "Length: 16385"):                            "413 closed",
		swap("Length: 2", "Length: -2"):                               "400 closed",
		swap("Length: 2", "Length: 2\r\nContent-Length: 3"):           "400 closed",
		swap("Content-Length: 2", "Transfer-Encoding: chunked"):       "411 closed",
		swap("Host: ", "Host : "):                                     "400 closed",
		swap("HTTP/1.1", "HTTP/3"):                                    "400 closed",
		"\x16\x03\x01\r\n\r\n":                                        "400 closed",
		"GET /check HTTP/1.1\r\n" + strings.Repeat("x", 9000):         "431 closed",
		"GET /check HTTP/1.1\r\n\r\n":                                 "200",
		"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n":            "200 closed",
		"GET /check HTTP/1.0\r\n\r\n":                                 "200 closed",
		"GET /check HTTP/1.0\r\nConnection: keep-alive\r\n\r\n":       "200",
		strings.Repeat("GET /check HTTP/1.1\r\n\r\n", 3) + "\r\n\r\n": "200",
	} {
		w, f, k := newFront(t, 9)
		p := dial(w, f)
		got := say(w, p, text)
		w.Pass(lingerLimit)
		status := strings.TrimPrefix(got, "HTTP/1.1 ")[:min(3, max(0, len(got)-9))]
		if p.Over {
			status += " closed"
		}
		if status != want || len(k.calls) > 0 {
			t.Errorf("%.60q: %s, want %s; %d calls", text, status, want, len(k.calls))
		}
	}
}

func TestNotReadyYet(t *testing.T) {
	w := wiretest.New(t)
	f := New(w.Loop, wiretest.Site(), 9, 1<<20, w.Log())
	if got := say(w, dial(w, f), "GET /check HTTP/1.1\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("answer %q", got)
	}
}
