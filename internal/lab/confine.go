package lab

import (
	"strconv"
	"strings"
	"time"
)

// apart is where the numbers of functions begin that only commands call, where Load.Apart is set.
const apart = 1000

// confined are the halls where alone commands and their functions may be, from a moment on.
type confined struct {
	halls map[int]bool
	since time.Time
}

const confineGrace = 200 * time.Millisecond // for what was on its way

// Confine has the stand-ins count every command, and every load of a function that only commands call, outside of halls.
// Halls count from 0; none ends it.
func (l *Lab) Confine(halls ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confined = nil
	if len(halls) > 0 {
		l.confined = &confined{map[int]bool{}, time.Now()}
		for _, h := range halls {
			l.confined.halls[h] = true
		}
	}
}

// inside counts what comes to a worker that has no business there. l.mu is not held.
func (w *Worker) inside(path, body string) {
	l := w.lab
	n, err := strconv.ParseUint(path, 16, 64)
	if !strings.HasPrefix(body, "c") && (err != nil || n <= apart) {
		return
	}
	l.mu.Lock()
	c := l.confined
	bad := c != nil && !c.halls[w.Hall] && time.Since(c.since) > confineGrace
	if bad {
		l.counts.Outside++
	}
	l.mu.Unlock()
	if bad {
		l.Logf("%s in hall %d gets %q for %s, which may not be there", w.Name(), w.Hall+1, body, path)
	}
}

// session notes where a call of a session was served, in which epoch as its client was told: two halls in one are a session
// that was split.
func (l *Lab) session(fn int, epoch, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hall, ok := l.ranAt[body]
	if !ok || epoch == "" {
		return
	}
	key := epoch + " " + strconv.Itoa(fn)
	if at, known := l.sessions[key]; known && at != hall {
		l.counts.Split++
	}
	l.sessions[key] = hall
}

// Sessions are the halls of the sessions by epoch and function, as far as they were seen.
func (l *Lab) Sessions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for k, v := range l.sessions {
		out[k] = v
	}
	return out
}
