package bulletin

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"quillrail/internal/core"
	"quillrail/internal/settings"
	"quillrail/internal/wire/sock"
)

const (
	connectTimeout = 500 * time.Millisecond

	// catchUpTime is the time after which a new connection has delivered all missed events, since the bulletin sends them at once. If no
	// event was missed, the first frame may take a second, so its arrival is not waited for.
	catchUpTime = 100 * time.Millisecond

	// silenceTimeout is how long a connection may go without a frame. The bulletin sends at least one a second.
	silenceTimeout = 2500 * time.Millisecond

	// Backoff between connects. It is short because an event counts as received MaxPropagation after it was published, whether or not it
	// has arrived.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
)

// Feed follows the bulletin from the last event it has received, reconnecting as needed. It is used on the event loop only.
type Feed struct {
	loop     *core.Loop
	dialer   sock.Dialer
	addr     string
	site     *settings.Site
	onChange func(complete bool, members []core.Member)
	log      *zap.Logger

	// OnReceived, if set, is called whenever frames have been received, after onChange was called for their events. It is also called
	// catchUpTime after a connection was established, when no missed event can be outstanding.
	OnReceived func()

	// OnListCurrent, if set, is called with each empty frame, after onChange was called for the events before it. asOf is a time up to
	// which the list is certain to be complete.
	OnListCurrent func(asOf time.Duration)

	lastEvent    uint64
	dials        uint64    // number of dials so far; the number of a dial identifies its callbacks
	dialNo       uint64    // dial of the current connection or connect, 0 for none
	slow         *slowConn // earlier connection that may still receive frames, nil for none
	conn         sock.Conn
	timer        *core.Deadline // connect timeout, silence timeout or backoff
	backoff      time.Duration
	lostSince    time.Duration // when the feed was lost, 0 while it runs
	failedDials  int           // connections that have failed since the loss
	lossLoggedAt time.Duration // when the loss was last logged
	freshness    freshness     // of the current connection
	renewedAt    time.Duration // when a connection was last replaced because its frames may be old
}

// NewFeed returns a feed that calls onChange for the changes of the list after lastEvent.
func NewFeed(loop *core.Loop, dialer sock.Dialer, addr string, site *settings.Site, lastEvent uint64,
	onChange func(bool, []core.Member), log *zap.Logger) *Feed {
	return &Feed{loop: loop, dialer: dialer, addr: addr, site: site, lastEvent: lastEvent, onChange: onChange, log: log, backoff: firstBackoff}
}

// Last returns the number of the last event received.
func (f *Feed) Last() uint64 { return f.lastEvent }

// Connect starts to follow the bulletin, or dials it again.
func (f *Feed) Connect() {
	f.dials++
	dialNo := f.dials
	f.dialNo = dialNo
	f.timer = f.loop.After(connectTimeout, func() { f.fail(dialNo, errors.New("connect timed out")) })
	f.dialer.Dial(f.addr, connectTimeout, &reader{feed: f, dialNo: dialNo, parser: Parser{Site: f.site}}, func(conn sock.Conn, err error) {
		f.loop.Post(func() { f.connected(dialNo, conn, err) })
	})
}

// reader parses what a connection receives, on the I/O goroutine, and posts events to the event loop.
type reader struct {
	feed   *Feed
	dialNo uint64
	parser Parser
}

func (r *reader) Data(b []byte) error {
	var events []Event
	err := r.parser.Feed(b, func(e Event) { events = append(events, e) })
	r.feed.loop.Post(func() { r.feed.receive(r.dialNo, events, err) })
	return err
}

func (r *reader) Closed(err error) {
	r.feed.loop.Post(func() { r.feed.fail(r.dialNo, err) })
}

// connected handles the result of a dial: it requests the events after lastEvent.
func (f *Feed) connected(dialNo uint64, conn sock.Conn, err error) {
	if dialNo != f.dialNo || f.conn != nil {
		if conn != nil {
			conn.Close()
		}
		return
	}
	if err != nil {
		f.fail(dialNo, err)
		return
	}
	f.conn = conn
	f.restartSilenceTimer(dialNo)
	f.freshness.start(f.loop.Now())
	if _, err := conn.Write(binary.BigEndian.AppendUint64(nil, f.lastEvent)); err != nil {
		f.fail(dialNo, err)
		return
	}
	if f.OnReceived != nil {
		f.loop.After(catchUpTime, func() {
			if dialNo == f.dialNo {
				f.OnReceived()
			}
		})
	}
}

// restartSilenceTimer restarts the silence timeout.
func (f *Feed) restartSilenceTimer(dialNo uint64) {
	f.loop.Cancel(f.timer)
	f.timer = f.loop.After(silenceTimeout, func() { f.handleSilence(dialNo) })
}

// receive handles the events of one read and the parser's error, if any.
func (f *Feed) receive(dialNo uint64, events []Event, err error) {
	if f.slow != nil && dialNo == f.slow.dialNo && len(events) > 0 {
		f.adoptSlow()
	}
	if dialNo != f.dialNo {
		return
	}
	if len(events) > 0 { // a partial event does not restart the timeout, even if more of its bytes keep arriving
		f.freshness.gotFrame = true
		f.restartSilenceTimer(dialNo)
	}
	for _, e := range events {
		f.noteReceived()
		switch {
		case e.Empty:
			f.receiveHeartbeat()
			continue
		case e.No <= f.lastEvent: // received before
			continue
		case e.No != f.lastEvent+1 && !e.Complete:
			f.fail(dialNo, fmt.Errorf("received event %d directly after event %d", e.No, f.lastEvent))
			return
		}
		f.lastEvent = e.No
		f.logChange(e)
		f.onChange(e.Complete, e.Members)
	}
	if err != nil {
		f.fail(dialNo, err)
	} else if len(events) > 0 && f.OnReceived != nil {
		f.OnReceived()
	}
}

// receiveHeartbeat handles an empty frame. If the frames may be older than maxLag, it reconnects, since the frames of a new connection are
// written after its request.
func (f *Feed) receiveHeartbeat() {
	now := f.loop.Now()
	asOf := f.freshness.heartbeat(now)
	if f.OnListCurrent != nil {
		f.OnListCurrent(asOf)
	}
	if now-asOf > maxLag && now-f.renewedAt >= renewInterval {
		f.renewedAt = now
		f.log.Info("bulletin may lag, asked anew", zap.Duration("by", now-asOf), zap.Uint64("last", f.lastEvent))
		f.disconnect()
		f.Connect()
	}
}

// fail handles the failure of a connection or a dial.
func (f *Feed) fail(dialNo uint64, err error) {
	if f.slow != nil && dialNo == f.slow.dialNo {
		f.dropSlow()
		return
	}
	if dialNo == f.dialNo {
		f.retry(err)
	}
}

// retry closes the current connection or dial, and dials again after the backoff.
func (f *Feed) retry(err error) {
	f.logLoss(err)
	f.disconnect()
	f.timer = f.loop.After(f.backoff, f.Connect)
	f.backoff = min(2*f.backoff, maxBackoff)
}

// Move switches to the bulletin at another address and continues after the last event received. It is called when the configuration has
// changed: the old address sends no further events, although its connection may stay open. known holds the events in the new
// configuration, of which those not received yet are applied at once.
func (f *Feed) Move(addr string, known []Event) {
	for _, e := range known {
		if e.No > f.lastEvent && (e.Complete || e.No == f.lastEvent+1) {
			f.lastEvent = e.No
			f.onChange(e.Complete, e.Members)
		}
	}
	if addr == f.addr {
		return
	}
	f.log.Info("bulletin moved", zap.String("from", f.addr), zap.String("to", addr), zap.Uint64("last", f.lastEvent))
	f.addr, f.backoff = addr, firstBackoff
	f.dropSlow()
	f.disconnect()
	f.Connect()
}

// disconnect closes the connection, the dial in progress or the backoff before one. Its late callbacks are ignored.
func (f *Feed) disconnect() {
	f.dialNo = 0
	f.loop.Cancel(f.timer)
	if f.conn != nil {
		f.conn.Close()
		f.conn = nil
	}
}
