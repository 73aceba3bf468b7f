package core

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/roster"
)

// Counts are the requests of one class that have ended, by their answer. A request whose client had gone is in none.
type Counts struct{ OK, Shed, Errors uint64 }

// Figures are what a gateway counts. The counters start at 0 with the process; the rest is read from the tables.
type Figures struct {
	Classes     []Counts // in the order of the settings
	Tries       uint64   // attempts written whole to workers
	Active      int      // requests taken and not yet ended
	PoolSize    int      // workers in the list
	PoolEjected int      // of these, left out by hand or by the module
}

// Figures returns them as they stand.
func (c *Core) Figures() Figures {
	f := Figures{Classes: append([]Counts(nil), c.counts...), Tries: c.tries, Active: c.Open(), PoolSize: c.roster.Size()}
	for _, name := range c.roster.Names() {
		if c.roster.Banned(name) || c.router.Avoids(name) || c.router.Outdated(name) {
			f.PoolEjected++
		}
	}
	return f
}

// Count notes the answer that a request of a class was given: served, refused or failed. Fronts call it for those that
// they answer without asking the core.
func (c *Core) Count(class int, answer string) {
	if class < 0 || class >= len(c.counts) {
		return
	}
	switch n := &c.counts[class]; answer {
	case "served":
		n.OK++
	case "refused":
		n.Shed++
	case "failed":
		n.Errors++
	}
}

// Wrote says that so many attempts were written whole.
func (c *Core) Wrote(n int) { c.tries += uint64(n) }

// Disable leaves a worker out, by hand, until Enable.
func (c *Core) Disable(id string) error {
	ev, err := c.roster.Disable(id)
	if err == nil {
		c.change(ev)
	}
	return err
}

// Enable uses a worker again that was left out by hand.
func (c *Core) Enable(id string) error {
	ev, err := c.roster.Enable(c.loop.Now(), id)
	if err == nil {
		c.change(ev)
	}
	return err
}

// Saved is what the gateway's next process has to know of the workers.
func (c *Core) Saved() roster.Saved { return c.roster.Save() }

// Restore takes what a former process has handed on, before the first list.
func (c *Core) Restore(s roster.Saved) { c.roster.Restore(s) }

// Remember returns what the module has learnt.
func (c *Core) Remember() *decide.Memory {
	m := c.router.Remember()
	m.At = c.loop.Now() // the module's own clock stands since its last event, for long in a process that was stopped
	return m
}

// Recall has the module begin with what a former process's has learnt, before the first list.
func (c *Core) Recall(m *decide.Memory) error { return c.router.Recall(m, c.loop.Now()) }

// Adopt lays a ban that was laid at the gateway's other process.
func (c *Core) Adopt(b roster.Ban) {
	c.change(c.roster.Adopt(b))
}

// AssumeRate has the module judge cold workers by a rate that was served before, in calls a second, and have at most so many loads
// under way, 0 for any number.
func (c *Core) AssumeRate(perSec float64, loads int) {
	c.router.AssumeRate(c.loop.Now(), perSec, loads)
}

// Hold leaves workers alone that another gateway knows to drain, in place of those that were held before.
func (c *Core) Hold(ids map[string]bool) {
	c.change(c.roster.Hold(ids))
}

// Avoids reports whether the module avoids a worker that is listed as ready.
func (c *Core) Avoids(id string) bool { return c.router.Avoids(id) }

// Since is a worker's start as it is listed, 0 for long ago or one that is not.
func (c *Core) Since(id string) time.Duration { return c.roster.Since(id) }

// Listed reports whether a worker is in the list.
func (c *Core) Listed(id string) bool { return c.roster.Listed(id) }

// Banned is the ban on a worker, if there is one.
func (c *Core) Banned(id string) (roster.Ban, bool) { return c.roster.Ban(id) }
