package mqtt

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/wire/sock"
)

// intake is the part of a connection that belongs to the I/O goroutine.
type intake struct {
	s      *Session
	try    uint64
	parser Parser
}

func (i *intake) Data(b []byte) error {
	var got []*Packet
	err := i.parser.Feed(b, func(p *Packet) {
		p.Came = i.s.loop.Clock()
		got = append(got, p)
	})
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

// Flushed says that the broker has taken all that was written.
func (i *intake) Flushed() {
	i.s.loop.Post(func() {
		if i.try == i.s.try {
			i.s.pump()
		}
	})
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
