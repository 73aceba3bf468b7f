package lifecycle

import (
	"errors"
	"fmt"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/fleet/change"
	"quillrail/internal/wire/opfront"
)

var (
	errNotReady = errors.New("not ready")
	errEnding   = errors.New("the process is ending")
	errWords    = errors.New("too many words")
)

// desk carries out what operators ask for at the door.
type desk Gateway

// Do carries out a call.
func (d *desk) Do(c opfront.Call, done func(text string, err error)) {
	g := (*Gateway)(d)
	if !g.asks() && (c.Emergency || len(c.Options) > 0) {
		done("", errWords)
		return
	}
	switch c.Name {
	case "ready":
		done("", d.Ready())
	case "show-stat":
		done(d.Stat()+"EOT\n", nil)
	case "disable-server":
		if !g.asks() || c.Emergency {
			err := d.Disable(c.ID)
			if err == nil && c.Emergency {
				g.agreement.Urgent(change.Of(change.Worker, c.ID), "", by(c), c.Options["why"])
			}
			done("", err)
			return
		}
		g.askFor(c, change.Of(change.Worker, c.ID), "", done)
	case "enable-server":
		d.enable(c, done)
	case "drain":
		if !g.asks() || c.Emergency {
			err := d.Drain()
			if c.Emergency {
				g.agreement.Urgent(g.self(), g.conf.Name, by(c), c.Options["why"])
			}
			done("", err)
			return
		}
		g.askFor(c, g.self(), g.conf.Name, done)
	case "resume":
		err := d.Resume()
		if err == nil && g.asks() {
			g.agreement.Back()
		}
		done("", err)
	default:
		g.agreedCall(c, done)
	}
}

// by is who makes a call.
func by(c opfront.Call) string {
	if name := c.Options["by"]; name != "" {
		return name
	}
	return "an operator"
}

// askFor asks for a permit to take something out.
func (g *Gateway) askFor(c opfront.Call, t change.Thing, holder string, done func(string, error)) {
	if t.Kind() == change.Worker && g.core != nil && !g.core.Listed(t.Name()) {
		done("", errors.New("no such worker"))
		return
	}
	except, err := exception(c)
	if err != nil {
		done("", err)
		return
	}
	g.agreement.Ask(t, holder, by(c), c.Options["why"], except, false, done)
}

func exception(c opfront.Call) (id uint64, err error) {
	if text := c.Options["except"]; text != "" {
		if _, err := fmt.Sscanf(text, "%d", &id); err != nil {
			return 0, fmt.Errorf("except=%s is no number", text)
		}
	}
	return id, nil
}

// enable uses a worker again: where it is out by a permit, that is given back, and all use it.
func (d *desk) enable(c opfront.Call, done func(string, error)) {
	g := (*Gateway)(d)
	if g.asks() {
		if p := g.agreement.PermitOf(change.Of(change.Worker, c.ID)); p != nil {
			g.agreement.Return(p, by(c), done)
			return
		}
	}
	done("", d.Enable(c.ID))
}

// agreedCall carries out the calls that need an agreement.
func (g *Gateway) agreedCall(c opfront.Call, done func(string, error)) {
	if !g.asks() {
		done("", errNoAgreement)
		return
	}
	switch c.Name {
	case "agreed":
		done(g.agreement.Show()+"EOT\n", nil)
	case "wanted":
		done(g.wanted(c.ID)+"EOT\n", nil)
	case "declare":
		g.agreement.Declare(c.ID, c.Options, done)
	}
}

// wanted is what who supervises a gateway has to make of it, and of the workers if it names none.
func (g *Gateway) wanted(gateway string) string {
	if gateway == "" {
		gateway = g.conf.Name
	}
	if gateway == "workers" {
		text := ""
		for _, id := range g.agreement.Restarts() {
			text += "worker " + id + "\n"
		}
		return text
	}
	if what, to, permit := g.agreement.Wanted(gateway); what != "" {
		return fmt.Sprintf("%s %s permit %d\n", what, to, permit)
	}
	return ""
}

// Ready says whether clients are told to come.
func (d *desk) Ready() error {
	switch {
	case d.terminating:
		return errEnding
	case !d.front.Ready():
		return (*Gateway)(d).phase()
	}
	return nil
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
	if err == nil && d.upgrade != nil {
		d.upgrade.changed(id)
	}
	if err == nil && d.node != nil {
		ban, banned := d.core.Banned(id)
		d.recovery.BroadcastBan(id, banned, ban.Since)
	}
	return err
}

// Drain sends clients away on every front. What is open goes on.
func (d *desk) Drain() error { (*Gateway)(d).sendAway(); return nil }

func (g *Gateway) sendAway() {
	g.front.Drain()
	if g.calls != nil {
		g.calls.Drain()
	}
	open := 0
	if g.core != nil {
		open = g.core.InFlight()
	}
	g.log.Info("clients are sent away", zap.Int("open", open), zap.Int("clients", g.front.Conns()))
}

// Resume takes clients again. A process that is ending doesn't.
func (d *desk) Resume() error {
	if d.terminating {
		return errEnding
	}
	(*Gateway)(d).takeAgain()
	return nil
}

func (g *Gateway) takeAgain() {
	g.front.Resume()
	if g.calls != nil {
		g.calls.Resume()
	}
	g.log.Info("clients are taken again")
}
