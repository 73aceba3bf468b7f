package member

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"quillrail/internal/fleet/link"
)

const (
	maxState       = 2 << 20 // bytes of the state sent to another gateway
	maxBroadcast   = 1200    // bytes of a broadcast, which has to fit into a datagram
	maxJoinSeeds   = 16      // seeds that a gateway contacts
	maxQueued      = 1024    // broadcasts that may be queued
	rejoinInterval = time.Second
	leaveTimeout   = 300 * time.Millisecond
)

// Options configure a Transport.
type Options struct {
	Fleet string            // name of the fleet; messages of another fleet are ignored
	Bind  string            // host:port for datagrams and connections
	Seeds []string          // host:port of gateways to contact first; this gateway's own may be among them
	Via   map[string]string // maps the address that a gateway announces to the one at which it is reached, where these differ
	Self  Metadata

	Network Network // nil for the machine's network
}

// Handler receives what arrives, on the transport's goroutines. Its methods must not block.
type Handler interface {
	Event(Event)
	RemoteState(state []byte)                             // another gateway's state, requested by this gateway or by the other one
	Broadcast(message []byte)                             // a message to all gateways
	Message(from link.Hello, m link.Message, done func()) // a message to this gateway; done has to be called once it has been handled
	LocalState() []byte                                   // the state to send to other gateways, as it was last published
	ReportProblem(what string)                            // a problem that operators should know about; each text is reported once
}

// Transport connects this gateway to the others: memberlist for membership and broadcasts, links for messages to one gateway.
type Transport struct {
	list     *memberlist.Memberlist
	queue    *memberlist.TransmitLimitedQueue
	links    *link.Manager
	sockets  *sharedTransport
	routes   sync.Map // route of every gateway ever observed, by name; a copy, since memberlist modifies its nodes concurrently
	handler  Handler
	log      *zap.Logger
	opts     Options
	metadata atomic.Pointer[Metadata]
	stop     context.CancelFunc
	done     chan struct{}
	alive    atomic.Int64  // gateways in routes that are alive
	dropped  atomic.Uint64 // broadcasts that were too large or found the queue full
	reported sync.Map      // texts of the problems that have been reported
}

// Open binds the sockets and starts the transport. It contacts no other gateway; Join does.
func Open(opts Options, handler Handler, logger *zap.Logger) (*Transport, error) {
	host, port, err := net.SplitHostPort(opts.Bind)
	if err != nil {
		return nil, fmt.Errorf("member: bind: %w", err)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("member: bind: port is not a number from 0 to 65535: %q", port)
	}
	t := &Transport{handler: handler, log: logger, opts: opts, done: make(chan struct{})}
	t.metadata.Store(&opts.Self)
	config := memberlist.DefaultLANConfig()
	config.Name, config.BindAddr, config.BindPort, config.AdvertiseAddr, config.AdvertisePort = opts.Self.Name, host, int(portNumber),
		host, int(portNumber)
	sum := sha256.Sum256([]byte(opts.Fleet))
	config.Label = fmt.Sprintf("quillrail-%x", sum[:8])
	config.Delegate, config.Events, config.Conflict, config.Alive = t, t, t, t
	config.Logger = log.New(&logWriter{t: t}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: int(portNumber),
		Logger: config.Logger})
	if err != nil {
		return nil, fmt.Errorf("member: %w", err)
	}
	var sockets *sharedTransport
	hello := link.Hello{Fleet: opts.Fleet, Name: opts.Self.Name, Incarnation: opts.Self.Incarnation.Number, Major: Major, Minor: Minor}
	t.links = link.New(hello, func(addr string, limit time.Duration) (net.Conn, error) {
		return sockets.dial(addr, limit)
	}, handler.Message)
	sockets = newSharedTransport(inner, net.ParseIP(host), opts, t.accept)
	config.Transport, t.sockets = sockets, sockets
	config.TCPTimeout, config.ProbeTimeout, config.ProbeInterval = 500*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond
	config.SuspicionMult, config.SuspicionMaxTimeoutMult = 3, 2
	config.GossipInterval, config.PushPullInterval, config.GossipToTheDeadTime = 100*time.Millisecond, 10*time.Second, 10*time.Second
	config.DeadNodeReclaimTime = time.Second // after this time a name may return at another address
	t.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: t.fleetSize}
	if t.list, err = memberlist.Create(config); err != nil {
		sockets.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.rejoinSeeds(ctx)
	return t, nil
}

// accept serves an incoming link from another gateway.
func (t *Transport) accept(c net.Conn) {
	if err := t.links.Accept(c); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.log.Debug("link", zap.Error(err))
	}
}

// Join exchanges state with all seeds at once, and returns how many have answered within limit.
func (t *Transport) Join(limit time.Duration) int {
	var wg sync.WaitGroup
	var n atomic.Int64
	for _, s := range t.Seeds() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if k, err := t.list.Join([]string{s}); err == nil {
				n.Add(int64(k))
			}
		}()
	}
	all := make(chan struct{})
	go func() { wg.Wait(); close(all) }()
	select {
	case <-all:
	case <-time.After(limit):
	}
	return int(n.Load())
}

// Seeds returns the gateways to contact first: those that follow this one in the sorted list of seeds, at most maxJoinSeeds, so
// that when a large fleet starts at once, no gateway is contacted by all others.
func (t *Transport) Seeds() []string {
	all := slices.Sorted(slices.Values(t.opts.Seeds))
	at, _ := slices.BinarySearch(all, t.opts.Bind)
	var out []string
	for i := range all {
		if s := all[(at+i)%len(all)]; s != t.opts.Bind && len(out) < maxJoinSeeds {
			out = append(out, s)
		}
	}
	return out
}

// rejoinSeeds contacts, once every rejoinInterval, the seeds that are not known to be alive. This is how two parts of a fleet find
// each other after a partition, or if they started separately.
func (t *Transport) rejoinSeeds(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(rejoinInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		alive := map[string]bool{t.opts.Bind: true}
		for _, addr := range t.aliveAddrs() {
			alive[addr] = true
		}
		for _, s := range t.Seeds() {
			if !alive[s] {
				t.list.Join([]string{s})
			}
		}
	}
}

// Announce changes this gateway's metadata and sends it to the others.
func (t *Transport) Announce(metadata Metadata) {
	t.metadata.Store(&metadata)
	go t.list.UpdateNode(leaveTimeout)
}

// Renumber reopens the links to the others under another incarnation number of this process.
func (t *Transport) Renumber(incarnation uint64) { t.links.Renumber(incarnation) }

// Broadcast queues a message to all gateways, without blocking. It returns false if the message is too large or the queue full.
func (t *Transport) Broadcast(message []byte) bool {
	if len(message) > maxBroadcast || t.queue.NumQueued() >= maxQueued {
		t.dropped.Add(1)
		return false
	}
	t.queue.QueueBroadcast(broadcast(message))
	return true
}

// Links returns the statistics of the links.
func (t *Transport) Links() link.Stats { return t.links.Stats() }

// Dropped returns the number of broadcasts that were too large or found the queue full.
func (t *Transport) Dropped() uint64 { return t.dropped.Load() }

// Close shuts the transport down. If announce is set, it first announces that this gateway leaves, so that the others do not
// take it for failed.
func (t *Transport) Close(announce bool) {
	t.stop()
	<-t.done
	if announce {
		c := *t.metadata.Load()
		c.State = Draining
		t.metadata.Store(&c)
		t.list.UpdateNode(leaveTimeout)
		t.list.Leave(leaveTimeout)
	}
	t.links.Close()
	t.list.Shutdown()
}
