package lifecycle

import (
	"errors"
	"fmt"
	"strings"

	"go.uber.org/zap"

	"quillrail/internal/core"
)

var (
	errNotReady = errors.New("not ready")
	errEnding   = errors.New("the process is ending")
)

// desk carries out what operators ask for at the door.
type desk Gateway

// Ready says whether clients are told to come.
func (d *desk) Ready() error {
	switch {
	case d.term:
		return errEnding
	case !d.front.Ready():
		return (*Gateway)(d).phase()
	}
	return nil
}

// Stat words the figures in the form of statsd.
func (d *desk) Stat() string {
	var b strings.Builder
	var f core.Figures
	if d.core != nil {
		f = d.core.Figures()
	}
	count := func(name string, n uint64) { fmt.Fprintf(&b, "svc.%s:%d|c\n", name, n) }
	gauge := func(name string, n int) { fmt.Fprintf(&b, "svc.%s:%d|g\n", name, n) }
	for i, c := range f.Classes {
		class := "responses." + d.conf.Site.Classes[i] + "."
		count(class+"ok", c.OK)
		count(class+"shed", c.Shed)
		count(class+"errors", c.Errors)
	}
	count("tries", f.Tries)
	gauge("active", f.Active)
	gauge("pool_size", f.PoolSize)
	gauge("pool_ejected", f.PoolEjected)
	count("config_applied", d.applied)
	count("config_rejected", d.rejected)
	if d.node != nil {
		(*Gateway)(d).fleetStat(gauge)
	}
	return b.String()
}

// Disable leaves a worker out, here and at the gateway's other process if there is one.
func (d *desk) Disable(id string) error { return d.change(id, (*core.Core).Disable) }

// Enable uses it again.
func (d *desk) Enable(id string) error { return d.change(id, (*core.Core).Enable) }

func (d *desk) change(id string, do func(*core.Core, string) error) error {
	if d.core == nil {
		return (*Gateway)(d).phase()
	}
	err := do(d.core, id)
	if err == nil && d.up != nil {
		d.up.changed(id)
	}
	if err == nil && d.node != nil {
		ban, banned := d.core.Banned(id)
		d.back.Said(id, banned, ban.Since)
	}
	return err
}

// Drain sends clients away on every front. What is open goes on.
func (d *desk) Drain() error {
	d.front.Drain()
	if d.calls != nil {
		d.calls.Drain()
	}
	open := 0
	if d.core != nil {
		open = d.core.Open()
	}
	d.log.Info("clients are sent away", zap.Int("open", open), zap.Int("clients", d.front.Conns()))
	return nil
}

// Resume takes clients again. A process that is ending doesn't.
func (d *desk) Resume() error {
	if d.term {
		return errEnding
	}
	d.front.Resume()
	if d.calls != nil {
		d.calls.Resume()
	}
	d.log.Info("clients are taken again")
	return nil
}
