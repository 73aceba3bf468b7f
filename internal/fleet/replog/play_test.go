package replog

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/change"
	"quillrail/internal/fleet/site"
)

// net is a few voters and what lies between them: messages are lost, late, twice and out of order, disks are written late,
// processes end and begin again with the disk as it was, older, or empty.
type net struct {
	rng   *rand.Rand
	all   []*member
	mail  []letter
	cut   map[[2]int]bool
	seq   uint64
	truth map[uint64]string // what was applied at an index, by whoever came first
	fault error
	steps int
	gone  map[uint64]bool // disks that are lost: their numbers must never vote again
}

type letter struct {
	from, to int
	body     []byte
}

// member is one of them; disk is what is on it for sure, write what is under way.
type member struct {
	n     *net
	i     int
	name  string
	disk  Disk
	g     *Group
	write *Output
}

func newNet(seed uint64, voters int) *net {
	n := &net{rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]int]bool{}, truth: map[uint64]string{}, gone: map[uint64]bool{}}
	var seats []Voter
	for i := range voters {
		m := &member{n: n, i: i, name: fmt.Sprint("g", i), disk: Disk{ID: uint64(i + 1), Entries: map[uint64][]byte{}}}
		n.all = append(n.all, m)
		seats = append(seats, Voter{ID: m.disk.ID, Name: m.name, Hall: fmt.Sprint("h", i)})
	}
	for _, m := range n.all {
		w, err := Found(NewState(site.KnownNames{Halls: []string{"h0"}}, DefaultRules, change.Defaults), seats)
		if err != nil {
			panic(err)
		}
		m.disk.take(w)
		m.start()
	}
	return n
}

// take puts a write on the disk.
func (d *Disk) take(w *Write) {
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

func (d *Disk) copied() Disk {
	c := Disk{ID: d.ID, Hard: d.Hard, Snap: d.Snap, Entries: map[uint64][]byte{}}
	for i, b := range d.Entries {
		c.Entries[i] = b
	}
	return c
}

func (m *member) start() {
	var err error
	if m.write = nil; m.disk.Snap == nil {
		m.g, err = Learn(m.name, m.disk.ID, m.seen)
	} else {
		m.g, err = Open(m.name, m.disk.copied(), m.seen)
	}
	if err != nil {
		m.n.fail("%s can't begin: %v", m.name, err)
	}
}

func (n *net) fail(format string, a ...any) {
	if n.fault == nil {
		n.fault = fmt.Errorf(format, a...)
	}
}

// seen compares what is applied with what others have applied at the same place.
func (m *member) seen(a Applied) {
	if a.Whole {
		return
	}
	if was, ok := m.n.truth[a.Index]; !ok {
		m.n.truth[a.Index] = string(a.Raw)
	} else if was != string(a.Raw) {
		m.n.fail("entry %d is two things", a.Index)
	}
}

// pump does what a member wants done, the disk being written now or later.
func (m *member) pump(now bool) {
	for m.g != nil {
		if m.write == nil {
			out, err := m.g.Ready()
			if out == nil || err != nil {
				return
			}
			m.write = out
		}
		if !now {
			return
		}
		if w := m.write.Write; w != nil {
			m.disk.take(w)
		}
		for _, x := range m.write.Mail {
			for j, o := range m.n.all {
				if o.disk.ID == x.To {
					m.n.mail = append(m.n.mail, letter{m.i, j, x.Body})
				}
			}
		}
		m.write = nil
		if more, err := m.g.Written(); err != nil {
			m.n.fail("%s: %v", m.name, err)
			return
		} else if more != nil {
			m.disk.take(more)
		}
	}
}

// step does something at random.
func (n *net) step() {
	n.steps++
	m := n.all[n.rng.IntN(len(n.all))]
	switch r := n.rng.IntN(200); {
	case r < 70:
		if m.g != nil {
			m.g.Tick()
		}
	case r < 170:
		for k := n.rng.IntN(6); k >= 0 && len(n.mail) > 0; k-- {
			n.deliver(n.rng.IntN(len(n.mail)))
		}
	case r < 185:
		n.propose(m)
	case r < 188:
		n.cut[[2]int{n.rng.IntN(len(n.all)), n.rng.IntN(len(n.all))}] = true
	case r < 191:
		clear(n.cut)
	case r < 193:
		m.g = nil // it ends; what was being written may or may not be on the disk
		if m.write != nil && m.write.Write != nil && n.rng.IntN(2) == 0 {
			m.disk.take(m.write.Write)
		}
	default:
		if m.g == nil {
			m.start()
		}
	}
	m.pump(n.rng.IntN(4) > 0)
}

func (n *net) deliver(k int) {
	x := n.mail[k]
	if n.rng.IntN(8) > 0 {
		n.mail = slices.Delete(n.mail, k, k+1)
	}
	if len(n.mail) > 500 {
		n.mail = n.mail[100:]
	}
	to := n.all[x.to]
	if to.g == nil || n.cut[[2]int{x.from, x.to}] || n.rng.IntN(10) == 0 {
		return
	}
	to.g.Step(x.body)
	to.pump(n.rng.IntN(4) > 0)
}

// propose has a member propose something.
func (n *net) propose(m *member) error {
	if m.g == nil {
		return nil
	}
	n.seq++
	body, err := msgpack.Marshal(&change.SeeBody{Seen: []change.Seen{{Thing: change.Of(change.Worker, fmt.Sprint("w", n.seq%20)),
		Known: change.Known{Hall: "h0", Health: change.Cold, Life: n.seq}}}})
	if err != nil {
		return err
	}
	return m.g.Propose(&Entry{V: 1, From: m.name, Life: 1, Seq: n.seq, Kind: "see", Body: body}, int64(n.seq))
}

// tick is a step of time at all, and what they say to each other in it.
func (n *net) tick() {
	for _, m := range n.all {
		m.g.Tick()
		m.pump(true)
	}
	for k := 0; len(n.mail) > 0 && k < 1000; k++ {
		x := n.mail[0]
		n.mail = n.mail[1:]
		if !n.cut[[2]int{x.from, x.to}] {
			n.all[x.to].g.Step(x.body)
			n.all[x.to].pump(true)
		}
	}
}

// settle lets all hear each other until every member has applied the same.
func (n *net) settle() error {
	clear(n.cut)
	for _, m := range n.all {
		if m.g == nil {
			m.start()
		}
	}
	for range 4000 {
		n.tick()
		same := true
		for _, m := range n.all {
			same = same && m.g.State() != nil && m.g.State().Index == n.all[0].g.State().Index && m.g.State().Hash() == n.all[0].g.State().Hash()
		}
		if lead := slices.IndexFunc(n.all, func(m *member) bool { return m.g.Caught() }); same && lead >= 0 && len(n.mail) == 0 {
			return nil
		}
	}
	return fmt.Errorf("they do not come together")
}
