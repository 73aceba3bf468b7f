package lab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Load says what clients ask for. They do not wait for answers before they go on.
type Load struct {
	Rate      float64       // requests a second over the whole fleet
	Functions int           // of which the first are called most
	Wait      time.Duration // how long a client waits for one try
	Unsafe    float64       // part of the requests that must not run twice
	Keyed     float64       // part that carries a key
	Tries     int           // of a request at most; again only where it was refused or nobody was there to take it
}

// Traffic is clients at work.
type Traffic struct {
	lab  *Lab
	load Load
	stop chan struct{}
	wg   sync.WaitGroup
	http *http.Client

	mu      sync.Mutex
	totals  Totals
	latency *hdrhistogram.Histogram // microseconds, from the intended start to a served answer
	late    *hdrhistogram.Histogram // microseconds that clients began after they meant to
	waits   []waiter
	marks   []Mark
	begun   time.Time
	bins    [][3]bin // of 0.1 s by when requests were due, by class
	faults  []string // what clients met instead of an answer, the first few
}

// bin counts the requests of a class that were due in a tenth of a second.
type bin struct{ due, served int }

var worths = [3]float64{1, 3, 5} // of the classes read, command, once, as the gateways are told

type waiter struct {
	served int
	done   chan struct{}
}

// Mark is what has become of requests by a moment.
type Mark struct {
	At time.Duration // since the traffic began
	Totals
}

// Totals count requests, by how their last try ended.
type Totals struct {
	Calls      int // requests that have ended
	Served     int
	Refused    int // the last try too
	Failed     int
	Unanswered int // the connection ended without a whole answer, or the client's time did
	Unreached  int // nobody took it, at any try
	Wrong      int // served with a body that no worker gave for this request
}

// Start has clients call until the traffic is ended.
func (l *Lab) Start(o Load) *Traffic {
	t := &Traffic{lab: l, load: o, stop: make(chan struct{}),
		http:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		latency: hdrhistogram.New(1, 60_000_000, 3), late: hdrhistogram.New(1, 60_000_000, 3)}
	t.begun = time.Now()
	t.wg.Add(1)
	go t.pace(rand.New(rand.NewPCG(l.Seed, 2)), t.begun)
	return t
}

// pace begins a request whenever one is due, however late it comes to it.
func (t *Traffic) pace(rng *rand.Rand, begun time.Time) {
	defer t.wg.Done()
	due := begun
	mark := begun
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / t.load.Rate * float64(time.Second)))
		select {
		case <-t.stop:
			return
		case <-time.After(time.Until(due)):
		}
		if time.Since(mark) > 100*time.Millisecond {
			mark = time.Now()
			t.mu.Lock()
			t.marks = append(t.marks, Mark{mark.Sub(begun), t.totals})
			t.mu.Unlock()
		}
		kind := byte('r')
		if x := rng.Float64(); x < t.load.Unsafe {
			kind = 'o'
		} else if x < t.load.Unsafe+t.load.Keyed {
			kind = 'c'
		}
		fn := int(min(rng.ExpFloat64()/4, 0.999) * float64(t.load.Functions))
		t.wg.Add(1)
		go t.request(n, kind, fn, rng.IntN(len(t.lab.Gateways)), due)
	}
}

// request is one client's request with its tries, the first at its own gateway and the others at the next ones.
func (t *Traffic) request(n int, kind byte, fn, at int, due time.Time) {
	defer t.wg.Done()
	lag := time.Since(due)
	body := fmt.Sprintf("%c%08d", kind, n)
	end := "unreached"
	for try := 0; try < max(1, t.load.Tries); try++ {
		if end = t.try(n, try, fn, body, t.lab.Gateways[(at+try)%len(t.lab.Gateways)]); end != "refused" && end != "unreached" {
			break
		}
	}
	took := time.Since(due)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.late.RecordValue(max(1, lag.Microseconds()))
	s := &t.totals
	s.Calls++
	b := t.bin(due, body[0])
	b.due++
	if end == "served" {
		b.served++
	}
	switch end {
	case "served":
		s.Served++
		t.latency.RecordValue(max(1, took.Microseconds()))
	case "wrong":
		s.Wrong++
	case "refused":
		s.Refused++
	case "failed":
		s.Failed++
	case "unreached":
		s.Unreached++
	default:
		s.Unanswered++
	}
	for i := 0; i < len(t.waits); i++ {
		if w := t.waits[i]; s.Served >= w.served {
			close(w.done)
			t.waits = append(t.waits[:i], t.waits[i+1:]...)
			i--
		}
	}
}

func (t *Traffic) try(n, try, fn int, body string, g *Gateway) string {
	req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/do/%016x/call", g.Addr, fn+1), strings.NewReader(body))
	if err != nil {
		return "unreached"
	}
	for name, value := range map[string]string{"X-Class": classes[body[0]], "Req-Owner": "demo", "Req-Id": fmt.Sprintf("%08x%08x", try, n),
		"Req-Wait-Ms": fmt.Sprint(t.load.Wait.Milliseconds()), "Req-Cost": fmt.Sprint(t.lab.Work.Milliseconds()),
		"X-Tags": fmt.Sprintf("memory_mb:100;lanes:%d;load_ms:%d", t.lab.Lanes, t.lab.Options.Load.Milliseconds())} {
		req.Header.Set(name, value)
	}
	if body[0] == 'c' {
		req.Header.Set("Req-Token", body)
	}
	client := *t.http
	client.Timeout = t.load.Wait + time.Second
	resp, err := client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return "unreached"
		}
		t.mu.Lock()
		if len(t.faults) < 20 {
			t.faults = append(t.faults, fmt.Sprintf("%s by %s: %v", body, g.Name, err))
		}
		t.mu.Unlock()
		return "unanswered"
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	switch {
	case err != nil:
		return "unanswered"
	case resp.StatusCode == 200 && string(got) != "ran "+body:
		return "wrong"
	case resp.StatusCode == 200:
		return "served"
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		return "refused"
	}
	return "failed"
}

func (t *Traffic) bin(due time.Time, class byte) *bin {
	i := int(due.Sub(t.begun) / binLength)
	for len(t.bins) <= i {
		t.bins = append(t.bins, [3]bin{})
	}
	return &t.bins[i][strings.IndexByte("rco", class)]
}

const binLength = 100 * time.Millisecond

// Worth is the part of the worth that was asked for from a moment on, for so long, that was served. class is 0 to 2, or
// below 0 for all of them; 1 where nothing was asked for.
func (t *Traffic) Worth(from time.Time, long time.Duration, class int) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due, served float64
	first := int(from.Sub(t.begun) / binLength)
	for i := max(0, first); i < min(len(t.bins), first+int(long/binLength)); i++ {
		for k, b := range t.bins[i] {
			if class < 0 || class == k {
				due, served = due+worths[k]*float64(b.due), served+worths[k]*float64(b.served)
			}
		}
	}
	if due == 0 {
		return 1
	}
	return served / due
}

// Until is how long after back it was until, for the second that follows, so much of the former part of the worth was
// served; limit if it never was by then.
func (t *Traffic) Until(back time.Time, former, part float64, class int, limit time.Duration) time.Duration {
	for d := time.Duration(0); d < limit; d += binLength {
		if t.Worth(back.Add(d), time.Second, class) >= part*former {
			return d
		}
	}
	return limit
}

// Faults are the first few things that clients met instead of an answer.
func (t *Traffic) Faults() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// Served waits until so many more requests have been served, at most for limit; false if they were not.
func (t *Traffic) Served(more int, limit time.Duration) bool {
	t.mu.Lock()
	w := waiter{t.totals.Served + more, make(chan struct{})}
	t.waits = append(t.waits, w)
	t.mu.Unlock()
	select {
	case <-w.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Totals returns the counts so far.
func (t *Traffic) Totals() Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totals
}

// End has no more requests begin, waits for those that are out, and returns the counts.
func (t *Traffic) End() Totals {
	close(t.stop)
	t.wg.Wait()
	return t.Totals()
}

// Latency returns a percentile of the served requests' latency, from when each was meant to begin, and Lateness one of
// how much later than meant the clients began.
func (t *Traffic) Latency(percent float64) time.Duration  { return t.quantile(t.latency, percent) }
func (t *Traffic) Lateness(percent float64) time.Duration { return t.quantile(t.late, percent) }

func (t *Traffic) quantile(h *hdrhistogram.Histogram, percent float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
}

// Marks returns the counts as they stood about every 0.1 s.
func (t *Traffic) Marks() []Mark {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.marks
}

// Figures is the line that ends a test with several processes.
func (l *Lab) Figures(t Totals) string {
	c := l.Counts()
	return fmt.Sprintf("figures: gateways=%d workers=%d kills=%d calls=%d served=%d refused=%d failed=%d unanswered=%d unreached=%d "+
		"wrong=%d twice=%d dropped=%d late_sends=%d fell=%d loads=%d store_pushed=%d", len(l.Gateways), len(l.Workers), c.Kills, t.Calls, t.Served,
		t.Refused, t.Failed, t.Unanswered, t.Unreached, t.Wrong, c.Twice, c.Dropped, c.LateSends, c.Fell, c.Loads, c.Pushed)
}

// Broken names the rules that the stand-ins saw broken, "" if none was.
func (l *Lab) Broken(t Totals) string {
	c, text := l.Counts(), ""
	for name, n := range map[string]int{"served with a wrong body": t.Wrong, "ran twice": c.Twice, "sent to a draining worker": c.LateSends,
		"cold worker pushed over": c.Fell, "store pushed over": c.Pushed} {
		if n > 0 {
			text += fmt.Sprintf("%s: %d; ", name, n)
		}
	}
	return text
}
