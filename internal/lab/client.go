package lab

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// maxErrorSamples is how many errors of unanswered requests are stored for the report of a failed test.
const maxErrorSamples = 20

// request sends request number n for a client: the first try goes to firstGateway, each further one to the next gateway.
// due is when the request should have begun.
func (t *Traffic) request(n int, class byte, fn, firstGateway int, due time.Time) {
	defer t.wg.Done()
	lag := time.Since(due)
	body := fmt.Sprintf("%c%08d", class, n)
	outcome := "unreached"
	for try := 0; try < max(1, t.load.Tries); try++ {
		g := t.lab.Gateways[(firstGateway+try)%len(t.lab.Gateways)]
		if !g.inRotation() {
			continue
		}
		if outcome = t.try(t.http, n, try, fn, body, g); outcome != "refused" && outcome != "unreached" {
			break
		}
	}
	t.recordEnd(body, outcome, due, lag)
}

// recordEnd counts a request by the outcome of its last try. lag is how much later than due the client sent it.
func (t *Traffic) recordEnd(body, outcome string, due time.Time, lag time.Duration) {
	took := time.Since(due)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateness.RecordValue(max(1, lag.Microseconds()))
	if lastError := t.lastErrors[body]; outcome == "unanswered" && len(t.errorSamples) < maxErrorSamples {
		t.errorSamples = append(t.errorSamples, lastError)
	}
	delete(t.lastErrors, body)
	totals := &t.totals
	totals.Calls++
	b := t.bin(due, body[0])
	b.due++
	if outcome == "served" {
		b.served++
	}
	switch outcome {
	case "served":
		totals.Served++
		t.latency.RecordValue(max(1, took.Microseconds()))
	case "wrong":
		totals.Wrong++
	case "refused":
		totals.Refused++
	case "failed":
		totals.Failed++
	case "lost in flight":
		totals.LostInFlight++
	case "unreached":
		totals.Unreached++
	default:
		totals.Unanswered++
	}
	for i := 0; i < len(t.waiters); i++ {
		if w := t.waiters[i]; totals.Served >= w.served {
			close(w.done)
			t.waiters = append(t.waiters[:i], t.waiters[i+1:]...)
			i--
		}
	}
}

// try sends a request to a gateway and returns the outcome. An unanswered request whose gateway was killed or paused in the
// meantime is lost in flight.
func (t *Traffic) try(httpClient *http.Client, n, try, fn int, body string, g *Gateway) string {
	begun := time.Now()
	outcome := t.call(httpClient, g.Addr, n, try, fn, body)
	if outcome == "unanswered" && (g.downSince.Load() != 0 || g.interruptedAt.Load() > begun.UnixNano()) {
		return "lost in flight"
	}
	return outcome
}

// call sends a request to an address and returns the outcome.
func (t *Traffic) call(httpClient *http.Client, addr string, n, try, fn int, body string) string {
	req, err := http.NewRequest("POST", fmt.Sprintf("http://%s/do/%016x/call", addr, fn+1), strings.NewReader(body))
	if err != nil {
		return "unreached"
	}
	for name, value := range map[string]string{"X-Class": classes[body[0]], "Req-Owner": "demo", "Req-Id": fmt.Sprintf("%08x%08x", try, n),
		"Req-Wait-Ms": fmt.Sprint(t.load.Wait.Milliseconds()), "Req-Cost": fmt.Sprint(t.lab.WorkTime.Milliseconds()),
		"X-Tags": fmt.Sprintf("memory_mb:100;lanes:%d;load_ms:%d", t.lab.Lanes, t.lab.Options.LoadTime.Milliseconds())} {
		req.Header.Set(name, value)
	}
	if body[0] == 'c' {
		req.Header.Set("Req-Token", body)
	}
	begun := time.Now()
	client := *httpClient
	client.Timeout = t.load.Wait + time.Second
	resp, err := client.Do(req)
	if err != nil {
		if strings.Contains(err.Error(), "connection refused") {
			return "unreached"
		}
		t.mu.Lock()
		t.lastErrors[body] = fmt.Sprintf("%7.3fs request %s to %s failed %v after its start: %v", time.Since(t.lab.startedAt).Seconds(),
			body, addr, time.Since(begun), err)
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
		t.lab.recordSession(fn, resp.Header.Get("Srv-Epoch"), body)
		return "served"
	case resp.StatusCode == 503 || resp.StatusCode == 429:
		return "refused"
	}
	return "failed"
}
