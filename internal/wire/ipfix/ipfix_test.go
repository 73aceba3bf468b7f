package ipfix

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"quillrail/internal/core"
	"quillrail/internal/wire/sock"
	"quillrail/internal/wire/wiretest"
)

// fakeCollector decodes messages by the templates received before, as RFC 7011 states.
type fakeCollector struct {
	*wiretest.Conn
	t         testing.TB
	buf       []byte
	templates map[uint16][][3]uint32 // id, size, enterprise
	records   []map[string]string
	sequence  uint32
	started   bool
}

func (c *fakeCollector) Closed(error) {}

func (c *fakeCollector) Data(b []byte) error {
	c.buf = append(c.buf, b...)
	for len(c.buf) >= 16 {
		n := int(binary.BigEndian.Uint16(c.buf[2:]))
		if len(c.buf) < n {
			break
		}
		c.message(c.buf[:n])
		c.buf = c.buf[n:]
	}
	return nil
}

func (c *fakeCollector) message(b []byte) {
	be := binary.BigEndian
	if v := be.Uint16(b); v != 10 {
		c.t.Fatalf("version %d", v)
	}
	seq := be.Uint32(b[8:])
	if !c.started {
		c.started, c.sequence = true, seq // counted over all connections
	}
	if seq != c.sequence {
		c.t.Errorf("sequence %d after %d records", seq, c.sequence)
	}
	for b = b[16:]; len(b) > 0; {
		id, n := be.Uint16(b), int(be.Uint16(b[2:]))
		set := b[4:n]
		b = b[n:]
		if id == 2 {
			tid, count := be.Uint16(set), int(be.Uint16(set[2:]))
			set = set[4:]
			for range count {
				f := [3]uint32{uint32(be.Uint16(set)), uint32(be.Uint16(set[2:]))}
				set = set[4:]
				if f[0]&0x8000 != 0 {
					f[0] &^= 0x8000
					f[2], set = be.Uint32(set), set[4:]
				}
				c.templates[tid] = append(c.templates[tid], f)
			}
			continue
		}
		fields := c.templates[id]
		if fields == nil {
			c.t.Fatalf("data set %d before its template", id)
		}
		for len(set) > 0 {
			r := map[string]string{}
			for _, f := range fields {
				size := int(f[1])
				if size == 0xffff {
					size, set = int(set[0]), set[1:]
				}
				name, v := fmt.Sprint(f[2], "/", f[0]), set[:size]
				if f[1] == 0xffff {
					r[name] = string(v)
				} else {
					r[name] = fmt.Sprint(be.Uint64(append(make([]byte, 8-size), v...)))
				}
				set = set[size:]
			}
			c.records = append(c.records, r)
			c.sequence++
		}
	}
}

func newExporter(t testing.TB, queue int) (*wiretest.World, *Exporter, *[]*fakeCollector) {
	world, all := wiretest.New(t), &[]*fakeCollector{}
	world.Listen("c", func(conn *wiretest.Conn) sock.Handler {
		c := &fakeCollector{Conn: conn, t: t, templates: map[uint16][][3]uint32{}}
		*all = append(*all, c)
		return c
	})
	return world, New(world.Loop, world, Options{Collector: "c", Domain: 3, Enterprise: 32473, Queue: queue, Tenants: []string{"a", "b"}},
		world.Log()), all
}

func testRecord(world *wiretest.World) core.Record {
	return core.Record{Call: &core.Call{ClassName: "read", Tenant: 1, Function: "00000000000000ff", Body: []byte("x")},
		Bytes: 1, Start: world.Now() - time.Second, End: world.Now(), Answer: "refused", Attempts: 2, Host: "w1"}
}

func TestRecordIsDecoded(t *testing.T) {
	world, e, all := newExporter(t, 10)
	e.Start()
	e.Observe(testRecord(world))
	world.Advance(sendInterval)
	r := (*all)[0].records[0]
	for name, want := range map[string]string{"0/152": fmt.Sprint((1000*time.Hour - time.Second).Milliseconds()),
		"0/153": fmt.Sprint((1000 * time.Hour).Milliseconds()), "0/1": "1", "0/96": "read", "0/371": "b", "32473/1": "2",
		"32473/2": "2", "32473/3": "w1", "32473/4": "00000000000000ff"} {
		if r[name] != want {
			t.Errorf("%s is %q, want %q", name, r[name], want)
		}
	}
}

// While the collector is unreachable the queue fills to its limit, further records are counted as dropped, and calls are not
// delayed. A new connection begins with the template again.
func TestUnreachableCollector(t *testing.T) {
	world, e, all := newExporter(t, 5)
	world.Unanswered["c"] = true
	e.Start()
	for range 8 {
		e.Observe(testRecord(world))
	}
	world.Unanswered["c"] = false
	world.Advance(time.Minute)
	if e.Sent() != 0 { // the unanswered connect is still pending; in production the dialer times it out, here the test ends it
		t.Fatalf("sent %d", e.Sent())
	}
	e.fail(e.connSeq, nil)
	world.Advance(time.Minute)
	if e.Sent() != 5 || e.Dropped() != 3 || len((*all)[0].records) != 5 {
		t.Errorf("sent %d, dropped %d", e.Sent(), e.Dropped())
	}
	(*all)[0].Close()
	world.Advance(time.Minute)
	e.Observe(testRecord(world))
	e.Stop()
	world.Run()
	if len((*all)[1].records) != 1 {
		t.Error("no record arrived on the second connection")
	}
}

// FuzzExporter breaks the connection at random. Each record must be sent once or counted as dropped.
func FuzzExporter(f *testing.F) {
	f.Add([]byte{0, 0, 1, 2, 0, 3, 0, 0, 0, 1, 2})
	f.Fuzz(func(t *testing.T, steps []byte) {
		world, e, all := newExporter(t, 4)
		e.Start()
		observed := uint64(0)
		for _, step := range steps[:min(len(steps), 100)] {
			switch step % 4 {
			case 0, 3:
				observed++
				e.Observe(testRecord(world))
			case 1:
				world.Advance(time.Duration(step) * 20 * time.Millisecond)
			case 2:
				if n := len(*all); n > 0 {
					(*all)[n-1].Close()
				}
			}
			world.Run()
		}
		e.Stop()
		if e.Sent()+e.Dropped() != observed {
			t.Errorf("sent %d and dropped %d of %d", e.Sent(), e.Dropped(), observed)
		}
	})
}
