package core

import (
	"time"

	"quillrail/decide"
	"quillrail/internal/roster"
)

// Counts holds the numbers of requests of one class that have ended, by their answer. A request whose client had stopped waiting
// counts in none.
type Counts struct{ OK, Shed, Errors uint64 }

// Metrics holds the metrics of a gateway. The counters start at 0 with the process; the rest is read from the tables.
type Metrics struct {
	Classes     []Counts // in the order of the settings
	Attempts    uint64   // written whole to workers
	Active      int      // requests in flight
	PoolSize    int      // workers on the list
	PoolEjected int      // of these, banned by operators, or not used by the module
}

// Metrics returns the current metrics.
func (c *Core) Metrics() Metrics {
	metrics := Metrics{Classes: append([]Counts(nil), c.counts...), Attempts: c.attemptsWritten, Active: c.InFlight(),
		PoolSize: c.roster.Size()}
	for _, name := range c.roster.Names() {
		if c.roster.Banned(name) || c.router.Avoids(name) || c.router.LeaseExpired(name) {
			metrics.PoolEjected++
		}
	}
	return metrics
}

// Count counts the answer to a request of a class: served, refused or failed. Fronts call it for requests that they answer without
// submitting them to the core.
func (c *Core) Count(class int, answer string) {
	if class < 0 || class >= len(c.counts) {
		return
	}
	switch counts := &c.counts[class]; answer {
	case "served":
		counts.OK++
	case "refused":
		counts.Shed++
	case "failed":
		counts.Errors++
	}
}

// Wrote counts n attempts that were written whole.
func (c *Core) Wrote(n int) { c.attemptsWritten += uint64(n) }

// Disable bans a worker for an operator, until Enable.
func (c *Core) Disable(id string) error {
	change, err := c.roster.Disable(id)
	if err == nil {
		c.applyChange(change)
	}
	return err
}

// Enable lifts an operator's ban on a worker.
func (c *Core) Enable(id string) error {
	change, err := c.roster.Enable(c.loop.Now(), id)
	if err == nil {
		c.applyChange(change)
	}
	return err
}

// Saved returns the state of workers and bans that the gateway's next process needs.
func (c *Core) Saved() roster.Saved { return c.roster.Save() }

// Restore loads the state that a previous process saved. It must be called before the first list.
func (c *Core) Restore(saved roster.Saved) { c.roster.Restore(saved) }

// ModuleSnapshot returns what the module has learned.
func (c *Core) ModuleSnapshot() *decide.Snapshot {
	snapshot := c.router.Snapshot()
	snapshot.At = c.loop.Now() // the module's time is that of its last event, which is long ago if the process was paused
	return snapshot
}

// RestoreModule loads what the module of a previous process has learned. It must be called before the first list.
func (c *Core) RestoreModule(snapshot *decide.Snapshot) error {
	return c.router.Restore(snapshot, c.loop.Now())
}

// AdoptBan applies a ban that was set at the gateway's other process.
func (c *Core) AdoptBan(ban roster.Ban) {
	c.applyChange(c.roster.AdoptBan(ban))
}

// AssumeRate has the module judge cold workers by a rate that was served before, in calls per second, and have at most this many
// loads in flight; 0 loads means no limit.
func (c *Core) AssumeRate(perSecond float64, loads int) {
	c.router.AssumeRate(c.loop.Now(), perSecond, loads)
}

// SetDraining replaces the set of workers that get nothing new because another gateway knows that they drain.
func (c *Core) SetDraining(ids map[string]bool) {
	c.applyChange(c.roster.SetDrainingElsewhere(ids))
}

// Avoids reports whether the module avoids a worker although it is listed as ready.
func (c *Core) Avoids(id string) bool { return c.router.Avoids(id) }

// ListedStart returns a worker's start time as listed: 0 if it started long ago or is not on the list.
func (c *Core) ListedStart(id string) time.Duration { return c.roster.ListedStart(id) }

// Listed reports whether a worker is on the list.
func (c *Core) Listed(id string) bool { return c.roster.Listed(id) }

// Banned returns the ban on a worker, and whether there is one.
func (c *Core) Banned(id string) (roster.Ban, bool) { return c.roster.Ban(id) }
