package mqtt

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzDelivery takes random steps (calls, redeliveries, lost connections, restarts, lost acknowledgements, passing time) and checks
// that no key runs twice, and that no call has two recorded outcomes within one incarnation of the gateway.
func FuzzDelivery(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 0, 8, 1, 9})
	f.Add([]byte{6, 0, 0, 2, 3, 1, 5, 0, 4, 7, 7, 7})
	f.Add([]byte{7, 0, 5, 0, 5, 1, 5, 9, 9, 6, 0, 2, 8, 9})
	f.Fuzz(func(t *testing.T, steps []byte) {
		gw := newTestGateway(t)
		var keys []string
		for i, step := range steps[:min(len(steps), 40)] {
			switch step % 10 {
			case 0, 8:
				keys = append(keys, fmt.Sprint("k", i))
				gw.publish("command", keys[len(keys)-1], fmt.Sprint("c", i), 1+uint32(step%4))
			case 1:
				gw.publish("read", "", fmt.Sprint("c", i), 2)
			case 2:
				gw.callBroker.disconnect("gw")
			case 3:
				gw.workerBroker.disconnect("gw")
			case 4:
				gw.callBroker.redeliver("gw")
			case 5:
				gw.kill()
				gw.start()
			case 6:
				gw.callBroker.dropAcks = !gw.callBroker.dropAcks
			case 7:
				gw.workerSilent = !gw.workerSilent
			case 9:
				gw.Advance(700 * time.Millisecond)
			}
			gw.Run()
		}
		gw.callBroker.dropAcks = false
		gw.Advance(15 * time.Second)
		for _, k := range keys {
			if gw.runs[k] > 1 {
				t.Errorf("%s ran %d times", k, gw.runs[k])
			}
			if n := len(gw.records["record "+k]); n == 0 && gw.incarnation == 1 {
				t.Errorf("%s has no outcome", k)
			}
		}
		for k, n := range gw.perIncarnation {
			if n > 1 && strings.Contains(k, "k") { // safe calls have no key
				t.Errorf("%s has %d outcomes", k, n)
			}
		}
		if n := gw.core.InFlight(); n > 0 {
			t.Errorf("%d calls still open", n)
		}
	})
}

// FuzzPackets feeds arbitrary bytes, split at any point, to the parser. It must not panic, and the split must not change the result.
func FuzzPackets(f *testing.F) {
	m := Message{Topic: "a/b", Payload: []byte("x"), Props: Props{ResponseTopic: "r", Correlation: []byte{1},
		User: []Pair{{"n", "v"}}, Expiry: 9, HasExpiry: true}}
	f.Add(AppendPuback(AppendPublish(nil, &m, 7, 8), 7, NoSubscribers), 3)
	f.Add(AppendConnect(nil, "id", true, 9, &Props{ReceiveMax: 3}), 1)
	f.Add(binary.BigEndian.AppendUint64([]byte{0x30, 0xff, 0xff, 0xff}, 1<<60), 2)
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		split = max(0, min(split, len(data)))
		var whole, parts []*Packet
		var p, q Parser
		err := p.Feed(data, func(x *Packet) { whole = append(whole, x) })
		if err2 := q.Feed(data[:split], func(x *Packet) { parts = append(parts, x) }); err2 == nil {
			err2 = q.Feed(data[split:], func(x *Packet) { parts = append(parts, x) })
			if (err == nil) != (err2 == nil) || len(whole) != len(parts) {
				t.Errorf("whole: %d packets, %v; split at %d: %d packets, %v", len(whole), err, split, len(parts), err2)
			}
		}
	})
}
