package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() { cases["worker-dies"] = workerDies }

// mqttWorker is the stand-in of a worker that is reached by MQTT, with its session at the broker. As MQTT has it, the broker delivers a
// call with the QoS with which it was published. What the worker has not acknowledged with QoS 1 when its process dies is delivered again,
// marked as a duplicate, when it is back. The worker acknowledges a call when it is done with it, as clients' libraries do that acknowledge
// when the handler returns. It drops the repeat of a key that it remembers; a process that has died remembers nothing.
type mqttWorker struct {
	r             *rig
	b             *broker
	name, gateway string // gateway is the client id of the gateway's session
	mu            sync.Mutex
	up            bool
	process       int  // counts the worker's processes
	dieAfter      bool // the process dies once it has confirmed the next order, before it says so
	unacked       []*message
	ran           map[string]int // by id of the call, how often its order was confirmed
	keys          map[string]time.Time
	work          time.Duration
}

func (w *mqttWorker) topic() string  { return "workers/" + w.name + "/calls" }
func (w *mqttWorker) status() string { return "workers/" + w.name + "/status" }

// setState publishes the worker's state, or its last will, as a retained message.
func (w *mqttWorker) setState(state string) {
	w.b.mu.Lock()
	w.b.retained[w.status()] = state
	w.b.mu.Unlock()
	w.r.logf("broker: the state of %s is %s", w.name, state)
	w.b.publish(w.gateway, &message{topic: w.status(), payload: state})
}

// connect connects the worker to the broker: it is ready, and what it has not acknowledged comes again.
func (w *mqttWorker) connect() {
	w.mu.Lock()
	w.up = true
	again := append([]*message(nil), w.unacked...)
	w.mu.Unlock()
	w.setState("ready")
	for _, m := range again {
		m.dup = true
		go w.run(m)
	}
}

// die ends the worker's process: the broker publishes the last will and keeps the session.
func (w *mqttWorker) die() {
	w.mu.Lock()
	w.up = false
	w.process++
	w.dieAfter = false
	clear(w.keys)
	n := len(w.unacked)
	w.mu.Unlock()
	w.r.logf("%s dies, %d calls are not acknowledged", w.name, n)
	w.setState("gone")
}

// deliver takes a call from the broker. m.qos0 messages are not delivered again.
func (w *mqttWorker) deliver(m *message) {
	w.mu.Lock()
	up := w.up
	if m.qos > 0 {
		w.unacked = append(w.unacked, m)
	}
	w.mu.Unlock()
	if up {
		go w.run(m)
	}
}

func (w *mqttWorker) run(m *message) {
	id, key := m.user["id"], m.user["key"]
	w.mu.Lock()
	process := w.process
	if last, ok := w.keys[key]; ok && key != "" && time.Since(last) < 8*time.Second {
		w.mu.Unlock()
		return
	}
	w.keys[key] = time.Now()
	w.mu.Unlock()
	time.Sleep(w.work / 2)
	w.mu.Lock()
	if w.process != process {
		w.mu.Unlock()
		return
	}
	w.ran[id]++
	die := w.dieAfter
	w.mu.Unlock()
	w.r.logf("%s has run %s of %s, QoS %d, marked as a duplicate: %v", w.name, id, m.user["class"], m.qos, m.dup)
	if die {
		w.die()
		return
	}
	time.Sleep(w.work / 2)
	w.mu.Lock()
	alive := w.process == process
	if alive { // PUBACK
		for i, other := range w.unacked {
			if other == m {
				w.unacked = append(w.unacked[:i:i], w.unacked[i+1:]...)
				break
			}
		}
	}
	w.mu.Unlock()
	if alive {
		w.b.publish(w.gateway, &message{topic: m.response, correlation: m.correlation, payload: "ran " + m.payload,
			user: map[string]string{"outcome": "ok", "detail": "warm"}})
	}
}

// workerDies: a worker that is reached by MQTT dies while it runs a call that must never run twice, and comes back after 10 s.
func workerDies(r *rig) (string, error) {
	b := newBroker(r)
	file := fmt.Sprintf("enabled = true\n[calls]\nbroker = \"\"\n[workers]\nbroker = %q\nclient_id = \"quillrail-workers\"\nreplies = \"answers\"\n"+
		"keep_alive_s = 20\n", b.addr)
	var ws []*mqttWorker
	for i := range 5 {
		w := &mqttWorker{r: r, b: b, name: fmt.Sprint("w", i+1), gateway: "quillrail-workers-n0", ran: map[string]int{}, keys: map[string]time.Time{},
			work: 320 * time.Millisecond}
		ws = append(ws, w)
		w.connect()
		file += fmt.Sprintf("[[workers.worker]]\nname = %q\ntopic = %q\nstatus = %q\nzone = %q\ncell = 0\nweight = 1.0\n", w.name, w.topic(), w.status(),
			larderHalls[i%2])
	}
	b.onOut = func(topic string, m message) {
		for _, w := range ws {
			if topic == w.topic() {
				w.deliver(&m)
			}
		}
	}
	path := filepath.Join(r.tmp, "mqtt.toml")
	os.WriteFile(path, []byte(file), 0o644)
	f := newFleet(r, 0, 2)
	list := newBulletin(r, "0")
	s := larderSettings(1, 0, 0)
	g := &gateway{name: "n0", listen: freeAddr(), bulletin: list.addr, dir: filepath.Join(r.tmp, "n0"), settings: s,
		known: f.known(larderHalls, []string{"quick-3c"}), flags: " --mqtt " + path}
	if _, err := r.startGateway(g); err != nil {
		return "", err
	}
	if err := awaitBroker(b); err != nil {
		return "", err
	}
	l := larderLoad(r, 10, g.listen)
	l.classes = []string{"order-confirm"}
	l.begin()
	time.Sleep(4 * time.Second)
	for _, w := range ws[:3] {
		if r.trouble {
			w.mu.Lock()
			w.dieAfter = true
			w.mu.Unlock()
		}
		time.Sleep(11 * time.Second)
		if r.trouble {
			w.connect()
		}
		time.Sleep(time.Second)
	}
	done := l.end()
	time.Sleep(time.Second)
	ran, twice := 0, 0
	for _, w := range ws {
		w.mu.Lock()
		for id, n := range w.ran {
			ran++
			if n > 1 {
				twice++
				r.breakRule("order-confirm %s was run %d times", id, n)
			}
		}
		w.mu.Unlock()
	}
	return fmt.Sprintf("%s; %d ran, %d of them more than once", done, ran, twice), nil
}
