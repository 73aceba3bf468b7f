package mqtt

import (
	"errors"
	"fmt"
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

// errLost is the end of a message that was out when its connection was lost, errFull of one that found no room.
var (
	errLost = errors.New("connection lost")
	errFull = errors.New("too many messages wait")
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

// Pending is a message that waits to be sent or acknowledged.
type Pending struct {
	m    Message
	id   uint16
	size int
	dup  bool
	done func(reason byte, err error)
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

// Waiting is the number of messages that wait to be sent or acknowledged.
func (s *Session) Waiting() int { return len(s.queue) }

// intake is the part of a connection that belongs to the I/O goroutine.
type intake struct {
	s      *Session
	try    uint64
	parser Parser
}

func (i *intake) Data(b []byte) error {
	var got []*Packet
	err := i.parser.Feed(b, func(p *Packet) { got = append(got, p) })
	i.s.loop.Post(func() {
		for _, p := range got {
			if err := i.s.take(i.try, p); err != nil {
				i.s.refuse(i.try, err)
				return
			}
		}
		if err != nil {
			i.s.refuse(i.try, err)
		}
	})
	return nil // the turn closes, so that the broker is told why
}

func (i *intake) Closed(err error) { i.s.loop.Post(func() { i.s.fail(i.try, err) }) }

// refuse ends a connection whose broker breaks the protocol.
func (s *Session) refuse(try uint64, err error) {
	if try == s.try && s.conn != nil {
		reason := byte(ProtocolError)
		if errors.Is(err, ErrMalformed) {
			reason = Malformed
		}
		s.write(Append(nil, Disconnect, 0, []byte{reason}))
		s.Flush()
	}
	s.fail(try, err)
}

func (s *Session) opened(try uint64, c sock.Conn, err error) {
	if try != s.try || s.stopped {
		if c != nil {
			c.Close()
		}
		return
	}
	if err != nil {
		s.fail(try, err)
		return
	}
	s.conn = c
	p := &Props{ReceiveMax: receiveMax, MaxPacket: maxPacket}
	if !s.opt.Clean {
		p.SessionExpiry = uint32(s.opt.Expiry / time.Second)
	}
	s.write(AppendConnect(nil, s.opt.ClientID, s.opt.Clean, uint16(s.opt.KeepAlive/time.Second), p))
}

func (s *Session) take(try uint64, p *Packet) error {
	if try != s.try || s.conn == nil {
		return nil
	}
	if s.up && !s.asking {
		s.heard(try)
	}
	switch {
	case p.Type == Connack && s.limit == 0:
		return s.accepted(p)
	case s.limit == 0:
		return fmt.Errorf("packet of type %d before CONNACK", p.Type)
	case p.Type == Suback && s.asking:
		for _, reason := range p.Reasons {
			if reason >= failureReasons {
				return fmt.Errorf("subscription refused: %#x", reason)
			}
		}
		s.asking = false
		s.heard(try)
	case p.Type == Publish && p.QoS() <= 1:
		s.receive(p, Receipt{s, try, p.ID})
	case p.Type == Puback:
		s.acked(p)
	case p.Type == Pingresp:
	case p.Type == Disconnect:
		return fmt.Errorf("broker says good-bye: %#x %s", p.Reasons[0], p.Props.Reason)
	default:
		return fmt.Errorf("packet of type %d", p.Type)
	}
	return nil
}

func (s *Session) accepted(p *Packet) error {
	if p.Reasons[0] >= failureReasons {
		return fmt.Errorf("broker refused the session: %#x %s", p.Reasons[0], p.Props.Reason)
	}
	s.limit, s.largest = window, maxPacket
	if n := int(p.Props.ReceiveMax); n > 0 {
		s.limit = min(s.limit, n)
	}
	if n := int(p.Props.MaxPacket); n > 0 {
		s.largest = min(s.largest, n)
	}
	if p.Props.HasKeepAlive {
		s.opt.KeepAlive = time.Duration(p.Props.KeepAlive) * time.Second
	}
	for _, m := range s.queue[:s.sent] { // a new session knows nothing of these: they go as new ones
		m.dup = p.Present
	}
	s.sent = 0
	// A session that was kept has its subscriptions, but asking again is harmless and makes sure of them. The
	// session is usable at once: a broker may send what was asked for before it says that it will.
	if s.asking = len(s.opt.Subscribe) > 0; s.asking {
		s.write(AppendSubscribe(nil, s.nextID(), s.opt.Subscribe))
	} else {
		s.heard(s.try)
	}
	s.ready()
	return nil
}

func (s *Session) ready() {
	if s.lost > 0 {
		s.log.Info("broker is back", zap.Duration("after", s.loop.Now()-s.lost), zap.Int("waiting", len(s.queue)))
	}
	s.up, s.backoff, s.lost = true, retryFirst, 0
	s.beat(s.try)
	s.pump()
	if s.state != nil {
		s.state(true)
	}
}

// heard starts the time of silence anew after which the connection counts as lost.
func (s *Session) heard(try uint64) {
	s.loop.Cancel(s.watch)
	if s.opt.KeepAlive > 0 {
		s.watch = s.loop.After(s.opt.KeepAlive*3/2, func() { s.fail(try, errors.New("silent")) })
	}
}

// beat pings the broker at half the keep-alive, so that its answer is due well before the silence is too long.
func (s *Session) beat(try uint64) {
	if s.opt.KeepAlive <= 0 {
		return
	}
	s.ping = s.loop.After(s.opt.KeepAlive/2, func() {
		if try == s.try && s.up {
			s.write(Append(nil, Pingreq, 0, nil))
			s.beat(try)
		}
	})
}

// nextID is a packet id that no message has.
func (s *Session) nextID() uint16 {
	for {
		if s.packetID++; s.packetID == 0 {
			continue
		}
		used := false
		for _, m := range s.queue {
			used = used || m.id == s.packetID
		}
		if !used {
			return s.packetID
		}
	}
}

// Publish sends a message with QoS 1, when the session is up and the broker takes more. done is called once,
// with the broker's reason or an error; never from within Publish. The message may be withdrawn until then.
func (s *Session) Publish(m Message, done func(reason byte, err error)) *Pending {
	o := &Pending{m: m, done: done, size: len(m.Topic) + len(m.Payload) + 64}
	if len(s.queue) >= maxOutgoing || s.bytes+o.size > maxWaiting || s.stopped {
		s.loop.After(0, func() { done(0, errFull) })
		return o
	}
	o.id = s.nextID()
	s.bytes += o.size
	s.queue = append(s.queue, o)
	s.pump()
	return o
}

// Withdraw takes back a message that has not been sent yet, and reports whether it could. Its done is not called.
func (s *Session) Withdraw(o *Pending) bool {
	for i := s.sent; i < len(s.queue); i++ {
		if s.queue[i] == o {
			s.remove(i)
			return true
		}
	}
	return false
}

// Send sends a message with QoS 0, if the session is up.
func (s *Session) Send(m Message) {
	if s.up {
		s.write(AppendPublish(nil, &m, 0, 0))
	}
}

func (s *Session) pump() {
	for s.up && s.sent < len(s.queue) && s.sent < s.limit {
		o := s.queue[s.sent]
		flags := byte(0)
		if o.dup {
			flags = 8
		}
		b := AppendPublish(nil, &o.m, o.id, flags)
		if len(b) > s.largest {
			s.remove(s.sent)
			s.loop.After(0, func() { o.done(0, fmt.Errorf("message of %d bytes, the broker takes %d", len(b), s.largest)) })
			continue
		}
		s.write(b)
		s.sent++
	}
}

func (s *Session) remove(i int) {
	s.bytes -= s.queue[i].size
	s.queue = append(s.queue[:i], s.queue[i+1:]...)
}

func (s *Session) acked(p *Packet) {
	for i, o := range s.queue[:s.sent] {
		if o.id == p.ID {
			s.remove(i)
			s.sent--
			s.pump()
			o.done(p.Reasons[0], nil)
			return
		}
	}
	s.log.Debug("acknowledgement of nothing that is out", zap.Uint16("packet", p.ID))
}

func (s *Session) write(b []byte) {
	if len(s.out) == 0 {
		s.loop.Dirty(s.Flush)
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

func (s *Session) fail(try uint64, why error) {
	if try != s.try {
		return
	}
	s.try++ // whatever comes of this connection is too late
	s.loop.Cancel(s.watch)
	s.loop.Cancel(s.ping)
	if s.conn != nil {
		s.conn.Close()
	}
	was := s.up
	s.conn, s.up, s.asking, s.limit, s.out = nil, false, false, 0, nil
	if s.lost == 0 && !s.stopped {
		s.lost = s.loop.Now()
		s.log.Warn("broker lost", zap.String("broker", s.opt.Broker), zap.Error(why))
	}
	var ends []*Pending
	if s.opt.Clean || s.stopped {
		ends, s.queue, s.sent, s.bytes = s.queue, nil, 0, 0
	}
	if !s.stopped {
		s.loop.After(s.backoff, s.Connect)
		s.backoff = min(2*s.backoff, retryMost)
	}
	if was && s.state != nil {
		s.state(false)
	}
	for _, o := range ends {
		o.done(0, errLost)
	}
}
