package mqtt

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/wire/sock"
)

// connHandler handles the input of one connection on the I/O goroutine.
type connHandler struct {
	session *Session
	connSeq uint64
	parser  Parser
}

func (h *connHandler) Data(b []byte) error {
	var packets []*Packet
	err := h.parser.Feed(b, func(p *Packet) {
		p.ReceivedAt = h.session.loop.Clock()
		packets = append(packets, p)
	})
	h.session.loop.Post(func() {
		for _, p := range packets {
			if err := h.session.handle(h.connSeq, p); err != nil {
				h.session.reject(h.connSeq, err)
				return
			}
		}
		if err != nil {
			h.session.reject(h.connSeq, err)
		}
	})
	return nil // the event loop closes the connection, after a DISCONNECT with the reason
}

// Flushed is called when the broker has taken all that was written.
func (h *connHandler) Flushed() {
	h.session.loop.Post(func() {
		if h.connSeq == h.session.connSeq {
			h.session.sendQueued()
		}
	})
}

func (h *connHandler) Closed(err error) {
	h.session.loop.Post(func() { h.session.fail(h.connSeq, err) })
}

// reject ends a connection whose broker violates the protocol.
func (s *Session) reject(connSeq uint64, err error) {
	if connSeq == s.connSeq && s.conn != nil {
		reason := byte(ProtocolError)
		if errors.Is(err, ErrMalformed) {
			reason = Malformed
		}
		s.write(Append(nil, Disconnect, 0, []byte{reason}))
		s.Flush()
	}
	s.fail(connSeq, err)
}

func (s *Session) opened(connSeq uint64, c sock.Conn, err error) {
	if connSeq != s.connSeq || s.stopped {
		if c != nil {
			c.Close()
		}
		return
	}
	if err != nil {
		s.fail(connSeq, err)
		return
	}
	s.conn = c
	p := &Props{ReceiveMax: receiveMax, MaxPacket: uint32(s.opts.MaxPacket)}
	if !s.opts.CleanStart {
		p.SessionExpiry = uint32(s.opts.SessionExpiry / time.Second)
	}
	s.write(AppendConnect(nil, s.opts.ClientID, s.opts.CleanStart, uint16(s.opts.KeepAlive/time.Second), p))
}

// handle handles a packet of connection connSeq. An error ends the connection.
func (s *Session) handle(connSeq uint64, p *Packet) error {
	if connSeq != s.connSeq || s.conn == nil {
		return nil
	}
	if s.up && !s.subscribing {
		s.resetWatchdog(connSeq)
	}
	switch {
	case p.Type == Connack && s.maxInFlight == 0:
		return s.handleConnack(p)
	case s.maxInFlight == 0:
		return fmt.Errorf("packet of type %d before CONNACK", p.Type)
	case p.Type == Suback && s.subscribing:
		for _, reason := range p.Reasons {
			if reason >= firstFailure {
				return fmt.Errorf("subscription refused: %#x", reason)
			}
		}
		s.subscribing = false
		s.resetWatchdog(connSeq)
	case p.Type == Publish && p.QoS() <= 1:
		s.onPublish(p, Receipt{s, connSeq, p.ID})
	case p.Type == Puback:
		s.handlePuback(p)
	case p.Type == Pingresp:
	case p.Type == Disconnect:
		return fmt.Errorf("broker sent DISCONNECT: %#x %s", p.Reasons[0], p.Props.Reason)
	default:
		return fmt.Errorf("unexpected packet of type %d", p.Type)
	}
	return nil
}

func (s *Session) handleConnack(p *Packet) error {
	if p.Reasons[0] >= firstFailure {
		return fmt.Errorf("broker refused the session: %#x %s", p.Reasons[0], p.Props.Reason)
	}
	s.maxInFlight, s.maxPacketSize = sendWindow, maxFormatPacket
	if n := int(p.Props.ReceiveMax); n > 0 {
		s.maxInFlight = min(s.maxInFlight, n)
	}
	if n := int(p.Props.MaxPacket); n > 0 {
		s.maxPacketSize = min(s.maxPacketSize, n)
	}
	if p.Props.HasKeepAlive {
		s.opts.KeepAlive = time.Duration(p.Props.KeepAlive) * time.Second
	}
	for _, m := range s.queue[:s.sent] { // a new session does not know these, so they are sent without the DUP flag
		m.dup = p.SessionPresent
	}
	s.sent = 0
	// A resumed session still has its subscriptions, but subscribing again is harmless and makes sure of them. The session is
	// usable at once, since a broker may send messages for a subscription before its SUBACK.
	if s.subscribing = len(s.opts.Subscribe) > 0; s.subscribing {
		s.write(AppendSubscribe(nil, s.nextID(), s.opts.Subscribe))
	} else {
		s.resetWatchdog(s.connSeq)
	}
	s.markUp()
	return nil
}

// markUp records that the session is usable, and sends what is queued.
func (s *Session) markUp() {
	if s.lostAt > 0 {
		s.log.Info("broker is back", zap.Duration("after", s.loop.Now()-s.lostAt), zap.Int("waiting", len(s.queue)))
	}
	s.up, s.backoff, s.lostAt = true, minBackoff, 0
	s.schedulePing(s.connSeq)
	s.sendQueued()
	if s.onState != nil {
		s.onState(true)
	}
}

// resetWatchdog restarts the period of silence after which the connection counts as lost.
func (s *Session) resetWatchdog(connSeq uint64) {
	s.loop.Cancel(s.watchdog)
	if s.opts.KeepAlive > 0 {
		s.watchdog = s.loop.After(s.opts.KeepAlive*3/2, func() { s.fail(connSeq, errors.New("silent")) })
	}
}

// schedulePing pings the broker at half the keep-alive interval, so that the answer is due well before the watchdog expires.
func (s *Session) schedulePing(connSeq uint64) {
	if s.opts.KeepAlive <= 0 {
		return
	}
	s.pingTimer = s.loop.After(s.opts.KeepAlive/2, func() {
		if connSeq == s.connSeq && s.up {
			s.write(Append(nil, Pingreq, 0, nil))
			s.schedulePing(connSeq)
		}
	})
}

// fail ends connection connSeq and schedules the next one. A clean session gives up its queued messages.
func (s *Session) fail(connSeq uint64, why error) {
	if connSeq != s.connSeq {
		return
	}
	s.connSeq++ // later callbacks of this connection are ignored
	s.loop.Cancel(s.watchdog)
	s.loop.Cancel(s.pingTimer)
	if s.conn != nil {
		s.conn.Close()
	}
	wasUp := s.up
	s.conn, s.up, s.subscribing, s.maxInFlight, s.out = nil, false, false, 0, nil
	if s.lostAt == 0 && !s.stopped {
		s.lostAt = s.loop.Now()
		s.log.Warn("broker lost", zap.String("broker", s.opts.Broker), zap.Error(why))
	}
	var abandoned []*Pending
	if s.opts.CleanStart || s.stopped {
		abandoned, s.queue, s.sent, s.queuedBytes = s.queue, nil, 0, 0
	}
	if !s.stopped {
		s.reconnect = s.loop.After(s.backoff, s.Connect)
		s.backoff = min(2*s.backoff, s.maxBackoff)
	}
	if wasUp && s.onState != nil {
		s.onState(false)
	}
	reason := errLost
	if s.stopped {
		reason = errStopped
	}
	for _, pending := range abandoned {
		pending.done(0, reason)
	}
}
