package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func checkReady(addr string) bool { return checkStatus(addr) == 200 }

// checkStatus asks a gateway on a new connection whether it is ready, and returns the status of the answer, 0 for none.
func checkStatus(addr string) int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + addr + "/check")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// load sends calls to gateways at a steady rate.
type load struct {
	r         *rig
	addrs     []string
	perSecond float64 // over all gateways
	classes   []string
	keyed     map[string]bool
	tenants   []string
	functions int
	wait      map[string]time.Duration

	mu       sync.Mutex
	sent     int
	outcomes map[string]int
	stop     chan struct{}
	wg       sync.WaitGroup
}

func (l *load) begin() {
	l.outcomes, l.stop = map[string]int{}, make(chan struct{})
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 4 * time.Second, Dial: (&net.Dialer{Timeout: time.Second}).Dial}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		tick := time.NewTicker(time.Duration(float64(time.Second) / l.perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.stop:
				return
			case <-tick.C:
				l.wg.Add(1)
				go l.call(transport, n)
			}
		}
	}()
}

func (l *load) call(transport *http.Transport, n int) {
	defer l.wg.Done()
	class, fn := l.classes[rand.IntN(len(l.classes))], rand.IntN(l.functions)
	// A function belongs to one class.
	id, wait := fmt.Sprintf("%016x", rand.Uint64()), l.wait[class]
	body := fmt.Sprintf("%s %d", class, n)
	function := 0
	for i, c := range l.classes {
		if c == class {
			function = i*1000 + fn + 1
		}
	}
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s/do/%016x/call", l.addrs[n%len(l.addrs)], function), strings.NewReader(body))
	req.Header.Set("X-Class", class)
	req.Header.Set("Req-Id", id)
	req.Header.Set("Req-Wait-Ms", fmt.Sprint(wait.Milliseconds()))
	req.Header.Set("Req-Owner", l.tenants[n%len(l.tenants)])
	req.Header.Set("Req-Cost", "50")
	req.Header.Set("X-Tags", "memory_mb:3000;lanes:4;load_ms:1200")
	if l.keyed[class] {
		req.Header.Set("Req-Token", fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64()))
	}
	client := http.Client{Transport: transport, Timeout: wait + 500*time.Millisecond}
	outcome := ""
	resp, err := client.Do(req)
	if err == nil {
		var got []byte
		got, err = io.ReadAll(resp.Body)
		resp.Body.Close()
		switch {
		case err != nil:
		case resp.StatusCode == 200 && string(got) == "ran "+body:
			outcome = "served"
		case resp.StatusCode == 200:
			outcome = "wrong"
		case resp.StatusCode == 503 || resp.StatusCode == 429:
			outcome = "refused"
		default:
			outcome = "failed"
		}
	}
	if err != nil {
		outcome = "unanswered"
	}
	if outcome != "served" {
		l.r.logf("call %s %s to %s: %s %v", id, class, l.addrs[n%len(l.addrs)], outcome, err)
	}
	l.mu.Lock()
	l.sent++
	l.outcomes[outcome]++
	l.mu.Unlock()
}

func (l *load) end() string {
	close(l.stop)
	l.wg.Wait()
	return fmt.Sprintf("%d calls: %v", l.sent, l.outcomes)
}

func rigaLoad(r *rig, perSecond float64, addrs ...string) *load {
	return &load{r: r, addrs: addrs, perSecond: perSecond, classes: []string{"status-read", "remote-command"},
		keyed: map[string]bool{"remote-command": true}, tenants: []string{"daugava-lifts", "kurzeme-service", "vidzeme-kapnes"}, functions: 4,
		wait: map[string]time.Duration{"status-read": 4 * time.Second, "remote-command": 3 * time.Second}}
}

func larderLoad(r *rig, perSecond float64, addrs ...string) *load {
	return &load{r: r, addrs: addrs, perSecond: perSecond, classes: []string{"swap-suggest", "slot-hold", "order-confirm"},
		keyed: map[string]bool{"slot-hold": true}, tenants: []string{"glenmuir-foods", "kinbrae-grocers", "ardlow-larder"}, functions: 4,
		wait: map[string]time.Duration{"swap-suggest": 4 * time.Second, "slot-hold": 3 * time.Second, "order-confirm": 5 * time.Second}}
}
