package main

import (
	"fmt"
	"path/filepath"
	"time"
)

func init() {
	cases["probes"] = probes
	cases["moved-list"] = movedList
	cases["late-list"] = lateList
	cases["slow-list-upgrade"] = slowListUpgrade
}

// limitSlack is added to each time limit: 50 ms by PROTOCOL, and as much again for what this check measures late.
const limitSlack = 100 * time.Millisecond

// startFleet starts gateways, each with a bulletin of its own.
func startFleet(r *rig, f *fleet, count int, settings func(gateways, slot, zone int) obj) (gs []*gateway, ps []*process, bs []*bulletin, addrs []string, err error) {
	for i := range count {
		b := newBulletin(r, fmt.Sprint(i))
		s := settings(count, i, i%2)
		g := &gateway{name: fmt.Sprint("n", i), listen: freeAddr(), bulletin: b.addr, dir: filepath.Join(r.tmp, fmt.Sprint("n", i)), settings: s,
			known: f.known(s["azs"].([]string), s["kinds"].([]string))}
		p, err := r.startGateway(g)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		gs, ps, bs, addrs = append(gs, g), append(ps, p), append(bs, b), append(addrs, g.listen)
	}
	return gs, ps, bs, addrs, nil
}

// startDrains has workers drain, and puts that into every bulletin. With hold the bulletins do not pass it on yet.
func startDrains(ws []*worker, bs []*bulletin, hold bool) {
	for _, w := range ws {
		for _, b := range bs {
			b.publish(w, draining, hold)
		}
		w.drain()
	}
}

// checkDrained breaks the rule for each call and each order that has come to a worker later than allowed after a moment: that at which its
// drain was in the bulletin, of SIGHUP, or of the new version's yes.
func checkDrained(r *rig, ws []*worker, drained time.Time, allowed time.Duration) (late int) {
	for _, w := range ws {
		for _, a := range w.since(drained.Add(allowed + limitSlack)) {
			late++
			r.breakRule("%s drains and gets %s %s after %.2f s; nothing new is allowed later than %.2f s", w.id(), a.kind, a.id,
				a.at.Sub(drained).Seconds(), allowed.Seconds())
		}
	}
	return late
}

func larderFleet(r *rig, count int) *fleet {
	f := newFleet(r, count, 2)
	f.use = "queue:0;inflight:1;x1:0;x0:0.10"
	return f
}

// probes: discovery is down for 8 s into the start of a release, and the hosts that drain answer probes.
func probes(r *rig) (string, error) {
	f := larderFleet(r, 16)
	_, _, bs, addrs, err := startFleet(r, f, 3, larderSettings)
	if err != nil {
		return "", err
	}
	l := larderLoad(r, 120, addrs...)
	l.begin()
	time.Sleep(10 * time.Second)
	ws, at := f.workers[:3], time.Now()
	if r.trouble {
		for _, b := range bs {
			b.shut(0)
		}
	}
	startDrains(ws, bs, false)
	time.Sleep(time.Until(at.Add(8 * time.Second)))
	if r.trouble {
		for _, b := range bs {
			b.back()
		}
	}
	time.Sleep(3 * time.Second)
	done, answered := l.end(), 0
	late := checkDrained(r, ws, at, 7*time.Second+250*time.Millisecond)
	for _, w := range ws {
		answered += w.pings
	}
	return fmt.Sprintf("%s; draining hosts answered %d probes with UP; %d calls and orders came to them too late", done, answered, late), nil
}

// movedList: a new configuration moves discovery, which is down for 8 s.
func movedList(r *rig) (string, error) {
	f := newFleet(r, 12, 3)
	gs, ps, bs, addrs, err := startFleet(r, f, 3, rigaSettings)
	if err != nil {
		return "", err
	}
	l := rigaLoad(r, 60, addrs...)
	l.begin()
	time.Sleep(8 * time.Second)
	moved := make([]*bulletin, len(bs))
	for i, g := range gs {
		moved[i] = newBulletin(r, fmt.Sprint(i, " at its new address"))
		if r.trouble {
			moved[i].shut(0)
		}
		g.bulletin = moved[i].addr
		r.writeConfig(g)
	}
	at := time.Now()
	for i, p := range ps {
		bs[i].shut(1500 * time.Millisecond)
		p.signal(sighup)
	}
	r.logf("SIGHUP to all gateways")
	time.Sleep(50 * time.Millisecond)
	ws := f.workers[:3]
	startDrains(ws, moved, false)
	time.Sleep(time.Until(at.Add(8 * time.Second)))
	if r.trouble {
		for _, b := range moved {
			b.back()
		}
	}
	time.Sleep(4 * time.Second)
	done := l.end()
	late := checkDrained(r, ws, at, 4*time.Second+2*time.Second)
	return fmt.Sprintf("%s; %d calls and orders came to draining workers later than 6 s after SIGHUP", done, late), nil
}

// lateList: the host list runs 10 s behind: a drain is in the bulletin, which passes it on 10 s later.
func lateList(r *rig) (string, error) {
	f := larderFleet(r, 16)
	_, _, bs, addrs, err := startFleet(r, f, 3, larderSettings)
	if err != nil {
		return "", err
	}
	l := larderLoad(r, 60, addrs...)
	l.begin()
	time.Sleep(8 * time.Second)
	ws, at := f.workers[:3], time.Now()
	startDrains(ws, bs, r.trouble)
	time.Sleep(10 * time.Second)
	for _, b := range bs {
		b.release()
	}
	time.Sleep(3 * time.Second)
	done := l.end()
	late := checkDrained(r, ws, at, 7*time.Second+250*time.Millisecond)
	return fmt.Sprintf("%s; %d calls and orders came to draining hosts too late", done, late), nil
}

// slowListUpgrade: a new version takes over while discovery is down for 8 s, into the start of a release.
func slowListUpgrade(r *rig) (string, error) {
	f := larderFleet(r, 16)
	b := newBulletin(r, "0")
	s := larderSettings(1, 0, 0)
	g := &gateway{name: "n0", listen: freeAddr(), operator: freeAddr(), bulletin: b.addr, dir: filepath.Join(r.tmp, "n0"), settings: s,
		known: f.known(s["azs"].([]string), s["kinds"].([]string))}
	p, err := r.startGateway(g)
	if err != nil {
		return "", err
	}
	l := larderLoad(r, 60, g.listen)
	l.begin()
	time.Sleep(8 * time.Second)
	down := time.Now()
	if r.trouble {
		b.shut(0)
	}
	next := *g
	next.operator = freeAddr()
	q, err := r.beginGateway(&next)
	if err != nil {
		return "", err
	}
	ws := f.workers[:3]
	startDrains(ws, []*bulletin{b}, false) // the new configuration is written; its process has not said yes
	if err := r.awaitGateway(&next, q); err != nil {
		return "", err
	}
	yes := time.Now()
	r.logf("the new process says yes; SIGTERM to the old one")
	p.signal(sigterm)
	time.Sleep(time.Until(down.Add(8 * time.Second)))
	if r.trouble {
		b.back()
	}
	time.Sleep(2 * time.Second)
	done := l.end()
	late := checkDrained(r, ws, yes, 2*time.Second+250*time.Millisecond)
	return fmt.Sprintf("%s; %d calls and orders came to draining hosts later than 2.25 s after the yes", done, late), nil
}
