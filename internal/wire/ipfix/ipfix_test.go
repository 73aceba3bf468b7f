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

// collector is a stand-in that decodes what comes by the templates that came before, as RFC 7011 says.
type collector struct {
	*wiretest.Conn
	t         testing.TB
	buf       []byte
	templates map[uint16][][3]uint32 // id, size, enterprise
	records   []map[string]string
	sequence  uint32
	begun     bool
}

func (c *collector) Closed(error) {}

func (c *collector) Data(b []byte) error {
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

func (c *collector) message(b []byte) {
	be := binary.BigEndian
	if v := be.Uint16(b); v != 10 {
		c.t.Fatalf("version %d", v)
	}
	seq := be.Uint32(b[8:])
	if !c.begun {
		c.begun, c.sequence = true, seq // counted over all connections
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

func export(t testing.TB, queue int) (*wiretest.World, *Exporter, *[]*collector) {
	w, all := wiretest.New(t), &[]*collector{}
	w.Listen("c", func(conn *wiretest.Conn) sock.Handler {
		c := &collector{Conn: conn, t: t, templates: map[uint16][][3]uint32{}}
		*all = append(*all, c)
		return c
	})
	return w, New(w.Loop, w, Options{Collector: "c", Domain: 3, Enterprise: 32473, Queue: queue, Tenants: []string{"a", "b"}},
		w.Log()), all
}

func call(w *wiretest.World) core.Record {
	return core.Record{Call: &core.Call{ClassName: "read", Tenant: 1, Function: "00000000000000ff", Body: []byte("x")},
		Bytes: 1, Start: w.Now() - time.Second, End: w.Now(), Answer: "refused", Attempts: 2, Host: "w1"}
}

func TestRecordIsDecoded(t *testing.T) {
	w, e, all := export(t, 10)
	e.Start()
	e.Observe(call(w))
	w.Pass(sendEvery)
	r := (*all)[0].records[0]
	for name, want := range map[string]string{"0/152": fmt.Sprint((1000*time.Hour - time.Second).Milliseconds()),
		"0/153": fmt.Sprint((1000 * time.Hour).Milliseconds()), "0/1": "1", "0/96": "read", "0/371": "b", "32473/1": "2",
		"32473/2": "2", "32473/3": "w1", "32473/4": "00000000000000ff"} {
		if r[name] != want {
			t.Errorf("%s is %q, want %q", name, r[name], want)
		}
	}
}

// With the collector away the queue fills to its bound, the rest is counted, and calls are not held up; a new
// connection begins with the template again.
func TestCollectorAway(t *testing.T) {
	w, e, all := export(t, 5)
	w.Silent["c"] = true
	e.Start()
	for range 8 {
		e.Observe(call(w))
	}
	w.Silent["c"] = false
	w.Pass(time.Minute)
	if e.Sent() != 0 { // the silent connect is still out: nbio's caller ends it, here the test does
		t.Fatalf("sent %d", e.Sent())
	}
	e.fail(e.try, nil)
	w.Pass(time.Minute)
	if e.Sent() != 5 || e.Dropped() != 3 || len((*all)[0].records) != 5 {
		t.Errorf("sent %d, dropped %d", e.Sent(), e.Dropped())
	}
	(*all)[0].Close()
	w.Pass(time.Minute)
	e.Observe(call(w))
	e.Stop()
	w.Run()
	if len((*all)[1].records) != 1 {
		t.Error("nothing came on the second connection")
	}
}

// FuzzExporter breaks the connection at random. The model: each record is sent once or counted as dropped.
func FuzzExporter(f *testing.F) {
	f.Add([]byte{0, 0, 1, 2, 0, 3, 0, 0, 0, 1, 2})
	f.Fuzz(func(t *testing.T, steps []byte) {
		w, e, all := export(t, 4)
		e.Start()
		observed := uint64(0)
		for _, step := range steps[:min(len(steps), 100)] {
			switch step % 4 {
			case 0, 3:
				observed++
				e.Observe(call(w))
			case 1:
				w.Pass(time.Duration(step) * 20 * time.Millisecond)
			case 2:
				if n := len(*all); n > 0 {
					(*all)[n-1].Close()
				}
			}
			w.Run()
		}
		e.Stop()
		if e.Sent()+e.Dropped() != observed {
			t.Errorf("sent %d and dropped %d of %d", e.Sent(), e.Dropped(), observed)
		}
	})
}
