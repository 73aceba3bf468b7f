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
	idleTimeout    = 30 * time.Second        // for a connection without a request in flight
	readTimeout    = 2500 * time.Millisecond // for the first request of a connection, and for the rest of a request that has begun
	writeTimeout   = 15 * time.Second        // for the client to read an answer
	lingerTimeout  = 500 * time.Millisecond  // how long input after the last answer is read and discarded before the close
	maxLingerBytes = 4 << 20                 // bytes of such input at most
	maxPipelined   = 4                       // requests that may queue on a connection behind the one in flight

	drainIdleTimeout  = 500 * time.Millisecond  // while draining or handing over, for connections without a request in flight
	drainAcceptPeriod = 1800 * time.Millisecond // after the start of a drain; calls that still arrive within it are taken
	drainRetryAfter   = time.Second             // time to wait (Srv-Wait-Ms) that is sent to clients refused while draining

	makeRoomInterval     = 10 * time.Millisecond  // time between two attempts to close connections while all connection slots are taken
	makeRoomBatch        = 8                      // idle connections that one such attempt closes at most
	partialRequestMinAge = 250 * time.Millisecond // a partial request may be refused to make room after this time
	newConnMinAge        = 100 * time.Millisecond // a new connection without a request may be closed to make room after this time
	slowReaderMinAge     = 2 * time.Second        // the slowest reader is disconnected to make room after this time
)

const notReadyHeader = "Srv-Wait-Ms: 100\r\n"

var errTooMuchInput = errors.New("more input after the last answer than is discarded")

// Core is the part of the gateway's core that a front needs.
type Core interface {
	Submit(core.Call) core.Ref
	ClientGone(core.Ref)
	Count(class int, answer string) // counts a call that the front has answered by itself
}

// Front answers HTTP clients. All its fields and connections are used on the event loop only.
type Front struct {
	loop          *core.Loop
	core          Core
	site          *settings.Site
	log           *zap.Logger
	conns         *core.Table[*conn]
	maxUnsent     int            // limit of the bytes that wait for clients that read slowly, over all connections
	unsent        int            // bytes that wait for such clients
	maxConns      int            // size of the connection table
	softMaxConns  int            // from this many connections on, a new one closes one that is idle
	serving       bool           // Serve has been called
	shuttingDown  bool           // the process ends: connections are closed after the request in flight
	unready       bool           // /check answers 503
	endingConns   bool           // connections are closed after their next answer, or when idle
	refusing      bool           // the drain's accept period is over: calls are refused
	drainTimer    *core.Deadline // next step of the drain or hand-over
	makeRoomTimer *core.Deadline // set while all connection slots are taken
}

// New returns a front that holds at most maxConns connections. Above two thirds of them, each new connection closes an idle
// one: clients that never close their connections must not use up the number that the platform allows.
// maxUnsent limits the bytes that wait for clients that read slowly, over all connections.
func New(loop *core.Loop, site *settings.Site, maxConns, maxUnsent int, log *zap.Logger) *Front {
	return &Front{loop: loop, site: site, log: log, conns: core.NewTable[*conn](maxConns), maxConns: maxConns,
		softMaxConns: max(1, maxConns*2/3), maxUnsent: maxUnsent}
}

// Serve starts to pass calls to c. From now on /check answers 200.
func (f *Front) Serve(c Core) { f.core, f.serving = c, true }

// Conns is the number of open connections.
func (f *Front) Conns() int { return f.conns.Len() }

// Ready reports whether clients should send further calls: the front serves, and is neither draining nor shutting down.
func (f *Front) Ready() bool { return f.serving && !f.unready && !f.shuttingDown }

// Drain makes clients go elsewhere: /check answers 503 and every answer closes its connection. Idle connections are closed
// after drainIdleTimeout, when the platform has stopped sending new ones. Calls are taken until drainAcceptPeriod is over.
func (f *Front) Drain() {
	if f.unready {
		return
	}
	f.unready, f.endingConns = true, true
	f.drainTimer = f.loop.After(drainIdleTimeout, func() {
		f.closeIdle()
		f.drainTimer = f.loop.After(drainAcceptPeriod-drainIdleTimeout, func() {
			f.refusing = true
			f.closeIdle()
		})
	})
}

// Unready makes /check answer 503 from now on. Calls are taken as before.
func (f *Front) Unready() { f.unready = true }

// HandOver closes the connections of clients after their next answer or when idle. It does not change the answer to /check,
// since another process of the gateway accepts the next connections.
func (f *Front) HandOver() {
	f.loop.Cancel(f.drainTimer)
	f.endingConns = true
	f.drainTimer = f.loop.After(drainIdleTimeout, f.closeIdle)
}

// Resume ends a drain or hand-over, whichever step it has reached.
func (f *Front) Resume() {
	f.loop.Cancel(f.drainTimer)
	f.unready, f.endingConns, f.refusing = false, false, false
}

// closeIdle closes connections without a request in flight. A partial request is answered with 503 once calls are refused.
func (f *Front) closeIdle() {
	f.conns.Each(func(_ core.Ref, c *conn) {
		switch {
		case c.current != nil || c.closeAfterWrite || c.slowReader || c.hasPending():
		case !c.partial:
			c.closeIfIdle(frontClosing)
		case f.refusing:
			c.linger = true
			c.writeResponse(503, drainHeader, nil, true)
		}
	})
}

var drainHeader = fmt.Sprintf("Srv-Wait-Ms: %d\r\n", drainRetryAfter.Milliseconds())

// Shutdown closes every connection after its request in flight is answered.
func (f *Front) Shutdown() {
	f.shuttingDown = true
	f.conns.Each(func(_ core.Ref, c *conn) {
		if c.current != nil {
			return
		}
		if c.hasPending() { // these come after an answer that the client has not read yet
			return
		}
		switch c.closeAfterWrite = c.closeAfterWrite || c.slowReader || len(c.out) > 0; {
		case c.closeAfterWrite: // an answer is still to be written
		case c.partial: // the rest of its request comes too late
			c.linger = true
			c.writeResponse(503, drainHeader, nil, true)
		default:
			c.closeIfIdle(frontClosing)
		}
	})
}

// Unsent is the number of bytes that wait for clients that read slowly, counted per client when its last answer was written.
func (f *Front) Unsent() int { return f.unsent }

// Accept takes a new connection. It is called on an I/O goroutine.
func (f *Front) Accept(s sock.Conn) sock.Handler {
	c := &conn{front: f, sock: s, noRequestYet: true}
	f.loop.Post(c.opened)
	return c
}

// makeRoom closes a connection without a request in flight. Connections that have not sent a request yet and those that have
// are counted, and the oldest of the larger group is closed, so that neither many silent clients displace the regular ones nor the
// other way round. If a request arrives while the connection closes, it is answered. If full is set, a connection with a partial
// request can be chosen as well: it is answered with 503.
func (f *Front) makeRoom(full bool) {
	var oldest [2]*conn
	var sizes [2]int
	f.conns.Each(func(_ core.Ref, o *conn) {
		age := f.loop.Now() - o.timerSetAt
		if !o.free() || o.closePending || len(o.out) > 0 || o.partial && !(full && age >= partialRequestMinAge) {
			return
		}
		group := 0
		if o.noRequestYet {
			group = 1
		}
		sizes[group]++
		young := o.noRequestYet && age < newConnMinAge
		if !young && (oldest[group] == nil || o.timer.Before(oldest[group].timer)) {
			oldest[group] = o
		}
	})
	chosen := oldest[0]
	if sizes[1] > sizes[0] {
		chosen = oldest[1]
	}
	switch {
	case chosen == nil:
	case chosen.partial:
		chosen.linger = true
		chosen.writeResponse(503, drainHeader, nil, true)
	default:
		chosen.closeIfIdle(madeRoom)
	}
}

// scheduleMakeRoom makes room while all connection slots are taken. Further connections are not accepted until a slot is free.
func (f *Front) scheduleMakeRoom() {
	if f.conns.Len() < f.maxConns || f.makeRoomTimer != nil {
		return
	}
	f.makeRoomTimer = f.loop.After(makeRoomInterval, func() {
		f.makeRoomTimer = nil
		if f.conns.Len() < f.maxConns {
			return
		}
		for range makeRoomBatch {
			f.makeRoom(true)
		}
		if slow := f.slowestReader(nil); slow != nil && f.loop.Now()-slow.timerSetAt >= slowReaderMinAge {
			f.log.Warn("a client that reads slowly was cut off, since others wait for its place")
			slow.closeNow(readTooSlowly)
		}
		f.scheduleMakeRoom()
	})
}

// idleTime is how long a connection may be idle: usual, or less while connections are ended.
func (f *Front) idleTime(usual time.Duration) time.Duration {
	if f.endingConns {
		return drainIdleTimeout
	}
	return usual
}
