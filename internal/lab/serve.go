package lab

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// handle serves the commands on a connection from a gateway until it is closed or a line is malformed.
func (w *Worker) handle(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	var out sync.Mutex
	reply := func(format string, a ...any) {
		out.Lock()
		defer out.Unlock()
		c.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, format, a...)
	}
	for r := bufio.NewReader(c); ; {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		parts := strings.Fields(line)
		if len(parts) < 2 {
			return
		}
		switch parts[0] {
		case "CALL":
			if len(parts) != 4 {
				return
			}
			n, err := strconv.Atoi(parts[3])
			if err != nil || n < 0 || n > 64<<10 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			go w.serveCall(parts[1], parseFields(parts[2]), string(body[:n]), reply)
		case "LOAD":
			go w.serveLoad(parts[1], parseFields(parts[2]), reply)
		case "PING", "STATS":
			state := "UP"
			if w.drainingFor(0) {
				state = "DOWN"
			}
			reply("%s %s %s 0\r\n\r\n", parts[1], state, w.loadFields(""))
		}
	}
}

// parseFields parses comma-separated name=value pairs.
func parseFields(text string) map[string]string {
	values := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		values[name] = value
	}
	return values
}

// loadFields formats the fields of a reply: detail, which states how the call found its function and is left out if empty, and the
// worker's load.
func (w *Worker) loadFields(detail string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := 0
	for _, copies := range w.copies {
		waiting += copies.waiting
	}
	if detail != "" {
		detail = "detail=" + detail + ","
	}
	return fmt.Sprintf("%suse=queue:%d;inflight:%d;x1:%d;x0:%.2f", detail, waiting, w.inflight, w.loading, min(1, float64(w.loading)/8))
}

// admit checks a call or a load order at its arrival. It counts one that arrives after a drain's grace, and lets a cold worker collapse
// if its calls of the last collapseWindow exceed what it can take. ok is false if the worker doesn't answer at all.
func (w *Worker) admit(isCall bool) (ok bool, incarnation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.drainAnnouncedAt.IsZero() && now.Sub(w.drainAnnouncedAt) > drainGrace+50*time.Millisecond {
		w.lab.count(func(c *Counts) { c.LateSends++ })
		w.lab.Logf("%s gets a call or a load %v after its drain was announced", w.Name(), now.Sub(w.drainAnnouncedAt))
	}
	if age := now.Sub(w.startedAt); isCall && !w.startedAt.IsZero() && age < w.lab.ColdFor && !w.collapsed {
		w.recentSends = append(w.recentSends, now)
		for len(w.recentSends) > 0 && now.Sub(w.recentSends[0]) > collapseWindow {
			w.recentSends = w.recentSends[1:]
		}
		share := w.lab.ColdFrom + (1-w.lab.ColdFrom)*age.Seconds()/w.lab.ColdFor.Seconds()
		if float64(len(w.recentSends)) > collapseMultiple*share*w.lab.CallsPerSecond*collapseWindow.Seconds() {
			w.collapsed = true
			w.lab.count(func(c *Counts) { c.ColdCollapses++ })
		}
	}
	return !w.collapsed && !w.hung, w.incarnation
}

// copiesOf returns the copies of a function, and starts to load them if there are none. found is what a call finds: warm (loaded),
// joined (being loaded) or cold.
func (w *Worker) copiesOf(fn string) (copies *copySet, found string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if copies = w.copies[fn]; copies != nil {
		select {
		case <-copies.ready:
			return copies, "warm"
		default:
			return copies, "joined"
		}
	}
	copies = &copySet{ready: make(chan struct{}), lanes: make(chan struct{}, w.lab.Lanes)}
	w.copies[fn] = copies
	w.loading++
	incarnation := w.incarnation
	go func() {
		w.lab.store.fetch()
		w.lab.count(func(c *Counts) { c.Loads++ })
		w.mu.Lock()
		if w.incarnation == incarnation {
			w.loading--
		}
		copies.unloadTimer = time.AfterFunc(w.lab.KeepAlive, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.copies[fn] == copies && copies.waiting == 0 && len(copies.lanes) == 0 {
				delete(w.copies, fn)
			}
		})
		w.mu.Unlock()
		close(copies.ready)
	}()
	return copies, "cold"
}

// serveCall runs a call and replies to it, unless the worker has collapsed or lost its process since.
func (w *Worker) serveCall(id string, params map[string]string, body string, reply func(string, ...any)) {
	w.checkConfinement(params["path"], body)
	ok, incarnation := w.admit(true)
	if !ok {
		return
	}
	if w.drainingFor(drainAcceptTime) {
		w.lab.count(func(c *Counts) { c.Rejected++ })
		reply("%s BUSY %s 0\r\n\r\n", id, w.loadFields(""))
		return
	}
	copies, found := w.copiesOf(params["path"])
	w.mu.Lock()
	if copies.waiting >= maxQueue {
		w.mu.Unlock()
		reply("%s BUSY %s 0\r\n\r\n", id, w.loadFields(""))
		return
	}
	copies.waiting++
	w.inflight++
	w.mu.Unlock()
	<-copies.ready
	copies.lanes <- struct{}{}
	w.mu.Lock()
	copies.waiting--
	alive := w.incarnation == incarnation && !w.hung
	w.mu.Unlock()
	status := "VOID"
	if alive && w.lab.recordRun(w.Hall, params["uniq"], body) {
		status = "OK"
		time.Sleep(w.lab.exp(w.lab.WorkTime)) // the stub's work
	}
	<-copies.lanes
	w.mu.Lock()
	if alive = alive && w.incarnation == incarnation && !w.hung; alive {
		w.inflight--
		copies.unloadTimer.Reset(w.lab.KeepAlive)
	}
	w.mu.Unlock()
	if alive {
		answer := "ran " + body
		reply("%s %s %s %d\r\n%s\r\n", id, status, w.loadFields(found), len(answer), answer)
	}
}

// serveLoad loads a function and replies once it is loaded.
func (w *Worker) serveLoad(tag string, params map[string]string, reply func(string, ...any)) {
	w.checkConfinement(params["path"], "")
	if ok, _ := w.admit(false); !ok {
		return
	}
	copies, _ := w.copiesOf(params["path"])
	<-copies.ready
	reply("%s OK pods=1 0\r\n\r\n", tag)
}

// recordRun counts the execution of a request and returns true. For a key that was executed in this hall within keyWindow it returns
// false: the request must not be executed.
func (l *Lab) recordRun(hall int, key, body string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		hallKey := fmt.Sprint(hall, " ", key)
		if last, ok := l.lastRunByKey[hallKey]; ok && time.Since(last) < keyWindow {
			l.counts.DroppedRepeats++
			return false
		}
		l.lastRunByKey[hallKey] = time.Now()
	}
	l.counts.Runs++
	l.hallByRequest[body] = hall
	if l.runsByRequest[body]++; l.runsByRequest[body] > 1 && body != "" && body[0] != 'r' {
		l.counts.RanTwice++
	}
	return true
}
