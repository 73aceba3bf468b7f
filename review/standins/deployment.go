package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const workerCount = 14

// deployment is a gateway with its workers, its bulletin and, if it takes calls by MQTT, its broker.
type deployment struct {
	halls    *hallMemory
	workers  []*worker
	bulletin *bulletin
	broker   *broker // nil without MQTT
	gateway  *gateway
}

// newDeployment starts workers and a bulletin that lists them, and prepares a gateway. close must be called also after an error.
func newDeployment(s *setup) (d *deployment, err error) {
	d = &deployment{halls: newHallMemory()}
	for n := range workerCount {
		if err := d.addWorker(s, n); err != nil {
			return d, err
		}
	}
	if d.bulletin, err = newBulletin(s.record, d.workers); err != nil {
		return d, err
	}
	d.gateway, err = newGateway(s, d.bulletin)
	return d, err
}

// addWorker starts a worker with the next number in the hall of place n.
func (d *deployment) addWorker(s *setup, n int) error {
	w, err := newWorker(s.record, d.halls, uint32(len(d.workers)+1), n%len(zones))
	if err == nil {
		d.workers = append(d.workers, w)
	}
	return err
}

// useMQTT starts a broker, and has the gateway take calls from it.
func (d *deployment) useMQTT(s *setup) (err error) {
	if d.broker, err = newBroker(s.record); err != nil {
		return err
	}
	path := filepath.Join(d.gateway.dir, "mqtt.toml") // as deploy/mqtt.toml, with calls on and the rest off
	text := fmt.Sprintf("enabled = true\n[calls]\nbroker = %q\nclient_id = \"quillrail-calls\"\nlisten = [\"calls/#\"]\n"+
		"session_expiry_s = 300\nkeep_alive_s = 20\n[workers]\nbroker = \"\"\n[export]\nenabled = false\n", d.broker.addr)
	d.gateway.runCommand += " --mqtt " + path
	return os.WriteFile(path, []byte(text), 0o600)
}

// awaitSubscription waits until the gateway is connected to the broker and has subscribed to calls.
func (d *deployment) awaitSubscription() error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if d.broker.subscribed("quillrail-calls") {
			return nil
		}
	}
	return errors.New("the gateway had not subscribed at the broker after 5 s")
}

func (d *deployment) close() {
	if d.gateway != nil {
		d.gateway.killAll()
	}
	if d.broker != nil {
		d.broker.close()
	}
	if d.bulletin != nil {
		d.bulletin.close()
	}
	for _, w := range d.workers {
		w.stop()
	}
}
