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
	connectLimit = 2 * time.Second
	retryFirst   = 200 * time.Millisecond
	retryMost    = 30 * time.Second
	sendEvery    = time.Second
	tellEvery    = time.Minute
	maxMessage   = 16 << 10 // of a message; the standard allows 64 KiB
)

// Options are what an exporter is told.
type Options struct {
	Collector  string
	Domain     uint32 // observation domain
	Enterprise uint32 // of the project's own elements
	Queue      int    // records that may wait
	Tenants    []string
}

// Exporter sends records to a collector. It belongs to the turn, and never makes a call wait: what finds no room
// is counted and dropped.
type Exporter struct {
	loop *core.Loop
	net  sock.Dialer
	opt  Options
	log  *zap.Logger

	try      uint64
	conn     sock.Conn
	backoff  time.Duration
	down     bool // told in the log
	queue    []core.Record
	sequence uint32
	sent     uint64
	dropped  uint64
	told     uint64 // of dropped, in the log
	stopped  bool
}

// New returns an exporter.
func New(loop *core.Loop, net sock.Dialer, opt Options, log *zap.Logger) *Exporter {
	return &Exporter{loop: loop, net: net, opt: opt, log: log, backoff: retryFirst}
}

// Start connects and begins to send.
func (e *Exporter) Start() {
	e.connect()
	e.loop.After(sendEvery, e.tick)
	e.loop.After(tellEvery, e.tell)
}

// Stop sends what waits, if it can be sent at once, and ends.
func (e *Exporter) Stop() {
	e.send()
	e.stopped = true
	e.try++
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
	e.dropped += uint64(len(e.queue))
	e.queue = nil
	e.log.Info("export ended", zap.Uint64("sent", e.sent), zap.Uint64("dropped", e.dropped))
}

// Sent counts the records that were sent.
func (e *Exporter) Sent() uint64 { return e.sent }

// Dropped counts the records that found no room in the queue.
func (e *Exporter) Dropped() uint64 { return e.dropped }

// Observe takes the record of a finished call.
func (e *Exporter) Observe(r core.Record) {
	if len(e.queue) >= e.opt.Queue || e.stopped {
		e.dropped++
		return
	}
	call := *r.Call // kept without what the record does not need
	call.Reply, call.Body, r.Call = nil, nil, &call
	e.queue = append(e.queue, r)
}

func (e *Exporter) tick() {
	if !e.stopped {
		e.send()
		e.loop.After(sendEvery, e.tick)
	}
}

func (e *Exporter) tell() {
	if e.dropped != e.told {
		e.log.Warn("records dropped", zap.Uint64("dropped", e.dropped-e.told), zap.Uint64("sent", e.sent))
		e.told = e.dropped
	}
	if !e.stopped {
		e.loop.After(tellEvery, e.tell)
	}
}

// reader watches a connection on which nothing should come.
type reader struct {
	e   *Exporter
	try uint64
}

func (r *reader) Data([]byte) error { return errors.New("a collector has nothing to say") }
func (r *reader) Closed(err error)  { r.e.loop.Post(func() { r.e.fail(r.try, err) }) }

func (e *Exporter) connect() {
	if e.stopped {
		return
	}
	e.try++
	try := e.try
	e.net.Dial(e.opt.Collector, connectLimit, &reader{e, try}, func(c sock.Conn, err error) {
		e.loop.Post(func() {
			switch {
			case try != e.try:
				if c != nil {
					c.Close()
				}
			case err != nil:
				e.fail(try, err)
			default:
				e.up(c)
			}
		})
	})
}

func (e *Exporter) up(c sock.Conn) {
	e.conn, e.backoff, e.down = c, retryFirst, false
	e.write(finish(appendTemplate(e.head(), e.opt.Enterprise)))
	e.send()
}

func (e *Exporter) head() []byte { return appendHead(nil, e.loop.Now(), e.sequence, e.opt.Domain) }

func (e *Exporter) write(b []byte) bool {
	if _, err := e.conn.Write(b); err != nil {
		e.fail(e.try, err)
		return false
	}
	return true
}

// send empties the queue in messages of bounded size.
func (e *Exporter) send() {
	for e.conn != nil && len(e.queue) > 0 {
		b := e.head()
		set, n := len(b), 0
		b = binary.BigEndian.AppendUint32(b, templateID<<16)
		for n < len(e.queue) && len(b) < maxMessage {
			r := e.queue[n]
			tenant := ""
			if t := r.Call.Tenant; t < len(e.opt.Tenants) {
				tenant = e.opt.Tenants[t]
			}
			b = appendRecord(b, r, tenant)
			n++
		}
		binary.BigEndian.PutUint16(b[set+2:], uint16(len(b)-set))
		clear(e.queue[:n])
		e.queue = e.queue[n:]
		e.sequence += uint32(n)
		if e.write(finish(b)) {
			e.sent += uint64(n)
		} else {
			e.dropped += uint64(n)
		}
	}
	if len(e.queue) == 0 {
		e.queue = nil
	}
}

func (e *Exporter) fail(try uint64, why error) {
	if try != e.try || e.stopped {
		return
	}
	e.try++
	if e.conn != nil {
		e.conn.Close()
		e.conn = nil
	}
	if !e.down {
		e.down = true
		e.log.Warn("collector lost", zap.String("collector", e.opt.Collector), zap.Error(why))
	}
	e.loop.After(e.backoff, e.connect)
	e.backoff = min(2*e.backoff, retryMost)
}
