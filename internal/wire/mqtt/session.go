package mqtt

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	connectLimit = 2 * time.Second // until CONNACK and SUBACK have come
	retryFirst   = 100 * time.Millisecond
	retryMost    = 10 * time.Second
	maxOutgoing  = 2048    // messages that wait to be sent or acknowledged
	maxWaiting   = 8 << 20 // and their bytes
	window       = 256     // of them sent and not acknowledged, or fewer where the broker says so
	receiveMax   = 64      // messages that the broker may have out to us
)

// Options are what a session is told.
type Options struct {
	Broker    string
	ClientID  string
	Subscribe []string
	Clean     bool          // start anew with each connection: what was not acknowledged is given up, not sent again
	Expiry    time.Duration // how long the broker keeps a session that is not clean
	KeepAlive time.Duration
}

// errLost is the end of a message that was out when its connection was lost, errFull of one that found no room, errExpired of
// one that was of no use any more when it could have been sent.
var (
	errLost    = errors.New("connection lost")
	errFull    = errors.New("too many messages wait")
	errExpired = errors.New("no time is left")
)

// Session is a client's session with a broker, over as many connections as it takes. It belongs to the turn.
type Session struct {
	loop *core.Loop
	net  sock.Dialer
	opt  Options
	log  *zap.Logger

	receive func(*Packet, Receipt) // a PUBLISH has come
	state   func(up bool)          // the session is usable, or no longer; may be nil

	try      uint64 // counts connections, against late callbacks
	conn     sock.Conn
	up       bool
	asking   bool // SUBACK is awaited, until the connect limit
	stopped  bool
	watch    *core.Deadline // connect limit, later silence
	ping     *core.Deadline
	backoff  time.Duration
	lost     time.Duration
	out      []byte
	limit    int // of messages out
	largest  int
	packetID uint16
	queue    []*Pending // in order: first those sent, then those that wait
	sent     int
	bytes    int
}

// Receipt lets a PUBLISH be acknowledged, on the connection that brought it only: after a loss the broker
// delivers it again.
type Receipt struct {
	s   *Session
	try uint64
	id  uint16
}

// Ack acknowledges the message. Flush writes it out at once.
func (r Receipt) Ack() {
	if r.id > 0 && r.s.try == r.try && r.s.conn != nil {
		r.s.write(AppendPuback(nil, r.id, Success))
	}
}

// NewSession returns a session that hands what it receives to receive.
func NewSession(loop *core.Loop, net sock.Dialer, opt Options, receive func(*Packet, Receipt), state func(bool),
	log *zap.Logger) *Session {
	return &Session{loop: loop, net: net, opt: opt, log: log, receive: receive, state: state, backoff: retryFirst}
}

// Connect begins.
func (s *Session) Connect() {
	if s.stopped {
		return
	}
	s.try++
	try := s.try
	s.watch = s.loop.After(connectLimit, func() { s.fail(try, errors.New("connect timed out")) })
	s.net.Dial(s.opt.Broker, connectLimit, &intake{s: s, try: try}, func(c sock.Conn, err error) {
		s.loop.Post(func() { s.opened(try, c, err) })
	})
}

// Stop ends the session's connection for good.
func (s *Session) Stop() {
	if s.conn != nil {
		s.write(Append(nil, Disconnect, 0, nil))
		s.Flush()
	}
	s.stopped = true
	s.fail(s.try, errors.New("stopped"))
}

// Up reports whether the session is usable.
func (s *Session) Up() bool { return s.up }

func (s *Session) write(b []byte) {
	if len(s.out) == 0 {
		s.loop.DeferFlush(s.Flush)
	}
	s.out = append(s.out, b...)
}

// Flush writes out what the turn has left. It does so at the end of the turn in any case.
func (s *Session) Flush() {
	out := s.out
	s.out = nil
	if s.conn == nil || len(out) == 0 {
		return
	}
	if _, err := s.conn.Write(out); err != nil {
		s.fail(s.try, err)
	}
}
