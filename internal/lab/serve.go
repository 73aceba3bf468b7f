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
	say := func(format string, a ...any) {
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
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "CALL":
			if len(words) != 4 {
				return
			}
			n, err := strconv.Atoi(words[3])
			if err != nil || n < 0 || n > 64<<10 {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(r, body); err != nil {
				return
			}
			go w.call(words[1], fields(words[2]), string(body[:n]), say)
		case "LOAD":
			go w.order(words[1], fields(words[2]), say)
		case "PING", "STATS":
			word := "UP"
			if w.draining(0) {
				word = "DOWN"
			}
			say("%s %s %s 0\r\n\r\n", words[1], word, w.use(""))
		}
	}
}

func fields(text string) map[string]string {
	m := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		m[name] = value
	}
	return m
}

// use is the fields of an answer: how the call found its function, and the worker's load.
func (w *Worker) use(detail string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := 0
	for _, i := range w.copies {
		waiting += i.waiting
	}
	if detail != "" {
		detail = "detail=" + detail + ","
	}
	return fmt.Sprintf("%suse=queue:%d;inflight:%d;x1:%d;x0:%.2f", detail, waiting, w.inflight, w.loading, min(1, float64(w.loading)/8))
}

// take judges a call or an order as it comes: whether it may come at all, and whether the worker bears it.
func (w *Worker) take(call bool) (ok bool, life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if !w.drained.IsZero() && now.Sub(w.drained) > drainGrace+50*time.Millisecond {
		w.lab.count(func(c *Counts) { c.LateSends++ })
		w.lab.Logf("%s gets something %v after it was told that nothing comes", w.Name(), now.Sub(w.drained))
	}
	if age := now.Sub(w.started); call && !w.started.IsZero() && age < w.lab.ColdFor && !w.fallen {
		w.sends = append(w.sends, now)
		for len(w.sends) > 0 && now.Sub(w.sends[0]) > fallFor {
			w.sends = w.sends[1:]
		}
		share := w.lab.ColdFrom + (1-w.lab.ColdFrom)*age.Seconds()/w.lab.ColdFor.Seconds()
		if float64(len(w.sends)) > fallMultiple*share*w.lab.PerSecond*fallFor.Seconds() {
			w.fallen = true
			w.lab.count(func(c *Counts) { c.Fell++ })
		}
	}
	return !w.fallen && !w.hung, w.life
}

// copyOf returns the copies of a function, and has the first loaded; how says what a call finds.
func (w *Worker) copyOf(fn string) (i *instance, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if i = w.copies[fn]; i != nil {
		select {
		case <-i.ready:
			return i, "warm"
		default:
			return i, "joined"
		}
	}
	i = &instance{ready: make(chan struct{}), lanes: make(chan struct{}, w.lab.Lanes)}
	w.copies[fn] = i
	w.loading++
	life := w.life
	go func() {
		w.lab.store.fetch()
		w.lab.count(func(c *Counts) { c.Loads++ })
		w.mu.Lock()
		if w.life == life {
			w.loading--
		}
		i.idle = time.AfterFunc(w.lab.KeepAlive, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.copies[fn] == i && i.waiting == 0 && len(i.lanes) == 0 {
				delete(w.copies, fn)
			}
		})
		w.mu.Unlock()
		close(i.ready)
	}()
	return i, "cold"
}

func (w *Worker) call(id string, f map[string]string, body string, say func(string, ...any)) {
	w.inside(f["path"], body)
	ok, life := w.take(true)
	if !ok {
		return
	}
	if w.draining(acceptsFor) {
		w.lab.count(func(c *Counts) { c.TurnedAway++ })
		say("%s BUSY %s 0\r\n\r\n", id, w.use(""))
		return
	}
	i, how := w.copyOf(f["path"])
	w.mu.Lock()
	if i.waiting >= queueEach {
		w.mu.Unlock()
		say("%s BUSY %s 0\r\n\r\n", id, w.use(""))
		return
	}
	i.waiting++
	w.inflight++
	w.mu.Unlock()
	<-i.ready
	i.lanes <- struct{}{}
	w.mu.Lock()
	i.waiting--
	alive := w.life == life && !w.hung
	w.mu.Unlock()
	word := "VOID"
	if alive && w.lab.run(w.Hall, f["uniq"], body) {
		word = "OK"
		time.Sleep(w.lab.exp(w.lab.Work)) // the stand-in's work is to take time
	}
	<-i.lanes
	w.mu.Lock()
	if alive = alive && w.life == life && !w.hung; alive {
		w.inflight--
		i.idle.Reset(w.lab.KeepAlive)
	}
	w.mu.Unlock()
	if alive {
		answer := "ran " + body
		say("%s %s %s %d\r\n%s\r\n", id, word, w.use(how), len(answer), answer)
	}
}

func (w *Worker) order(tag string, f map[string]string, say func(string, ...any)) {
	w.inside(f["path"], "")
	if ok, _ := w.take(false); !ok {
		return
	}
	i, _ := w.copyOf(f["path"])
	<-i.ready
	say("%s OK pods=1 0\r\n\r\n", tag)
}

// run counts the execution of a request, unless it is the repeat of a key that ran in this hall of late.
func (l *Lab) run(hall int, key, body string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if key != "" {
		at := fmt.Sprint(hall, " ", key)
		if last, ok := l.keyed[at]; ok && time.Since(last) < keyWindow {
			l.counts.Dropped++
			return false
		}
		l.keyed[at] = time.Now()
	}
	l.counts.Runs++
	l.ranAt[body] = hall
	if l.runs[body]++; l.runs[body] > 1 && body != "" && body[0] != 'r' {
		l.counts.Twice++
	}
	return true
}
