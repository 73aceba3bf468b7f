package change

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"quillrail/internal/fleet/safeguard"
)

// Random steps of gateways that stop, wake, crash and act late on what was agreed, with a leader whose sight is old and whose
// entries are lost or come twice: whoever is out on purpose holds a permit in use, no grant breaks a limit, nobody is passed
// without end. With each guard taken out it is found.
func TestPermitsUnderRandomSteps(t *testing.T) {
	states, err := explore(300, 400)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", states)
	for _, g := range []string{"permit limits", "holder's word", "two steps"} {
		safeguard.Disabled = g
		if _, err := explore(300, 400); err == nil {
			t.Errorf("without the guard %q nothing is found", g)
		}
		safeguard.Disabled = ""
	}
}

// A thing that its holder says is back counts as out until others have seen it well since: else a third goes out while the
// first two have not come up, which nobody has looked at yet.
func TestEvidenceOfReturn(t *testing.T) {
	third := func() error {
		w := newWorld(1)
		for i := range 3 {
			name := fmt.Sprint("g", i)
			w.apply(name, 1, Proposal{"ask", &Permit{Things: []Thing{Of(Gateway, name)}, Holder: name, By: "anna"}})
			id := w.index
			if err := w.apply("leader", 1, Proposal{"grant", GrantBody{ID: id}}); err != nil {
				return err
			}
			for _, kind := range []string{"use", "return", "end"} { // within a moment in which nobody reports
				w.apply(name, 1, Proposal{kind, PermitBody{ID: id, Holder: name, Life: 1}})
			}
		}
		return nil
	}
	if err := third(); err == nil || !strings.Contains(err.Error(), "2 of at most 2") {
		t.Errorf("a third goes out: %v", err)
	}
	safeguard.Disabled = "evidence of return"
	defer func() { safeguard.Disabled = "" }()
	if third() != nil {
		t.Error("the guard is not what keeps it back")
	}
}

// With nobody stopped or crashed for good, everybody who asks gets a permit, whoever else asks.
func TestNobodyWaitsForEver(t *testing.T) {
	s := NewState(Limits{Gateways: Limit{N: 3}, GatewaysHall: Limit{N: 1}, Margin: 1})
	var index uint64
	v := &View{Things: map[Thing]Observation{}}
	do := func(p Proposal) error {
		index++
		v.At += 100
		return Apply(s, Context{index, v.At}, "leader", 1, p)
	}
	for i := range 300 {
		v.Things[Of(Gateway, fmt.Sprintf("g%03d", i))] = Observation{Hall: fmt.Sprint("h", i%3), Health: Well, Life: 1, Witnesses: []string{"a", "b"}}
	}
	for range 3 {
		do(Proposal{"see", SeeBody{sightings(s, v)}})
	}
	for i := range 300 { // all at once, and one for three halls in the middle
		things := []Thing{Of(Gateway, fmt.Sprintf("g%03d", i))}
		if i == 150 {
			things = []Thing{"gateway:g150", "gateway:g151", "gateway:g152"}
		}
		if i == 151 || i == 152 {
			continue
		}
		if err := do(Proposal{"ask", &Permit{Things: things, Holder: things[0].Name(), By: "anna"}}); err != nil {
			t.Fatal(err)
		}
	}
	order, most := []uint64{}, 0
	for round := 0; len(s.Permits) > 0; round++ {
		if round > 3000 {
			t.Fatalf("%d permits still wait", len(s.Permits))
		}
		for _, x := range permits(s, v) {
			if do(x) == nil && x.Kind == "grant" {
				order = append(order, x.Body.(GrantBody).ID)
			}
		}
		most = max(most, len(s.Outs()))
		for _, p := range slices.Clone(s.Permits) {
			switch p.Phase {
			case Granted:
				do(Proposal{"use", PermitBody{ID: p.ID, Holder: p.Holder, Life: 1}})
			case Used:
				do(Proposal{"return", PermitBody{ID: p.ID, Holder: p.Holder, Life: 1}})
			}
		}
		do(Proposal{"see", SeeBody{sightings(s, v)}})
	}
	for i, id := range order {
		place := slices.Index(slices.Sorted(slices.Values(order)), id)
		if place-i > maxPassed*3 || i-place > maxPassed*3 {
			t.Errorf("permit %d was asked for as number %d and came as number %d", id, place, i)
		}
	}
	if len(order) != 298 || most != 3 {
		t.Errorf("%d granted, at most %d out at once", len(order), most)
	}
}

// The limits by capacity and by only copies, what is back and cold, what is out against its will, emergencies.
func TestLimits(t *testing.T) {
	s := NewState(Limits{Workers: Limit{Part: 0.5}, WorkersHall: Limit{N: 1}, Only: Limit{N: 1}, Margin: 1.5, WorkerCalls: 100})
	var index uint64
	do := func(kind string, body any) error {
		index++
		return Apply(s, Context{index, int64(index)}, "g", 1, Proposal{kind, body})
	}
	see := func(id, hall string, h Health) {
		do("see", SeeBody{[]Seen{{Thing: Of(Worker, id), Known: Known{Hall: hall, Health: h}, Witnesses: []string{"a", "b"}}}})
	}
	for i := range 6 {
		see(fmt.Sprint("w", i), fmt.Sprint("h", i%3), Well)
	}
	want := func(text string, things ...Thing) {
		t.Helper()
		err := s.Fits(things, Measure{Load: 260, Only: map[Thing]int{"worker:w1": 3, "worker:w2": 1}})
		if text == "" && err != nil || text != "" && (err == nil || !strings.Contains(err.Error(), text)) {
			t.Errorf("want %q: %v", text, err)
		}
	}
	want("", "worker:w0")
	want("h0", "worker:w0", "worker:w3")
	see("w4", "h1", Cold)
	want("h1", "worker:w1")
	want("", "worker:w4")
	want("bear 300", "worker:w0", "worker:w2", "worker:w4")
	want("at most 3", "worker:w0", "worker:w1", "worker:w2", "worker:w3", "worker:w5")
	see("w4", "h1", Well)
	for _, p := range []*Permit{{Things: []Thing{"worker:w1"}, By: "anna"}} {
		if err := do("ask", p); err != nil {
			t.Fatal(err)
		}
	}
	if err := do("grant", GrantBody{index, Measure{Load: 1, Only: map[Thing]int{"worker:w1": 3}}}); err != nil {
		t.Fatal(err)
	}
	want("only copies", "worker:w2")
	want("", "worker:w5")
	if err := do("ask", &Permit{Things: []Thing{"worker:w0"}, By: "anna", Emergency: true}); err != nil || s.PermitOf("worker:w0").Phase != Used {
		t.Errorf("an emergency: %v", err)
	}
	s.Limits.WorkerCalls = 0
	want("h0", "worker:w3")
	id := s.PermitOf("worker:w0").ID
	if err := do("lapse", PermitBody{ID: id}); err == nil {
		t.Error("a permit in use lapses")
	}
	if err := do("word", PermitBody{ID: id, Why: "boris"}); err != nil || s.PermitOf("worker:w0") != nil {
		t.Errorf("an operator's word: %v", err)
	}
	for _, p := range []*Permit{{}, {Things: []Thing{"worker:w9"}, By: "a"}, {Things: []Thing{"worker:w2"}}, {Things: []Thing{"worker:w1"}, By: "a"}, {Things: []Thing{"x:y"}, By: "a"}} {
		if err := do("ask", p); err == nil {
			t.Errorf("taken: %+v", p)
		}
	}
	for text, ok := range map[string]bool{"1": true, "20%": true, "none": true, "0": false, "0%": false, "101%": false, "x": false} {
		if l, err := ParseLimit(text); (err == nil) != ok || ok && l.String() != text {
			t.Errorf("%q: %v, %v", text, l, err)
		}
	}
}

// What is decided depends on the entries alone: a copy that went over the wire goes on alike.
func TestStateSurvivesTheWire(t *testing.T) {
	w := newWorld(5)
	for range 300 {
		w.step()
	}
	b, err := msgpack.Marshal(w.s)
	if err != nil {
		t.Fatal(err)
	}
	var copied State
	if err := msgpack.Unmarshal(b, &copied); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*w.s, copied) {
		t.Errorf("%+v\n%+v", *w.s, copied)
	}
}
