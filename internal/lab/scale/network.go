package scale

import (
	"errors"
	"net"
	"sync"
	"time"
)

// One-way delays between gateways in one zone, in one region, and in different regions. Regions lie on a line, and each step along it
// adds perRegionDelay.
const (
	zoneDelay        = 200 * time.Microsecond
	regionDelay      = time.Millisecond
	perRegionDelay   = 10 * time.Millisecond
	maxPendingWrites = 256 // delayed writes of a connection; further ones block
)

// place is the region and zone of a gateway.
type place struct{ region, zone int }

// placeOf spreads gateways round robin over the target's zones, and these over its regions.
func placeOf(gateway int) place {
	zone := gateway % Target.Zones
	return place{zone % Target.Regions, zone}
}

// delay returns the one-way delay to another place.
func (p place) delay(other place) time.Duration {
	switch {
	case p.zone == other.zone:
		return zoneDelay
	case p.region == other.region:
		return regionDelay
	}
	return perRegionDelay * time.Duration(max(p.region-other.region, other.region-p.region))
}

// network simulates delays and partitions between all gateways.
type network struct {
	mu          sync.RWMutex
	places      map[string]place // by host
	partitioned map[string]bool  // hosts that reach only each other
	dead        map[string]bool  // hosts that reach nobody
}

func newNetwork() *network {
	return &network{places: map[string]place{}, partitioned: map[string]bool{}, dead: map[string]bool{}}
}

func (n *network) add(host string, at place) {
	n.mu.Lock()
	n.places[host] = at
	n.mu.Unlock()
}

// partition separates hosts, which still reach each other, from all others. A call without hosts ends the partition.
func (n *network) partition(hosts []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
	for _, h := range hosts {
		n.partitioned[h] = true
	}
}

// setDead sets whether a host is cut off from all others.
func (n *network) setDead(host string, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if delete(n.dead, host); dead {
		n.dead[host] = true
	}
}

// path returns the delay from one host to another, and whether messages arrive.
func (n *network) path(from, to string) (time.Duration, bool) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.places[from].delay(n.places[to]), n.partitioned[from] == n.partitioned[to] && !n.dead[from] && !n.dead[to]
}

// hostView implements member.Network for one gateway.
type hostView struct {
	network *network
	host    string
}

var errPartitioned = errors.New("scale: the network is partitioned")

// Datagram calls send after the delay, or not at all if the target is unreachable.
func (v *hostView) Datagram(to string, send func()) {
	if d, reached := v.network.path(v.host, hostOf(to)); reached {
		time.AfterFunc(d, send)
	}
}

// Dial takes one round trip and returns a connection with delayed writes.
func (v *hostView) Dial(to string, dial func() (net.Conn, error)) (net.Conn, error) {
	d, reached := v.network.path(v.host, hostOf(to))
	time.Sleep(2 * d)
	if !reached {
		return nil, errPartitioned
	}
	c, err := dial()
	if err != nil {
		return nil, err
	}
	return newDelayedConn(c, d, func() bool { _, reached := v.network.path(v.host, hostOf(to)); return reached }), nil
}

// Receives reports whether messages from a host arrive.
func (v *hostView) Receives(from string) bool {
	_, reached := v.network.path(from, v.host)
	return reached
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}

// delayedConn is the dialing end of a connection, whose writes arrive after the delay, in order. Answers are not delayed themselves,
// but they are late since the requests before them are.
type delayedConn struct {
	net.Conn
	delay     time.Duration
	reachable func() bool
	pending   chan pendingWrite
	once      sync.Once
	closed    chan struct{}
}

// pendingWrite is a write that is delivered at a later time.
type pendingWrite struct {
	at   time.Time
	data []byte
}

func newDelayedConn(c net.Conn, delay time.Duration, reachable func() bool) *delayedConn {
	conn := &delayedConn{Conn: c, delay: delay, reachable: reachable, pending: make(chan pendingWrite, maxPendingWrites),
		closed: make(chan struct{})}
	go conn.deliver()
	return conn
}

// Write queues a copy of the bytes for delivery after the delay.
func (d *delayedConn) Write(b []byte) (int, error) {
	select {
	case d.pending <- pendingWrite{time.Now().Add(d.delay), append([]byte(nil), b...)}:
		return len(b), nil
	case <-d.closed:
		return 0, net.ErrClosed
	}
}

// deliver delivers the pending writes until the connection is closed or the other end is unreachable.
func (d *delayedConn) deliver() {
	defer d.Conn.Close()
	for {
		select {
		case w := <-d.pending:
			time.Sleep(time.Until(w.at))
			if !d.reachable() {
				return
			}
			if _, err := d.Conn.Write(w.data); err != nil {
				return
			}
		case <-d.closed:
			return
		}
	}
}

// Close closes the connection after the delay, when the writes before it have been delivered.
func (d *delayedConn) Close() error {
	d.once.Do(func() {
		time.AfterFunc(d.delay, func() { close(d.closed) })
	})
	return nil
}
