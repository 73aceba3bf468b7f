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

// persistentBase*(i+1) is the first request number of persistent client i. It lies above the numbers of bursts and of requests that
// are sent at Load.Rate.
const persistentBase = 10_000_000

// burstBase is the first request number of bursts. It lies above the numbers of requests that are sent at Load.Rate.
const burstBase = 5_000_000

// balancerDelay is how long the load balancer before the fleet still sends new connections to a gateway that was asked to stop or
// is no longer ready.
const balancerDelay = 300 * time.Millisecond

// balancerInterval is how often the load balancer checks the readiness of each gateway.
const balancerInterval = 50 * time.Millisecond

// watchReadiness polls whether a gateway accepts clients, as a load balancer before the fleet does, until the traffic ends.
func (t *Traffic) watchReadiness(g *Gateway) {
	defer t.wg.Done()
	poll(g, balancerInterval, t.stop, func(status int) {
		switch status {
		case 0: // no answer: clients that connect notice by themselves whether the gateway is reachable
		case http.StatusOK:
			g.unreadyAt.Store(0)
		default:
			g.unreadyAt.CompareAndSwap(0, time.Now().UnixNano())
		}
	})
}

// inRotation reports whether the load balancer still sends new connections to the gateway.
func (g *Gateway) inRotation() bool {
	at := g.stopRequestedAt.Load()
	if unready := g.unreadyAt.Load(); unready != 0 && (at == 0 || unready < at) {
		at = unready
	}
	return at == 0 || time.Since(time.Unix(0, at)) <= balancerDelay
}

// errAllRefused contains "connection refused", by which Traffic.call recognises a request that reached no gateway.
var errAllRefused = errors.New("connection refused by all")

// persistentClient runs client i, which uses one connection for as long as it stays open and sends each request right after the
// answer to the one before. A new connection goes to the client's own gateway, or else to the next one in rotation. A request that
// crosses the close of an idle connection is resent once.
func (t *Traffic) persistentClient(i int, rng *rand.Rand) {
	defer t.wg.Done()
	transport := &http.Transport{MaxConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return t.dialGateway(ctx, i)
	}}
	defer transport.CloseIdleConnections()
	httpClient := &http.Client{Transport: resendTransport{RoundTripper: transport, lab: t.lab}}
	for n := persistentBase * (i + 1); ; n++ {
		select {
		case <-t.stop:
			return
		default:
		}
		class, fn := t.draw(rng)
		body, due := fmt.Sprintf("%c%08d", class, n), time.Now()
		outcome := t.call(httpClient, "line", n, 0, fn, body) // "line" is any host name, as DialContext ignores it
		if outcome == "unanswered" && t.lab.interruptedSince(due) {
			outcome = "lost in flight"
		}
		t.recordEnd(body, outcome, due, 0)
	}
}

// interruptedSince reports whether any gateway is down or paused now, or was killed or resumed since begun.
func (l *Lab) interruptedSince(begun time.Time) bool {
	return slices.ContainsFunc(l.Gateways, func(g *Gateway) bool {
		return g.downSince.Load() != 0 || g.interruptedAt.Load() > begun.UnixNano()
	})
}

// dialGateway opens a persistent client's connection to the first gateway in rotation that accepts it, from firstGateway on.
func (t *Traffic) dialGateway(ctx context.Context, firstGateway int) (net.Conn, error) {
	var dialer net.Dialer
	for i := range t.lab.Gateways {
		g := t.lab.Gateways[(firstGateway+i)%len(t.lab.Gateways)]
		if !g.inRotation() {
			continue
		}
		if c, err := dialer.DialContext(ctx, "tcp", g.Addr); err == nil {
			return c, nil
		}
	}
	return nil, errAllRefused
}
