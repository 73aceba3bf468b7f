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
	maxState     = 2 << 20 // bytes of what a gateway tells one that asks
	maxBroadcast = 1200    // bytes of a piece of news: it has to fit a datagram
	maxAsked     = 16      // gateways that one asks when it starts
	maxWaiting   = 1024    // pieces of news that wait to be told
	retryEvery   = time.Second
	leaveLimit   = 300 * time.Millisecond
)

// Options say where and with whom a gateway is.
type Options struct {
	Fleet string            // its name; who names another one is not heard
	Bind  string            // host:port for datagrams and connections
	Seeds []string          // host:port of gateways to begin with; this one's own may be among them
	Via   map[string]string // where gateways are reached that are not at the address they name: that address, the other one
	Self  Metadata

	Network Network // nil for the machine's own
}

// Handler is told what comes in, on the transport's goroutines; it must not block. LocalState is asked for what to tell a gateway
// that asks; it returns what was posted last.
type Handler interface {
	Event(Event)
	RemoteState(state []byte)                              // what another gateway knows, in answer or unasked
	Broadcast(message []byte)                              // a piece of news, told to all
	Message(from link.Hello, m link.Message, taken func()) // told to this gateway; taken once it has been dealt with
	LocalState() []byte                                    // what this gateway knows
	Trouble(what string)                                   // something that operators should know
}

// Transport is this process's place among the others.
type Transport struct {
	list    *memberlist.Memberlist
	queue   *memberlist.TransmitLimitedQueue
	links   *link.Net
	sockets *sharedTransport
	addrs   sync.Map // by name, the place of every gateway that was ever heard of: memberlist changes its own nodes as it goes
	h       Handler
	log     *zap.Logger
	o       Options
	card    atomic.Pointer[Metadata]
	stop    context.CancelFunc
	done    chan struct{}
	lost    atomic.Uint64 // pieces of news that found no room
	said    sync.Map      // troubles that were told already
}

// Open takes the place. It does not wait for anybody: Join does.
func Open(o Options, h Handler, z *zap.Logger) (*Transport, error) {
	host, port, err := net.SplitHostPort(o.Bind)
	if err != nil {
		return nil, fmt.Errorf("member: bind: %w", err)
	}
	n, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("member: bind: port %q", port)
	}
	t := &Transport{h: h, log: z, o: o, done: make(chan struct{})}
	t.card.Store(&o.Self)
	c := memberlist.DefaultLANConfig()
	c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = o.Self.Name, host, int(n), host, int(n)
	sum := sha256.Sum256([]byte(o.Fleet))
	c.Label = fmt.Sprintf("quillrail-%x", sum[:8])
	c.Delegate, c.Events, c.Conflict, c.Alive = t, t, t, t
	c.Logger = log.New(&logWriter{t: t}, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: int(n), Logger: c.Logger})
	if err != nil {
		return nil, fmt.Errorf("member: %w", err)
	}
	var w *sharedTransport
	hello := link.Hello{Fleet: o.Fleet, Name: o.Self.Name, Life: o.Self.Life.N, Major: Major, Minor: Minor}
	t.links = link.New(hello, func(addr string, limit time.Duration) (net.Conn, error) {
		return w.dial(addr, limit)
	}, h.Message)
	w = newSharedTransport(inner, net.ParseIP(host), o, t.accept)
	c.Transport, t.sockets = w, w
	c.TCPTimeout, c.ProbeTimeout, c.ProbeInterval = 500*time.Millisecond, 300*time.Millisecond, 700*time.Millisecond
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2
	c.GossipInterval, c.PushPullInterval, c.GossipToTheDeadTime = 100*time.Millisecond, 10*time.Second, 10*time.Second
	c.DeadNodeReclaimTime = time.Second // a name may come back at another address
	t.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: func() int {
		if t.list == nil {
			return 1
		}
		return t.list.NumMembers()
	}}
	if t.list, err = memberlist.Create(c); err != nil {
		w.Shutdown()
		return nil, fmt.Errorf("member: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.keep(ctx)
	return t, nil
}

// accept serves a link from another gateway.
func (t *Transport) accept(c net.Conn) {
	if err := t.links.Accept(c); err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) {
		t.log.Debug("link", zap.Error(err))
	}
}

// Join asks the seeds, all at once, and returns how many have answered by limit.
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

// Seeds are the gateways to ask first: those that follow this one in the list of them, at most maxAsked, so that in a large
// fleet that starts at once nobody is asked by all.
func (t *Transport) Seeds() []string {
	all := slices.Sorted(slices.Values(t.o.Seeds))
	at, _ := slices.BinarySearch(all, t.o.Bind)
	var out []string
	for i := range all {
		if s := all[(at+i)%len(all)]; s != t.o.Bind && len(out) < maxAsked {
			out = append(out, s)
		}
	}
	return out
}

// keep asks seeds that are not known to be there, again and again: two parts of a fleet that were cut from each other, or
// began apart, find each other so.
func (t *Transport) keep(ctx context.Context) {
	defer close(t.done)
	tick := time.NewTicker(retryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		there := map[string]bool{t.o.Bind: true}
		for _, addr := range t.there() {
			there[addr] = true
		}
		for _, s := range t.Seeds() {
			if !there[s] {
				t.list.Join([]string{s})
			}
		}
	}
}

// Say changes what this gateway says of itself.
func (t *Transport) Say(c Metadata) {
	t.card.Store(&c)
	go t.list.UpdateNode(leaveLimit)
}

// Renumber has the links to the others begin anew under another number of this process's life.
func (t *Transport) Renumber(life uint64) { t.links.Renumber(life) }

// Broadcast passes a message on to all, without waiting. It reports whether there was room.
func (t *Transport) Broadcast(what []byte) bool {
	if len(what) > maxBroadcast || t.queue.NumQueued() >= maxWaiting {
		t.lost.Add(1)
		return false
	}
	t.queue.QueueBroadcast(broadcast(what))
	return true
}

// Links are the figures of the links.
func (t *Transport) Links() link.Stats { return t.links.Stats() }

// Lost is the number of pieces of news that found no room.
func (t *Transport) Lost() uint64 { return t.lost.Load() }

// Close leaves the fleet. With word the others are told, and know that this gateway has not failed.
func (t *Transport) Close(word bool) {
	t.stop()
	<-t.done
	if word {
		c := *t.card.Load()
		c.State = Draining
		t.card.Store(&c)
		t.list.UpdateNode(leaveLimit)
		t.list.Leave(leaveLimit)
	}
	t.links.Close()
	t.list.Shutdown()
}
