package httpfront

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/sock"
)

const (
	idleLimit   = 30 * time.Second        // a connection with no open request
	readLimit   = 2500 * time.Millisecond // for a connection's first request, and for the rest of one that has begun
	slowLimit   = 15 * time.Second        // for the client to take an answer
	lingerLimit = 500 * time.Millisecond  // and
	lingerBytes = 4 << 20                 // for what still comes on a connection whose last answer has been given
	pipelined   = 4                       // requests that may wait on one connection behind the open one

	awayIdle  = 500 * time.Millisecond  // sent away, a client's connection may do nothing for so long,
	awayTake  = 1800 * time.Millisecond // and calls are taken for so long after the drain has begun
	awayPause = time.Second             // then clients are told to come back after this

	relieveEvery = 10 * time.Millisecond  // pace at which room is made while no more connections can be accepted, of
	relieveMost  = 8                      // so many at once; then
	halfLimit    = 250 * time.Millisecond // half a request may stay so long
	youngLimit   = 100 * time.Millisecond // and what has said nothing yet so long, also while there are places
	slowTurn     = 2 * time.Second        // and the client that reads slowest for so long
)

const notReadyFields = "Srv-Wait-Ms: 100\r\n"

var errSpilt = errors.New("more input than is worth discarding")

// Taker is the part of the core that a front needs.
type Taker interface {
	Submit(core.Call) core.Ref
	ClientGone(core.Ref)
	Count(class int, answer string) // of a call that the front has answered
}

// Front answers HTTP clients. Its connections are a table of slots, touched on the turn alone.
type Front struct {
	loop    *core.Loop
	core    Taker
	set     *settings.Site
	log     *zap.Logger
	conns   *core.Table[*conn]
	mayHold int // bytes kept for clients that read slowly, all together,
	held    int // and as many are
	limit   int // connections that find a place
	soft    int // of them, from which on a new one takes the place of one that does nothing
	ready   bool
	closing bool
	away    bool           // drained: /check says no
	parting bool           // connections are ended with their next answer, or where nothing happens
	shut    bool           // and no call of theirs is taken any more
	turn    *core.Deadline // of the drain's next step
	relief  *core.Deadline // set while all places are taken
}

// New returns a front that holds at most limit connections, and from two thirds of it on as few idle ones as it can:
// clients that hold theirs for good must not use up what the platform lets clients connect.
// mayHold bounds the bytes that are kept for clients that read slowly, all together.
func New(loop *core.Loop, set *settings.Site, limit, mayHold int, log *zap.Logger) *Front {
	return &Front{loop: loop, set: set, log: log, conns: core.NewTable[*conn](limit), limit: limit, soft: max(1, limit*2/3),
		mayHold: mayHold}
}

// Serve makes the front answer: /check is 200 from now on.
func (f *Front) Serve(c Taker) { f.core, f.ready = c, true }

// Conns is the number of connections that are open.
func (f *Front) Conns() int { return f.conns.Len() }

// Ready reports whether clients are told to come.
func (f *Front) Ready() bool { return f.ready && !f.away && !f.closing }

// Drain sends clients away: /check answers no, answers end their connection, and connections on which nothing
// happens are closed once the platform has stopped sending new ones. Until awayTake calls that still come are taken.
func (f *Front) Drain() {
	if f.away {
		return
	}
	f.away, f.parting = true, true
	f.turn = f.loop.After(awayIdle, func() {
		f.dropIdle()
		f.turn = f.loop.After(awayTake-awayIdle, func() {
			f.shut = true
			f.dropIdle()
		})
	})
}

// Unready has /check answer no from now on; calls are taken as ever.
func (f *Front) Unready() { f.away = true }

// Leave ends the clients' connections without sending them away: another process of the gateway has the next ones.
func (f *Front) Leave() {
	f.loop.Cancel(f.turn)
	f.parting = true
	f.turn = f.loop.After(awayIdle, f.dropIdle)
}

// Resume takes clients again, from wherever the drain has got to.
func (f *Front) Resume() {
	f.loop.Cancel(f.turn)
	f.away, f.parting, f.shut = false, false, false
}

// dropIdle closes what has no request open. Half a request gets an answer once no more are taken.
func (f *Front) dropIdle() {
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.open != nil || c.last || c.slow || c.waits():
		case !c.busy:
			c.part(frontLeaves)
		case f.shut:
			c.spill = true
			c.respond(503, awayFields, nil, true)
		}
	})
}

var awayFields = fmt.Sprintf("Srv-Wait-Ms: %d\r\n", awayPause.Milliseconds())

// Closing has every connection closed once its open request is answered.
func (f *Front) Closing() {
	f.closing = true
	f.conns.Each(func(_ core.Ref, c *conn) {
		if c.open != nil {
			return
		}
		if c.waits() { // behind an answer that its client has not taken
			return
		}
		switch c.last = c.last || c.slow || len(c.out) > 0; {
		case c.last: // an answer still has to go out
		case c.busy: // the rest of its request comes too late
			c.spill = true
			c.respond(503, awayFields, nil, true)
		default:
			c.part(frontLeaves)
		}
	})
}

// Held is how many bytes of answers wait for clients that read slowly, as of when each answer was given.
func (f *Front) Held() int { return f.held }

// Accept takes a new connection; called on an I/O goroutine.
func (f *Front) Accept(s sock.Conn) sock.Handler {
	c := &conn{f: f, sock: s, fresh: true}
	f.loop.Post(c.opened)
	return c
}

// makeRoom closes the oldest of the connections that have asked nothing yet, or the one that is idle longest,
// whichever are more: neither a crowd of silent clients pushes out the usual ones, nor the other way round. A request that
// crosses the close is answered. Where all places are taken, half a request is turned away with an answer.
func (f *Front) makeRoom(full bool) {
	var oldest [2]*conn
	var count [2]int
	f.conns.Each(func(_ core.Ref, o *conn) {
		age := f.loop.Now() - o.restedAt
		if !o.free() || o.parts || len(o.out) > 0 || o.busy && !(full && age >= halfLimit) {
			return
		}
		kind := 0
		if o.fresh {
			kind = 1
		}
		count[kind]++
		young := o.fresh && age < youngLimit
		if !young && (oldest[kind] == nil || o.timer.Before(oldest[kind].timer)) {
			oldest[kind] = o
		}
	})
	victim := oldest[0]
	if count[1] > count[0] {
		victim = oldest[1]
	}
	switch {
	case victim == nil:
	case victim.busy:
		victim.spill = true
		victim.respond(503, awayFields, nil, true)
	default:
		victim.part(madeRoom)
	}
}

// relieve makes room while all places are taken: further connections wait to be accepted until one here is free.
func (f *Front) relieve() {
	if f.conns.Len() < f.limit || f.relief != nil {
		return
	}
	f.relief = f.loop.After(relieveEvery, func() {
		f.relief = nil
		if f.conns.Len() < f.limit {
			return
		}
		for range relieveMost {
			f.makeRoom(true)
		}
		if slow := f.slowest(nil); slow != nil && f.loop.Now()-slow.restedAt >= slowTurn {
			f.log.Warn("a client that reads slowly was cut off, since others wait for its place")
			slow.drop(readsSlowly)
		}
		f.relieve()
	})
}

// idle is how long a connection on which nothing happens is kept.
func (f *Front) idle(usual time.Duration) time.Duration {
	if f.parting {
		return awayIdle
	}
	return usual
}
