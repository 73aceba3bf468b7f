package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

func init() {
	cases["redelivered"] = redelivered
	cases["sent-again"] = sentAgain
	cases["broker-away"] = brokerAway
}

// mqttFile writes the file of the MQTT front for a broker.
func mqttFile(r *rig, b *broker) string {
	path := filepath.Join(r.tmp, "mqtt.toml")
	os.WriteFile(path, []byte(fmt.Sprintf("enabled = true\n[calls]\nbroker = %q\nclient_id = \"quillrail-calls\"\nlisten = [\"calls/#\"]\n"+
		"session_expiry_s = 300\nkeep_alive_s = 20\n", b.addr)), 0o644)
	return path
}

// mqttCalls are calls by MQTT with the outcomes that their callers got.
type mqttCalls struct {
	r        *rig
	b        *broker
	client   string
	mu       sync.Mutex
	outcomes map[string][]string // by id of the call
	classOf  map[string]string
	sent     map[string]*message
	repeats  int // calls that were sent again
}

func newMQTTCalls(r *rig, b *broker, client string) *mqttCalls {
	c := &mqttCalls{r: r, b: b, client: client, outcomes: map[string][]string{}, classOf: map[string]string{}, sent: map[string]*message{}}
	b.onOut = func(topic string, m message) {
		c.mu.Lock()
		defer c.mu.Unlock()
		id := filepath.Base(topic)
		what := m.user["outcome"]
		if why := m.user["reason"]; why != "" {
			what += " (" + why + ")"
		}
		r.logf("caller of %s gets: %s, again by QoS 1: %v", id, what, m.dup)
		if !m.dup {
			c.outcomes[id] = append(c.outcomes[id], what)
		}
	}
	return c
}

// call publishes a call. Its caller has a response topic of its own.
func (c *mqttCalls) call(class, tenant string, keyed, correlation bool, function int) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	m := &message{topic: "calls/" + class, response: "callers/" + id, payload: fmt.Sprint(class, " ", id), expiry: 4,
		user: map[string]string{"class": class, "tenant": tenant, "function": fmt.Sprintf("%016x", function), "id": id, "cost-ms": "50",
			"tags": "memory_mb:3000;lanes:4;load_ms:1200"}}
	if keyed {
		m.user["key"] = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	}
	if correlation {
		m.correlation = []byte(id)
	}
	c.mu.Lock()
	c.classOf[id] = class
	c.outcomes[id] = nil
	c.sent[id] = m
	c.mu.Unlock()
	c.r.logf("call %s of %s is published", id, class)
	c.b.publish(c.client, m)
	return id
}

// again publishes a call once more, as it was.
func (c *mqttCalls) again(id string) {
	c.mu.Lock()
	m := *c.sent[id]
	c.repeats++
	c.mu.Unlock()
	c.r.logf("call %s is sent again by its caller's session", id)
	c.b.publish(c.client, &m)
}

func awaitBroker(b *broker) error {
	for range 200 {
		if b.connected() {
			time.Sleep(100 * time.Millisecond)
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return fmt.Errorf("the gateway does not connect to the broker")
}

// oneGateway starts a gateway with an MQTT front.
func oneGateway(r *rig, f *fleet, b *broker, settings obj) (*gateway, *process, error) {
	list := newBulletin(r, "0")
	g := &gateway{name: "n0", listen: freeAddr(), bulletin: list.addr, dir: filepath.Join(r.tmp, "n0"), settings: settings,
		known: f.known(settings["azs"].([]string), settings["kinds"].([]string)), flags: " --mqtt " + mqttFile(r, b)}
	p, err := r.startGateway(g)
	if err == nil {
		err = awaitBroker(b)
	}
	return g, p, err
}

// redelivered: the broker loses the gateway's connection while calls are open, and delivers them again on the next one.
func redelivered(r *rig) (string, error) {
	f := newFleet(r, 6, 3)
	b := newBroker(r)
	if _, _, err := oneGateway(r, f, b, rigaSettings(1, 0, 0)); err != nil {
		return "", err
	}
	c := newMQTTCalls(r, b, "quillrail-calls-n0")
	for round := range 5 {
		for i := range 4 { // functions that no worker has loaded yet
			c.call("status-read", "daugava-lifts", false, false, 10*round+i+1)
		}
		time.Sleep(200 * time.Millisecond)
		if r.trouble {
			b.drop()
		}
		time.Sleep(4 * time.Second)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for id, got := range c.outcomes {
		counts[fmt.Sprintf("%q", got)]++
		for _, other := range got[min(1, len(got)):] {
			if other != got[0] { // the same outcome twice is not counted
				r.breakRule("call %s of %s got two different final answers: %q", id, c.classOf[id], got)
				break
			}
		}
	}
	return fmt.Sprintf("%d calls; their final answers: %v", len(c.outcomes), counts), nil
}

// sentAgain: callers' connections to the broker drop before their calls are acknowledged to them, so their sessions send the calls again.
// To the broker's subscriber each is a message of its own, without the mark of a duplicate (MQTT 5.0, 3.3.1.1).
func sentAgain(r *rig) (string, error) {
	f := larderFleet(r, 6)
	f.workTime = func(string) time.Duration { return 320 * time.Millisecond }
	b := newBroker(r)
	if _, _, err := oneGateway(r, f, b, larderSettings(1, 0, 0)); err != nil {
		return "", err
	}
	c := newMQTTCalls(r, b, "quillrail-calls-n0")
	for round := range 4 {
		for i := range 5 {
			id := c.call("order-confirm", "glenmuir-foods", false, false, i+1)
			if r.trouble && round > 0 && i < 2 {
				time.AfterFunc(time.Second, func() { c.again(id) })
			}
		}
		time.Sleep(5 * time.Second)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ran := map[string]int{}
	f.mu.Lock()
	for _, x := range f.runs {
		ran[x.id]++
	}
	f.mu.Unlock()
	twice := 0
	for id, n := range ran {
		if n > 1 {
			twice++
			r.breakRule("order-confirm %s ran %d times; its caller got %q", id, n, c.outcomes[id])
		}
	}
	return fmt.Sprintf("%d calls, %d sent again by their callers' sessions, %d ran, %d of them more than once", len(c.outcomes), c.repeats, len(ran), twice), nil
}

// brokerAway: the broker is away for 1.5 s while the gateway is restarted as planned.
func brokerAway(r *rig) (string, error) {
	f := newFleet(r, 6, 3)
	f.workTime = func(string) time.Duration { return 100 * time.Millisecond }
	b := newBroker(r)
	g, p, err := oneGateway(r, f, b, rigaSettings(1, 0, 0))
	if err != nil {
		return "", err
	}
	c := newMQTTCalls(r, b, "quillrail-calls-n0")
	for i := range 4 { // load the functions
		c.call("remote-command", "daugava-lifts", true, true, i+1)
	}
	time.Sleep(3 * time.Second)
	for i := range 8 {
		c.call("remote-command", "daugava-lifts", true, true, i%4+1)
	}
	time.Sleep(50 * time.Millisecond)
	if r.trouble {
		b.shut()
		time.AfterFunc(1500*time.Millisecond, b.back)
	}
	r.logf("SIGTERM to n0")
	p.signal(sigterm)
	began := time.Now()
	select {
	case <-p.exited:
	case <-time.After(3700 * time.Millisecond):
		r.logf("SIGKILL to n0")
		p.signal(sigkill)
		<-p.exited
	}
	r.logf("n0 has ended %.2f s after SIGTERM", time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(4 * time.Second)))
	if _, err := r.startGateway(g); err != nil {
		return "", err
	}
	time.Sleep(5 * time.Second)
	f.mu.Lock()
	ran := map[string]bool{}
	for _, x := range f.runs {
		ran[x.id] = true
	}
	f.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	none := 0
	for id, got := range c.outcomes {
		if len(got) == 0 && b.acked[id] {
			none++
			r.breakRule("call %s of %s was taken (PUBACK) and got no final answer; it ran: %v", id, c.classOf[id], ran[id])
		}
	}
	return fmt.Sprintf("%d calls, %d taken, %d ran, %d taken and never answered", len(c.outcomes), len(b.acked), len(ran), none), nil
}
