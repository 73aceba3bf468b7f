package ipfix

import (
	"encoding/binary"
	"errors"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
)

const (
	connectTimeout = 2 * time.Second
	minBackoff     = 200 * time.Millisecond
	maxBackoff     = 30 * time.Second
	sendInterval   = time.Second // between sends of the queued records
	reportInterval = time.Minute // between log lines about dropped records
	maxMessage     = 16 << 10    // bytes from which on a message takes no further record; the standard allows 64 KiB
)

// Options are the settings of an exporter.
type Options struct {
	Collector  string
	Domain     uint32   // observation domain id
	Enterprise uint32   // enterprise number of the project's own information elements
	Queue      int      // records that may be queued
	Tenants    []string // names by index
}

// Exporter sends records to a collector. It is used on the event loop only, and never delays a call: records that exceed the queue
// are counted and dropped.
type Exporter struct {
	loop   *core.Loop
	dialer sock.Dialer
	opts   Options
	log    *zap.Logger

	connSeq       uint64 // number of the current connection; callbacks of earlier ones are ignored
	conn          sock.Conn
	backoff       time.Duration
	lossLogged    bool // the present loss of the collector has been logged
	queue         []core.Record
	sequence      uint32 // records sent so far, modulo 2^32, as each message's header states
	sent          uint64
	dropped       uint64
	droppedLogged uint64 // how many of dropped have been logged
	stopped       bool
}

// New returns an exporter. It does nothing until Start.
func New(loop *core.Loop, dialer sock.Dialer, opts Options, log *zap.Logger) *Exporter {
	return &Exporter{loop: loop, dialer: dialer, opts: opts, log: log, backoff: minBackoff}
}

// Start connects and begins to send.
func (e *Exporter) Start() {
	e.connect()
	e.loop.After(sendInterval, e.sendPeriodically)
	e.loop.After(reportInterval, e.reportDropped)
}

// Stop sends what is queued, if the collector is connected, and closes the connection for good.
func (e *Exporter) Stop() {
	e.send()
	e.stopped = true
	e.connSeq++
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
	e.dropped += uint64(len(e.queue))
	e.queue = nil
	e.log.Info("export ended", zap.Uint64("sent", e.sent), zap.Uint64("dropped", e.dropped))
}

// Sent is the number of records sent.
func (e *Exporter) Sent() uint64 { return e.sent }

// Dropped is the number of records that were not sent: the queue was full, a write failed or the exporter was stopped.
func (e *Exporter) Dropped() uint64 { return e.dropped }

// Observe queues the record of a finished call.
func (e *Exporter) Observe(r core.Record) {
	if len(e.queue) >= e.opts.Queue || e.stopped {
		e.dropped++
		return
	}
	call := *r.Call // a copy without the body and the reply, so that these are not retained
	call.Reply, call.Body, r.Call = nil, nil, &call
	e.queue = append(e.queue, r)
}

func (e *Exporter) sendPeriodically() {
	if !e.stopped {
		e.send()
		e.loop.After(sendInterval, e.sendPeriodically)
	}
}

func (e *Exporter) reportDropped() {
	if e.dropped != e.droppedLogged {
		e.log.Warn("records dropped", zap.Uint64("dropped", e.dropped-e.droppedLogged), zap.Uint64("sent", e.sent))
		e.droppedLogged = e.dropped
	}
	if !e.stopped {
		e.loop.After(reportInterval, e.reportDropped)
	}
}

// connHandler handles a connection on which the collector should send nothing.
type connHandler struct {
	exporter *Exporter
	connSeq  uint64
}

func (h *connHandler) Data([]byte) error { return errors.New("unexpected data from the collector") }
func (h *connHandler) Closed(err error) {
	h.exporter.loop.Post(func() { h.exporter.fail(h.connSeq, err) })
}

func (e *Exporter) connect() {
	if e.stopped {
		return
	}
	e.connSeq++
	connSeq := e.connSeq
	e.dialer.Dial(e.opts.Collector, connectTimeout, &connHandler{e, connSeq}, func(c sock.Conn, err error) {
		e.loop.Post(func() {
			switch {
			case connSeq != e.connSeq:
				if c != nil {
					c.Close()
				}
			case err != nil:
				e.fail(connSeq, err)
			default:
				e.connected(c)
			}
		})
	})
}

func (e *Exporter) connected(c sock.Conn) {
	e.conn, e.backoff, e.lossLogged = c, minBackoff, false
	e.write(setLength(appendTemplate(e.header(), e.opts.Enterprise)))
	e.send()
}

func (e *Exporter) header() []byte { return appendHeader(nil, e.loop.Now(), e.sequence, e.opts.Domain) }

func (e *Exporter) write(b []byte) bool {
	if _, err := e.conn.Write(b); err != nil {
		e.fail(e.connSeq, err)
		return false
	}
	return true
}

// send sends the whole queue, in messages of limited size.
func (e *Exporter) send() {
	for e.conn != nil && len(e.queue) > 0 {
		b := e.header()
		set, n := len(b), 0
		b = binary.BigEndian.AppendUint32(b, templateID<<16)
		for n < len(e.queue) && len(b) < maxMessage {
			r := e.queue[n]
			tenant := ""
			if t := r.Call.Tenant; t < len(e.opts.Tenants) {
				tenant = e.opts.Tenants[t]
			}
			b = appendRecord(b, r, tenant)
			n++
		}
		binary.BigEndian.PutUint16(b[set+2:], uint16(len(b)-set))
		clear(e.queue[:n])
		e.queue = e.queue[n:]
		e.sequence += uint32(n)
		if e.write(setLength(b)) {
			e.sent += uint64(n)
		} else {
			e.dropped += uint64(n)
		}
	}
	if len(e.queue) == 0 {
		e.queue = nil
	}
}

func (e *Exporter) fail(connSeq uint64, why error) {
	if connSeq != e.connSeq || e.stopped {
		return
	}
	e.connSeq++
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
	if !e.lossLogged {
		e.lossLogged = true
		e.log.Warn("collector lost", zap.String("collector", e.opts.Collector), zap.Error(why))
	}
	e.loop.After(e.backoff, e.connect)
	e.backoff = min(2*e.backoff, maxBackoff)
}
