package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// states of a listed worker
const (
	ready    = 0
	draining = 1
	gone     = 2
)

var phases = []string{"active", "leaving", "left"}

// run is one execution of a call at a worker.
type run struct {
	id, key, class, body string
	worker               int
	at                   time.Time
}

// arrival is a call or an order to load that has come whole to a worker.
type arrival struct {
	kind, id string // CALL or LOAD
	at       time.Time
	answer   string
}

// worker is the stand-in of a server that runs functions.
type worker struct {
	f           *fleet
	no          int // from 0
	zone        int
	addr        string
	mu          sync.Mutex
	ln          net.Listener
	conns       map[net.Conn]bool
	copies      map[string]chan struct{} // closed once loaded
	drains      bool                     // turns calls and orders away
	arrivals    []arrival
	startedMs   int64
	incarnation int
	pings       int // probes that were answered
}

// fleet is the set of workers, with what they have run.
type fleet struct {
	r        *rig
	workers  []*worker
	loadTime time.Duration
	workTime func(class string) time.Duration
	use      string // load report of each answer, without a comma; empty for none
	mu       sync.Mutex
	runs     []run
	lastRun  map[string]time.Time // by hall and key
}

func newFleet(r *rig, count, halls int) *fleet {
	f := &fleet{r: r, loadTime: 1200 * time.Millisecond, lastRun: map[string]time.Time{},
		workTime: func(string) time.Duration { return 50 * time.Millisecond }}
	for i := range count {
		w := &worker{f: f, no: i, zone: i % halls, conns: map[net.Conn]bool{}, copies: map[string]chan struct{}{}}
		w.listen("127.0.0.1:0")
		f.workers = append(f.workers, w)
	}
	return f
}

func (w *worker) id() string { return fmt.Sprintf("s-%08x", w.no+1) }

func (w *worker) listen(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	w.ln, w.addr = ln, ln.Addr().String()
	w.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[c] = true
			w.mu.Unlock()
			go w.serve(c)
		}
	}()
}

// end ends the worker's process: its connections are reset, and nobody listens any more.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ln.Close()
	w.incarnation++
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(w.conns)
	clear(w.copies)
}

func (w *worker) drain() {
	w.mu.Lock()
	w.drains = true
	w.mu.Unlock()
}

// since returns the calls and orders that have come after a moment.
func (w *worker) since(at time.Time) (late []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}

func (w *worker) serve(c net.Conn) {
	defer c.Close()
	var out sync.Mutex
	reply := func(id, word, fields, body string) {
		out.Lock()
		defer out.Unlock()
		fmt.Fprintf(c, "%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
	}
	for in := bufio.NewReader(c); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "CALL":
			if len(words) != 4 {
				return
			}
			n, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			go w.call(words[1], fieldsOf(words[2]), string(body[:n]), reply)
		case "LOAD":
			go w.load(words[1], fieldsOf(words[2]), reply)
		case "PING", "STATS":
			w.mu.Lock()
			w.pings++
			w.mu.Unlock()
			reply(words[1], "UP", w.fields(""), "")
		}
	}
}

func fieldsOf(text string) map[string]string {
	fields := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return fields
}

func (w *worker) fields(detail string) string {
	var fields []string
	if detail != "" {
		fields = append(fields, "detail="+detail)
	}
	if w.f.use != "" {
		fields = append(fields, "use="+w.f.use)
	}
	if len(fields) == 0 {
		return "-"
	}
	return strings.Join(fields, ",")
}

func (w *worker) arrived(kind, id string) (drains bool, incarnation int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := ""
	if w.drains {
		answer = "BUSY"
	}
	w.arrivals = append(w.arrivals, arrival{kind, id, time.Now(), answer})
	return w.drains, w.incarnation
}

func (w *worker) copy(function string) (loaded chan struct{}, detail string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if loaded = w.copies[function]; loaded != nil {
		select {
		case <-loaded:
			return loaded, "warm"
		default:
			return loaded, "joined"
		}
	}
	loaded = make(chan struct{})
	w.copies[function] = loaded
	time.AfterFunc(w.f.loadTime, func() { close(loaded) })
	return loaded, "cold"
}

func (w *worker) call(id string, fields map[string]string, body string, reply func(id, word, fields, body string)) {
	drains, incarnation := w.arrived("CALL", id)
	if drains {
		w.f.r.logf("%s drains: BUSY to call %s", w.id(), id)
		reply(id, "BUSY", w.fields(""), "")
		return
	}
	loaded, detail := w.copy(fields["path"])
	<-loaded
	if !w.f.recordRun(w, run{id, fields["uniq"], fields["queue"], body, w.no, time.Now()}) {
		reply(id, "VOID", w.fields(""), "")
		return
	}
	time.Sleep(w.f.workTime(fields["queue"]))
	w.mu.Lock()
	alive := w.incarnation == incarnation
	w.mu.Unlock()
	if alive {
		reply(id, "OK", w.fields(detail), "ran "+body)
	}
}

// recordRun records a run, and reports false if the hall drops the call as the repeat of a key.
func (f *fleet) recordRun(w *worker, x run) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if x.key != "" {
		key := fmt.Sprint(w.zone, " ", x.key)
		if last, ok := f.lastRun[key]; ok && time.Since(last) < 8*time.Second {
			return false
		}
		f.lastRun[key] = time.Now()
	}
	f.runs = append(f.runs, x)
	return true
}

func (w *worker) load(tag string, fields map[string]string, reply func(id, word, fields, body string)) {
	if drains, _ := w.arrived("LOAD", tag); drains {
		w.f.r.logf("%s drains: BUSY to order %s", w.id(), tag)
		reply(tag, "BUSY", "pods=0", "")
		return
	}
	loaded, _ := w.copy(fields["path"])
	<-loaded
	reply(tag, "OK", "pods=1", "")
}

// known returns the list of all workers as event 1, in the form of the configuration.
func (f *fleet) known(halls, kinds []string) map[string]any {
	var members []obj
	for _, w := range f.workers {
		members = append(members, obj{"id": w.id(), "host_port": w.addr, "locality": halls[w.zone], "flavor": kinds[0], "cell": w.no / 4,
			"phase": phases[ready], "size": 1, "up_since_ms": w.startedMs})
	}
	return obj{"no": 1, "items": []obj{{"no": 1, "roster": obj{"revision": 1, "complete": true, "members": members}}}}
}

// bulletin is the stand-in of the service that tells the list of workers, for one gateway.
type bulletin struct {
	r       *rig
	name    string
	addr    string
	mu      sync.Mutex
	ln      net.Listener
	events  [][]byte // frames from number 2 on
	told    int      // how many of them are passed on as yet
	changed chan struct{}
	conns   map[net.Conn]bool
	silent  bool // tells nothing more, no empty frames either
}

func newBulletin(r *rig, name string) *bulletin {
	b := &bulletin{r: r, name: name, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	b.open("127.0.0.1:0")
	return b
}

func (b *bulletin) open(addr string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	b.mu.Lock()
	b.ln, b.addr = ln, ln.Addr().String()
	b.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

func frame(number uint64, kind byte, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	out = binary.BigEndian.AppendUint64(out, number)
	return append(append(out, kind), payload...)
}

// publish puts an event into the bulletin. With hold it is not passed on until release.
func (b *bulletin) publish(w *worker, state byte, hold bool) {
	at := netip.MustParseAddrPort(w.addr)
	ip := at.Addr().As4()
	record := binary.BigEndian.AppendUint32(nil, uint32(w.no+1))
	record = binary.BigEndian.AppendUint16(append(record, ip[:]...), at.Port())
	record = append(record, state, byte(w.zone), 0)
	record = binary.BigEndian.AppendUint16(record, uint16(w.no/4))
	record = binary.BigEndian.AppendUint32(record, 1000)
	record = binary.BigEndian.AppendUint64(record, uint64(w.startedMs))
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, frame(uint64(len(b.events)+2), 2, record))
	b.r.logf("bulletin %s: event %d is in it: %s is %s", b.name, len(b.events)+1, w.id(), []string{"ready", "draining", "gone"}[state])
	if !hold {
		b.told = len(b.events)
		b.change()
	}
}

func (b *bulletin) change() {
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *bulletin) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.told = len(b.events)
	b.r.logf("bulletin %s: passes on all events", b.name)
	b.change()
}

// shut stops listening; open connections say nothing more and end after a time.
func (b *bulletin) shut(after time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ln.Close()
	b.silent = true
	b.r.logf("bulletin %s: tells nothing more and takes no connection", b.name)
	b.change()
	conns := b.conns
	b.conns = map[net.Conn]bool{}
	time.AfterFunc(after, func() {
		for c := range conns {
			c.Close()
		}
	})
}

// back lets a bulletin that was shut be reached again, at the same address.
func (b *bulletin) back() {
	b.mu.Lock()
	b.silent = false
	addr := b.addr
	b.mu.Unlock()
	b.open(addr)
	b.r.logf("bulletin %s: can be reached again", b.name)
}

func (b *bulletin) serve(c net.Conn) {
	defer c.Close()
	var asked [8]byte
	if _, err := io.ReadFull(c, asked[:]); err != nil {
		return
	}
	last := int(binary.BigEndian.Uint64(asked[:]))
	b.r.logf("bulletin %s: asked for events after %d", b.name, last)
	b.mu.Lock()
	b.conns[c] = true
	b.mu.Unlock()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		b.mu.Lock()
		var out []byte
		for ; last >= 1 && last-1 < b.told; last++ {
			out = append(out, b.events[last-1]...)
			b.r.logf("bulletin %s: tells event %d", b.name, last+1)
		}
		changed, silent := b.changed, b.silent
		b.mu.Unlock()
		if silent { // until the connection is closed
			io.Copy(io.Discard, c)
			return
		}
		if len(out) == 0 {
			select {
			case <-changed:
				continue
			case <-tick.C:
				out = frame(uint64(last), 0, nil)
			}
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}
