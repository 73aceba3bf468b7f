package lab

import "time"

// BulletinLink returns the relay between the gateway and its bulletin.
func (g *Gateway) BulletinLink() *Relay { return g.bulletinLink }

// DelayBulletin delays all messages of the bulletin to this gateway, until HealBulletins.
func (g *Gateway) DelayBulletin(by time.Duration) {
	g.lab.setBulletinsImpaired(true)
	g.lab.Logf("the bulletin of %s is delayed by %v", g.Name, by)
	g.bulletinLink.Set(Fault{}, Fault{Delay: by})
}

// CutBulletins cuts all gateways off from their bulletins: open connections fall silent, and new ones are accepted but stay
// silent.
func (l *Lab) CutBulletins() {
	l.setBulletinsImpaired(true)
	l.Logf("all bulletins are unreachable")
	for _, g := range l.Gateways {
		g.bulletinLink.Cut()
	}
}

// RefuseBulletins takes the bulletins of all gateways down: open and new connections are reset.
func (l *Lab) RefuseBulletins() {
	l.setBulletinsImpaired(true)
	l.Logf("all bulletins are down")
	for _, g := range l.Gateways {
		g.bulletinLink.Refuse()
	}
}

// HealBulletins ends the effects of CutBulletins, RefuseBulletins and DelayBulletin.
func (l *Lab) HealBulletins() {
	l.Logf("all bulletins are reachable again")
	for _, g := range l.Gateways {
		g.bulletinLink.Heal()
	}
	l.setBulletinsImpaired(false)
}

func (l *Lab) setBulletinsImpaired(impaired bool) {
	l.mu.Lock()
	l.bulletinsImpaired = impaired
	l.mu.Unlock()
}

// announcedAt returns when an event that is published now counts as announced to all gateways: at once, or maxBulletinDelay later
// while a bulletin is impaired.
func (l *Lab) announcedAt(now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bulletinsImpaired {
		return now.Add(maxBulletinDelay)
	}
	return now
}

// DrainGraceOver reports whether the worker drains or is banned, and no further calls may reach it.
func (w *Worker) DrainGraceOver() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drainAnnouncedAt.IsZero() && time.Since(w.drainAnnouncedAt) > drainGrace
}

// listed returns the worker's phase and start time (Unix ms) as the list has them.
func (w *Worker) listed() (phase string, started int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if phase = "active"; !w.drainingSince.IsZero() {
		phase = "leaving"
	}
	return phase, w.listedStart
}

// drainingFor reports whether the worker drains, and has done so for at least the duration.
func (w *Worker) drainingFor(duration time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.drainingSince.IsZero() && time.Since(w.drainingSince) >= duration
}
