package lab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"
)

// lineBase numbers the requests of lines, above those that come at a pace.
const lineBase = 10_000_000

// crowdBase numbers the requests of crowds, below those of lines and above those that come at a pace.
const crowdBase = 5_000_000

// frontNotices is how long after a gateway was asked to end new connections still come to it.
const frontNotices = 300 * time.Millisecond

// frontEvery is how often the front asks each gateway.
const frontEvery = 50 * time.Millisecond

// front looks whether gateways take clients, as whatever stands before a fleet does.
func (t *Traffic) front(g *Gateway) {
	defer t.wg.Done()
	poll(g, frontEvery, t.stop, func(status int) {
		switch status {
		case 0: // whether it is there is seen by those who call
		case http.StatusOK:
			g.unready.Store(0)
		default:
			g.unready.CompareAndSwap(0, time.Now().UnixNano())
		}
	})
}

// offered reports whether new connections still come to the gateway: the front before the fleet sees that it was asked to end.
func (g *Gateway) offered() bool {
	at := g.ending.Load()
	if off := g.unready.Load(); off != 0 && (at == 0 || off < at) {
		at = off
	}
	return at == 0 || time.Since(time.Unix(0, at)) <= frontNotices
}

var errNobody = errors.New("connection refused by all")

// line is a client that goes on sending on its connection for as long as that stays open, each request at once after the
// last answer. A new connection goes to its own gateway, or to the next one that the front knows to take them. A request
// that crosses the close of an idle connection is sent once more.
func (t *Traffic) line(i int, rng *rand.Rand) {
	defer t.wg.Done()
	tr := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return t.connect(ctx, i)
	}}
	defer tr.CloseIdleConnections()
	by := &http.Client{Transport: crossing{RoundTripper: tr, lab: t.lab}}
	for n := lineBase * (i + 1); ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		kind, fn := t.draw(rng)
		body, due := fmt.Sprintf("%c%08d", kind, n), time.Now()
		end := t.call(by, "line", n, 0, fn, body)
		if end == "unanswered" && t.lab.lostSince(due) {
			end = "lost in hand"
		}
		t.ended(body, end, due, 0)
	}
}

// lostSince reports whether any gateway has been killed or stopped since a moment.
func (l *Lab) lostSince(begun time.Time) bool {
	return slices.ContainsFunc(l.Gateways, func(g *Gateway) bool {
		return g.unwilling.Load() != 0 || g.lost.Load() > begun.UnixNano()
	})
}

// connect opens a line's connection.
func (t *Traffic) connect(ctx context.Context, i int) (net.Conn, error) {
	var d net.Dialer
	for k := range t.lab.Gateways {
		g := t.lab.Gateways[(i+k)%len(t.lab.Gateways)]
		if !g.offered() {
			continue
		}
		if c, err := d.DialContext(ctx, "tcp", g.Addr); err == nil {
			return c, nil
		}
	}
	return nil, errNobody
}
