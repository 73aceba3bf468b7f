package mqtt

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	connectTimeout = 2 * time.Second // until CONNACK, and if there are subscriptions until SUBACK
	minBackoff     = 100 * time.Millisecond
	maxBackoff     = 10 * time.Second
	maxQueued      = 2048    // messages in the queue, sent or not
	maxQueuedBytes = 8 << 20 // bytes of these messages
	reservedBytes  = 1 << 20 // bytes of messages without a payload beyond that, such as failures
	sendWindow     = 256     // messages sent and not yet acknowledged at most; fewer if the broker sets a lower limit
	receiveMax     = 64      // messages that the broker may have sent and we have not acknowledged, at most
)

// Options are the settings of a session.
type Options struct {
	Broker        string
	ClientID      string
	Subscribe     []string
	CleanStart    bool          // start a new session with each connection: messages not acknowledged are given up, not sent again
	SessionExpiry time.Duration // how long the broker stores a session that is not clean
	KeepAlive     time.Duration
	MaxPacket     int // bytes of a packet that is accepted at most, as the broker is told in CONNECT; 0 stands for maxPacket
}

// Errors with which a message ends: errLost if its connection was lost, errFull if the queue has no room for it, errExpired if it
// was no longer useful when it could have been sent, errTooLong if the broker takes no packet of its size, errStopped if the session
// was stopped first.
var (
	errLost    = errors.New("connection lost")
	errFull    = errors.New("message queue is full")
	errExpired = errors.New("message expired before it could be sent")
	errTooLong = errors.New("message exceeds the broker's limit")
	errStopped = errors.New("session was stopped before the broker acknowledged the message")
)

// Session is a client's session with a broker. It reconnects after each loss. It is used on the event loop only.
type Session struct {
	loop   *core.Loop
	dialer sock.Dialer
	opts   Options
	log    *zap.Logger

	onPublish func(*Packet, Receipt) // called for each PUBLISH received
	onState   func(up bool)          // called when the session becomes usable or unusable; may be nil

	connSeq       uint64 // number of the current connection; callbacks of earlier ones are ignored
	conn          sock.Conn
	up            bool
	subscribing   bool // SUBACK is awaited, until connectTimeout
	stopped       bool
	watchdog      *core.Deadline // first for connectTimeout, then for silence of the broker
	pingTimer     *core.Deadline
	reconnect     *core.Deadline // the next attempt to connect; nil while none is scheduled
	backoff       time.Duration  // pause before the next attempt to connect after a loss
	maxBackoff    time.Duration
	lostAt        time.Duration // when the broker was lost; 0 while it is not
	out           []byte        // packets to be written by Flush
	maxInFlight   int           // limit of sent: sendWindow, or less if CONNACK states a lower one; 0 before CONNACK
	maxPacketSize int           // bytes of a packet that the broker takes at most
	packetID      uint16
	queue         []*Pending // in order: first those sent, then those to be sent
	sent          int        // how many messages of the queue have been sent on this connection
	queuedBytes   int
}

// Receipt acknowledges a PUBLISH, but only on the connection on which it arrived: after a loss the broker delivers it again.
type Receipt struct {
	session  *Session
	connSeq  uint64
	packetID uint16
}

// Ack acknowledges the message. The acknowledgement is written by the next Flush. It reports whether the message is settled, as the
// acknowledgement could be written or none is due; otherwise the broker delivers the message again.
func (r Receipt) Ack() bool {
	if r.packetID == 0 {
		return true
	}
	if r.session.connSeq != r.connSeq || r.session.conn == nil {
		return false
	}
	r.session.write(AppendPuback(nil, r.packetID, Success))
	return true
}

// NewSession returns a session that passes messages to onPublish and changes of Up to onState.
func NewSession(loop *core.Loop, dialer sock.Dialer, opts Options, onPublish func(*Packet, Receipt), onState func(bool),
	log *zap.Logger) *Session {
	if opts.MaxPacket == 0 {
		opts.MaxPacket = maxPacket
	}
	return &Session{loop: loop, dialer: dialer, opts: opts, log: log, onPublish: onPublish, onState: onState, backoff: minBackoff,
		maxBackoff: maxBackoff}
}

// Connect connects to the broker.
func (s *Session) Connect() {
	s.reconnect = nil
	if s.stopped {
		return
	}
	s.connSeq++
	connSeq := s.connSeq
	s.watchdog = s.loop.After(connectTimeout, func() { s.fail(connSeq, errors.New("connect timed out")) })
	s.dialer.Dial(s.opts.Broker, connectTimeout, &connHandler{session: s, connSeq: connSeq, parser: Parser{MaxPacket: s.opts.MaxPacket}}, func(c sock.Conn, err error) {
		s.loop.Post(func() { s.opened(connSeq, c, err) })
	})
}

// ReconnectSoon has the session connect again within minBackoff after each failure from now on, also after one that has happened.
func (s *Session) ReconnectSoon() {
	s.backoff, s.maxBackoff = minBackoff, minBackoff
	if s.reconnect != nil {
		s.loop.Cancel(s.reconnect)
		s.reconnect = s.loop.After(minBackoff, s.Connect)
	}
}

// Stop closes the connection and does not connect again.
func (s *Session) Stop() {
	if s.conn != nil {
		s.write(Append(nil, Disconnect, 0, nil))
		s.Flush()
	}
	s.stopped = true
	s.fail(s.connSeq, errors.New("stopped"))
}

// Up reports whether the session is usable.
func (s *Session) Up() bool { return s.up }

func (s *Session) write(b []byte) {
	if len(s.out) == 0 {
		s.loop.DeferFlush(s.Flush)
	}
	s.out = append(s.out, b...)
}

// Flush writes what has been queued in this loop iteration. It is also called at the end of each iteration.
func (s *Session) Flush() {
	out := s.out
	s.out = nil
	if s.conn == nil || len(out) == 0 {
		return
	}
	if _, err := s.conn.Write(out); err != nil {
		s.fail(s.connSeq, err)
	}
}
