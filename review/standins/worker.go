package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	workTime = 40 * time.Millisecond  // of a call
	loadTime = 150 * time.Millisecond // of a copy
)

// arrival is a call or an order to load that came to a worker.
type arrival struct {
	at       time.Time
	verb, id string
}

// worker is a stand-in of a worker node. It loads a function when that is called first, and runs every call for workTime.
type worker struct {
	id     string
	number uint32
	zone   int
	record *record
	halls  *hallMemory // shared by all workers
	addr   string
	ln     net.Listener

	mu       sync.Mutex
	conns    map[net.Conn]bool
	copies   map[string]chan struct{} // by function; closed once the copy is loaded
	arrivals []arrival
	runs     map[string]int // by request id
}

// reply writes an answer on the connection of its request.
type reply func(id, word, fields string, body []byte)

func newWorker(rec *record, halls *hallMemory, number uint32, zone int) (*worker, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: fmt.Sprintf("s-%08x", number), number: number, zone: zone, record: rec, halls: halls, addr: ln.Addr().String(), ln: ln,
		conns: map[net.Conn]bool{}, copies: map[string]chan struct{}{}, runs: map[string]int{}}
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
	return w, nil
}

// stop ends the worker's process: nobody listens any more, and its connections are reset.
func (w *worker) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ln.Close()
	for c := range w.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	clear(w.conns)
}

// since returns the calls and orders that came after a time.
func (w *worker) since(t time.Time) (out []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.at.After(t) {
			out = append(out, a)
		}
	}
	return out
}

// runsOf returns how often a request has run here.
func (w *worker) runsOf(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// serve reads commands from a connection until it ends.
func (w *worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	var writing sync.Mutex
	answer := func(id, word, fields string, body []byte) {
		w.record.logf("%s answers %s %s %s, %d bytes", w.id, id, word, fields, len(body))
		writing.Lock()
		defer writing.Unlock()
		fmt.Fprintf(c, "%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body)
	}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		at, words := time.Now(), strings.Fields(line)
		if len(words) < 2 {
			return
		}
		switch words[0] {
		case "CALL":
			n, err := strconv.Atoi(words[len(words)-1])
			if len(words) != 4 || err != nil {
				return
			}
			body := make([]byte, n+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
			w.arrived(arrival{at, "CALL", words[1]}, words[2])
			go w.call(words[1], parseFields(words[2]), body[:n], answer)
		case "LOAD":
			w.arrived(arrival{at, "LOAD", words[1]}, words[2])
			go w.load(words[1], parseFields(words[2]), answer)
		case "PING":
			answer(words[1], "UP", "-", nil)
		}
	}
}

func parseFields(text string) map[string]string {
	out := map[string]string{}
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		out[name] = value
	}
	return out
}

func (w *worker) arrived(a arrival, fields string) {
	w.record.logf("%s gets %s %s %s", w.id, a.verb, a.id, fields)
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
}

// copyOf returns the copy of a function, and begins to load it if there is none. detail is the note that a call of it gets.
func (w *worker) copyOf(function string) (loaded chan struct{}, detail string) {
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
	time.AfterFunc(loadTime, func() { close(loaded) })
	return loaded, "cold"
}

// call runs a call. The body "size N ..." asks for an answer of N bytes.
func (w *worker) call(id string, fields map[string]string, body []byte, answer reply) {
	loaded, detail := w.copyOf(fields["path"])
	<-loaded
	if key := fields["uniq"]; key != "" && !w.halls.begin(key, w.zone, w.id) {
		w.record.logf("%s drops %s, a repeat of key %s", w.id, id, key)
		answer(id, "VOID", "-", nil)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.mu.Unlock()
	w.record.logf("%s runs %s key=%s", w.id, id, fields["uniq"])
	time.Sleep(workTime)
	out := append([]byte("ran "), body...)
	var size int
	if n, _ := fmt.Sscanf(string(body), "size %d ", &size); n == 1 && size > len(out) {
		out = append(out, bytes.Repeat([]byte("."), size-len(out))...)
	}
	answer(id, "OK", "detail="+detail, out)
}

// load carries out an order to load; 0 copies only ask.
func (w *worker) load(tag string, fields map[string]string, answer reply) {
	if fields["pods"] == "0" {
		answer(tag, "OK", "pods=0", nil)
		return
	}
	loaded, _ := w.copyOf(fields["path"])
	<-loaded
	answer(tag, "OK", "pods=1", nil)
}
