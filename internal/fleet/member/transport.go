package member

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

const (
	maxWord    = 2 << 20 // bytes of what a gateway tells one that asks
	maxNews    = 1200    // bytes of a piece of news: it has to fit a datagram
	maxAsked   = 16      // gateways that one asks when it starts
	maxWaiting = 1024    // pieces of news that wait to be told
	retryEvery = time.Second
	leaveLimit = 300 * time.Millisecond
)

// Options say where and with whom a gateway is.
type Options struct {
	Fleet string   // its name; who names another one is not heard
	Bind  string   // host:port for datagrams and connections
	Seeds []string // host:port of gateways to begin with; this one's own may be among them
	Self  Card
}

// Handler is told what comes in, on the transport's goroutines; it must not block. Word is asked for what to tell a gateway
// that asks; it returns what was posted last.
type Handler interface {
	Event(Event)
	Heard(word []byte)   // what another gateway knows, in answer or unasked
	News(what []byte)    // a piece of news
	Word() []byte        // what this gateway knows
	Trouble(what string) // something that operators should know
}

// Transport is this process's place among the others.
type Transport struct {
	list  *memberlist.Memberlist
	queue *memberlist.TransmitLimitedQueue
	h     Handler
	log   *zap.Logger
	o     Options
	card  atomic.Pointer[Card]
	stop  context.CancelFunc
	done  chan struct{}
	lost  atomic.Uint64 // pieces of news that found no room
	said  sync.Map      // troubles that were told already
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
	c.Logger = log.New(&lines{t: t}, "", 0)
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
		return nil, fmt.Errorf("member: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.stop = stop
	go t.keep(ctx)
	return t, nil
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
		there := map[string]bool{}
		for _, m := range t.list.Members() {
			there[m.Address()] = true
		}
		for _, s := range t.Seeds() {
			if !there[s] {
				t.list.Join([]string{s})
			}
		}
	}
}

// Say changes what this gateway says of itself.
func (t *Transport) Say(c Card) {
	t.card.Store(&c)
	go t.list.UpdateNode(leaveLimit)
}

// Tell passes a piece of news on to all, without waiting. It reports whether there was room.
func (t *Transport) Tell(what []byte) bool {
	if len(what) > maxNews || t.queue.NumQueued() >= maxWaiting {
		t.lost.Add(1)
		return false
	}
	t.queue.QueueBroadcast(news(what))
	return true
}

// Send tells a piece of news to each of the others over a connection, off the caller's goroutine: for what must not be late.
// Gossip reaches all in the end, but one in nine only after two seconds now and then. It is told as well, for who is not
// reached so.
func (t *Transport) Send(what []byte) bool {
	for _, m := range t.list.Members() {
		if m.Name != t.o.Self.Name {
			go t.list.SendReliable(m, what)
		}
	}
	return t.Tell(what)
}

// Lost is the number of pieces of news that found no room.
func (t *Transport) Lost() uint64 { return t.lost.Load() }

// Ask exchanges what is known with another gateway that is there. It reports whether one has answered.
func (t *Transport) Ask() bool {
	for _, m := range t.list.Members() {
		if m.Name != t.o.Self.Name {
			if n, err := t.list.Join([]string{m.Address()}); err == nil && n > 0 {
				return true
			}
		}
	}
	return false
}

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
	t.list.Shutdown()
}

// news is a piece of news on its way.
type news []byte

func (n news) Invalidates(memberlist.Broadcast) bool { return false }
func (n news) Message() []byte                       { return n }
func (n news) Finished()                             {}

// What memberlist asks and tells.

// NodeMeta returns this gateway's card.
func (t *Transport) NodeMeta(limit int) []byte {
	b, err := msgpack.Marshal(t.card.Load())
	if err != nil || len(b) > limit {
		t.trouble(fmt.Sprintf("a card of %d bytes is not told", len(b)))
		return nil
	}
	return b
}

// NotifyMsg takes a piece of news.
func (t *Transport) NotifyMsg(b []byte) {
	if len(b) > maxNews {
		return
	}
	t.h.News(append([]byte(nil), b...))
}

// GetBroadcasts returns the news that goes with the next datagram.
func (t *Transport) GetBroadcasts(overhead, limit int) [][]byte {
	return t.queue.GetBroadcasts(overhead, limit)
}

// LocalState returns what this gateway knows.
func (t *Transport) LocalState(bool) []byte {
	b := t.h.Word()
	if len(b) > maxWord {
		t.trouble(fmt.Sprintf("what is known takes %d bytes and is not told", len(b)))
		return nil
	}
	return b
}

// MergeRemoteState takes what another one knows.
func (t *Transport) MergeRemoteState(b []byte, _ bool) {
	switch {
	case len(b) == 0:
	case len(b) > maxWord:
		t.trouble(fmt.Sprintf("what another gateway knows takes %d bytes and is not heard", len(b)))
	default:
		t.h.Heard(append([]byte(nil), b...))
	}
}

func (t *Transport) event(n *memberlist.Node, found State) {
	c, err := cardOf(n)
	if err != nil {
		t.trouble(err.Error())
		return
	}
	e := Event{Card: c, State: c.State}
	if found != Joining {
		e.State = found
	}
	t.h.Event(e)
}

func cardOf(n *memberlist.Node) (c Card, err error) {
	if err := msgpack.Unmarshal(n.Meta, &c); err != nil {
		return c, fmt.Errorf("member: what %s says of itself is not understood: %w", n.Name, err)
	}
	if c.Name != n.Name {
		return c, fmt.Errorf("member: %s says that it is %s", n.Name, c.Name)
	}
	return c, c.Check()
}

// NotifyJoin, NotifyUpdate and NotifyLeave take what has become of another gateway.
func (t *Transport) NotifyJoin(n *memberlist.Node)   { t.event(n, Joining) }
func (t *Transport) NotifyUpdate(n *memberlist.Node) { t.event(n, Joining) }
func (t *Transport) NotifyLeave(n *memberlist.Node) {
	if c, err := cardOf(n); err == nil && c.State == Draining { // it has said so before; memberlist does not tell the two apart here
		t.event(n, Left)
	} else {
		t.event(n, Gone)
	}
}

// NotifyConflict hears that two processes have one name at two addresses.
func (t *Transport) NotifyConflict(a, b *memberlist.Node) {
	for _, n := range []*memberlist.Node{a, b} {
		if n.Name == t.o.Self.Name {
			t.event(n, Joining)
		}
	}
	t.trouble(fmt.Sprintf("the name %s is at %s and at %s", a.Name, a.Address(), b.Address()))
}

// NotifyAlive refuses who can't be understood.
func (t *Transport) NotifyAlive(n *memberlist.Node) error {
	_, err := cardOf(n)
	if err != nil {
		t.trouble(err.Error())
	}
	return err
}

// trouble tells something once.
func (t *Transport) trouble(what string) {
	if _, told := t.said.LoadOrStore(what, true); !told {
		t.h.Trouble(what)
	}
}

// lines takes memberlist's own log. What it calls errors are mostly peers that are not there.
type lines struct{ t *Transport }

func (l *lines) Write(b []byte) (int, error) {
	text := strings.TrimSpace(string(b))
	switch {
	case strings.Contains(text, "label"): // another fleet, or nobody's
		l.t.trouble("a message of another fleet is not heard")
	case strings.HasPrefix(text, "[ERR]"), strings.HasPrefix(text, "[WARN]"):
		l.t.log.Debug(text)
	}
	return len(b), nil
}

var _ io.Writer = (*lines)(nil)
