package mqtt

import (
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"
)

// FuzzDelivery plays random steps (calls, redeliveries, cuts, restarts, lost acknowledgements, time) and checks
// the model: no key runs twice, and within one life of the gateway no call has two recorded outcomes.
func FuzzDelivery(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 0, 8, 1, 9})
	f.Add([]byte{6, 0, 0, 2, 3, 1, 5, 0, 4, 7, 7, 7})
	f.Add([]byte{7, 0, 5, 0, 5, 1, 5, 9, 9, 6, 0, 2, 8, 9})
	f.Fuzz(func(t *testing.T, steps []byte) {
		s := newStage(t)
		var keys []string
		for i, step := range steps[:min(len(steps), 40)] {
			switch step % 10 {
			case 0, 8:
				keys = append(keys, fmt.Sprint("k", i))
				s.publish("command", keys[len(keys)-1], fmt.Sprint("c", i), 1+uint32(step%4))
			case 1:
				s.publish("read", "", fmt.Sprint("c", i), 2)
			case 2:
				s.calls.cut("gw")
			case 3:
				s.jobs.cut("gw")
			case 4:
				s.calls.redeliver("gw")
			case 5:
				s.kill()
				s.start()
			case 6:
				s.calls.holdAcks = !s.calls.holdAcks
			case 7:
				s.mute = !s.mute
			case 9:
				s.Pass(700 * time.Millisecond)
			}
			s.Run()
		}
		s.calls.holdAcks = false
		s.Pass(15 * time.Second)
		for _, k := range keys {
			if s.runs[k] > 1 {
				t.Errorf("%s ran %d times", k, s.runs[k])
			}
			if n := len(s.records["record "+k]); n == 0 && s.life == 1 {
				t.Errorf("%s has no outcome", k)
			}
		}
		for k, n := range s.perLife {
			if n > 1 && strings.Contains(k, "k") { // safe calls have no key
				t.Errorf("%s has %d outcomes", k, n)
			}
		}
		if n := s.core.InFlight(); n > 0 {
			t.Errorf("%d calls still open", n)
		}
	})
}

// FuzzPackets feeds arbitrary bytes, cut anywhere, to the parser: it must not panic, and the cut must not matter.
func FuzzPackets(f *testing.F) {
	m := Message{Topic: "a/b", Payload: []byte("x"), Props: Props{ResponseTopic: "r", Correlation: []byte{1},
		User: []Pair{{"n", "v"}}, Expiry: 9, HasExpiry: true}}
	f.Add(AppendPuback(AppendPublish(nil, &m, 7, 8), 7, NoSubscribers), 3)
	f.Add(AppendConnect(nil, "id", true, 9, &Props{ReceiveMax: 3}), 1)
	f.Add(binary.BigEndian.AppendUint64([]byte{0x30, 0xff, 0xff, 0xff}, 1<<60), 2)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		cut = max(0, min(cut, len(data)))
		var whole, parts []*Packet
		var p, q Parser
		err := p.Feed(data, func(x *Packet) { whole = append(whole, x) })
		if err2 := q.Feed(data[:cut], func(x *Packet) { parts = append(parts, x) }); err2 == nil {
			err2 = q.Feed(data[cut:], func(x *Packet) { parts = append(parts, x) })
			if (err == nil) != (err2 == nil) || len(whole) != len(parts) {
				t.Errorf("whole: %d, %v; cut at %d: %d, %v", len(whole), err, cut, len(parts), err2)
			}
		}
	})
}
