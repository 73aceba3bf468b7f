package replog

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/site"
)

// network simulates a few voters and the messages between them: messages are lost, delayed, duplicated and reordered,
// disks are written late, and processes end and restart with their disk as it was, with an older one or with an empty
// one.
type network struct {
	rng       *rand.Rand
	members   []*member
	inTransit []transitMessage
	blocked   map[[2]int]bool // directions, from one member to another, that lose all messages
	seq       uint64
	appliedAt map[uint64]string // by index, the entry that the first member applied there
	failure   error
	steps     int
	lostDisks map[uint64]bool        // voter IDs of lost disks, which must never vote again
	onApplied func(*member, Applied) // nil, or called from within each callback of a group
	afterCall func(*member)          // nil, or called after each call in which a group applies entries
}

type transitMessage struct {
	from, to int
	body     []byte
}

// member is one voter of the network. disk is what is safely on its disk, pendingOutput the output that is not written
// yet.
type member struct {
	network       *network
	index         int
	name          string
	disk          Disk
	group         *Group
	pendingOutput *Output
}

func newNetwork(seed uint64, voters int) *network {
	n := &network{rng: rand.New(rand.NewPCG(seed, 9)), blocked: map[[2]int]bool{}, appliedAt: map[uint64]string{},
		lostDisks: map[uint64]bool{}}
	var initial []Voter
	for i := range voters {
		m := &member{network: n, index: i, name: fmt.Sprint("g", i), disk: Disk{ID: uint64(i + 1), Entries: map[uint64][]byte{}}}
		n.members = append(n.members, m)
		initial = append(initial, Voter{ID: m.disk.ID, Name: m.name, Hall: fmt.Sprint("h", i)})
	}
	for _, m := range n.members {
		w, err := Bootstrap(NewState(site.KnownNames{Halls: []string{"h0"}}, DefaultRules, change.DefaultLimits), initial)
		if err != nil {
			panic(err)
		}
		m.disk.apply(w)
		m.start()
	}
	return n
}

// apply puts a write on the disk.
func (d *Disk) apply(w *Write) {
	if w.Hard != nil {
		d.Hard = w.Hard
	}
	if w.Snap != nil {
		d.Snap = w.Snap
	}
	for i, b := range w.Entries {
		if d.Entries[i] = b; b == nil {
			delete(d.Entries, i)
		}
	}
}

func (d *Disk) clone() Disk {
	c := Disk{ID: d.ID, Hard: d.Hard, Snap: d.Snap, Entries: map[uint64][]byte{}}
	for i, b := range d.Entries {
		c.Entries[i] = b
	}
	return c
}

func (m *member) start() {
	var err error
	if m.pendingOutput = nil; m.disk.Snap == nil {
		m.group, err = OpenLearner(m.name, m.disk.ID, m.checkApplied)
	} else {
		m.group, err = Open(m.name, m.disk.clone(), m.checkApplied)
	}
	if err != nil {
		m.network.fail("%s can't start: %v", m.name, err)
	}
}

func (n *network) fail(format string, a ...any) {
	if n.failure == nil {
		n.failure = fmt.Errorf(format, a...)
	}
}

// checkApplied compares an applied entry with what other members have applied at the same index.
func (m *member) checkApplied(applied Applied) {
	if m.network.onApplied != nil {
		m.network.onApplied(m, applied)
	}
	if applied.Snapshot {
		return
	}
	if previous, ok := m.network.appliedAt[applied.Index]; !ok {
		m.network.appliedAt[applied.Index] = string(applied.Raw)
	} else if previous != string(applied.Raw) {
		m.network.fail("two different entries were applied at index %d", applied.Index)
	}
}

// pump carries out the outputs of a member's group; now says whether a write reaches the disk at once.
func (m *member) pump(now bool) {
	for m.group != nil {
		if m.pendingOutput == nil {
			out, err := m.group.Ready()
			if out == nil || err != nil {
				return
			}
			m.pendingOutput = out
		}
		if !now {
			return
		}
		if w := m.pendingOutput.Write; w != nil {
			m.disk.apply(w)
		}
		for _, message := range m.pendingOutput.Messages {
			for j, other := range m.network.members {
				if other.disk.ID == message.To {
					m.network.inTransit = append(m.network.inTransit, transitMessage{m.index, j, message.Body})
				}
			}
		}
		m.pendingOutput = nil
		if more, err := m.group.Written(); err != nil {
			m.network.fail("%s: %v", m.name, err)
			return
		} else if more != nil {
			m.disk.apply(more)
		}
		if m.network.afterCall != nil {
			m.network.afterCall(m)
		}
	}
}

// step performs a random action.
func (n *network) step() {
	n.steps++
	m := n.members[n.rng.IntN(len(n.members))]
	switch r := n.rng.IntN(200); {
	case r < 70:
		if m.group != nil {
			m.group.Tick()
		}
	case r < 170:
		for k := n.rng.IntN(6); k >= 0 && len(n.inTransit) > 0; k-- {
			n.deliver(n.rng.IntN(len(n.inTransit)))
		}
	case r < 185:
		n.propose(m)
	case r < 188:
		n.blocked[[2]int{n.rng.IntN(len(n.members)), n.rng.IntN(len(n.members))}] = true
	case r < 191:
		clear(n.blocked)
	case r < 193:
		m.group = nil // the process ends; its pending write may or may not reach the disk
		if m.pendingOutput != nil && m.pendingOutput.Write != nil && n.rng.IntN(2) == 0 {
			m.disk.apply(m.pendingOutput.Write)
		}
	default:
		if m.group == nil {
			m.start()
		}
	}
	m.pump(n.rng.IntN(4) > 0)
}

func (n *network) deliver(k int) {
	message := n.inTransit[k]
	if n.rng.IntN(8) > 0 {
		n.inTransit = slices.Delete(n.inTransit, k, k+1)
	}
	if len(n.inTransit) > 500 {
		n.inTransit = n.inTransit[100:]
	}
	to := n.members[message.to]
	if to.group == nil || n.blocked[[2]int{message.from, message.to}] || n.rng.IntN(10) == 0 {
		return
	}
	to.group.Step(message.body)
	to.pump(n.rng.IntN(4) > 0)
}

// propose makes a member propose an entry.
func (n *network) propose(m *member) error {
	if m.group == nil {
		return nil
	}
	n.seq++
	body, err := msgpack.Marshal(&change.StatusUpdateBody{Updates: []change.StatusUpdate{{
		Subject:       change.NewSubject(change.Worker, fmt.Sprint("w", n.seq%20)),
		SubjectStatus: change.SubjectStatus{Hall: "h0", Health: change.Cold, Incarnation: n.seq}}}})
	if err != nil {
		return err
	}
	return m.group.Propose(&Entry{FormatVersion: 1, From: m.name, Incarnation: 1, Seq: n.seq, Kind: "see", Body: body}, int64(n.seq))
}
