package lab

import (
	"strconv"
	"strings"
	"time"
)

// commandFunctionBase is added to the numbers of functions that only calls of class command use, if Load.SeparateCommands is set.
const commandFunctionBase = 1000

// confinement is the set of halls that calls of class command and their functions may use, and the time from which that holds.
type confinement struct {
	halls map[int]bool
	since time.Time
}

// confineGrace is how long after the start of a confinement calls that were already on their way may still arrive elsewhere.
const confineGrace = 200 * time.Millisecond

// Confine makes the workers outside of the given halls count every call of class command, and every load of a function that only
// such calls use. Halls count from 0; a call without halls ends the confinement.
func (l *Lab) Confine(halls ...int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.confinement = nil
	if len(halls) > 0 {
		l.confinement = &confinement{map[int]bool{}, time.Now()}
		for _, hall := range halls {
			l.confinement.halls[hall] = true
		}
	}
}

// checkConfinement counts a call or a load that the confinement doesn't allow at this worker. It locks l.mu.
func (w *Worker) checkConfinement(path, body string) {
	l := w.lab
	n, err := strconv.ParseUint(path, 16, 64)
	if !strings.HasPrefix(body, "c") && (err != nil || n <= commandFunctionBase) {
		return
	}
	l.mu.Lock()
	c := l.confinement
	violated := c != nil && !c.halls[w.Hall] && time.Since(c.since) > confineGrace
	if violated {
		l.counts.OutsideHalls++
	}
	l.mu.Unlock()
	if violated {
		l.Logf("%s in hall %d, which is outside of the confinement, received call %q of function %s", w.Name(), w.Hall+1, body, path)
	}
}

// recordSession stores the hall in which a call of a session was served. The session is identified by its function and by the
// epoch that the client received; it counts as split if two halls have served it in one epoch.
func (l *Lab) recordSession(fn int, epoch, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hall, ok := l.hallByRequest[body]
	if !ok || epoch == "" {
		return
	}
	key := epoch + " " + strconv.Itoa(fn)
	if lastHall, known := l.hallBySession[key]; known && lastHall != hall {
		l.counts.SplitSessions++
	}
	l.hallBySession[key] = hall
}

// Sessions returns the hall that last served each session; the keys consist of the epoch and the function's number.
func (l *Lab) Sessions() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]int{}
	for k, v := range l.hallBySession {
		out[k] = v
	}
	return out
}
