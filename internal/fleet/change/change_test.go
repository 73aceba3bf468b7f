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

// Gateways pause, wake up, crash and act late on agreed entries; the leader's observations are old, and its entries are lost or
// applied twice. Every gateway that is unavailable on purpose must have a permit in use, no grant may break a limit, and no waiting
// permit may be overtaken without end. With any of the safeguards disabled the steps must find a fault.
func TestPermitsRandomStepsKeepLimitsAndOrder(t *testing.T) {
	states, err := runRandomSteps(300, 400)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", states)
	for _, g := range []string{"permit limits", "holder's word", "two steps"} {
		safeguard.Disabled = g
		if _, err := runRandomSteps(300, 400); err == nil {
			t.Errorf("with safeguard %q disabled no fault was found, want one", g)
		}
		safeguard.Disabled = ""
	}
}

// A returned permit counts until others have observed its subject as healthy after the return. Otherwise a third gateway goes out of
// service while the first two have not started yet, which no report has shown so far.
func TestPermitEndRequiresObservationAfterReturn(t *testing.T) {
	takeOutThree := func() error {
		fleet := newSimulatedFleet(1)
		for i := range 3 {
			name := fmt.Sprint("g", i)
			fleet.apply(name, 1, Proposal{"ask", &Permit{Subjects: []Subject{NewSubject(Gateway, name)}, Holder: name, By: "anna"}})
			id := fleet.index
			if err := fleet.apply("leader", 1, Proposal{"grant", GrantBody{ID: id}}); err != nil {
				return err
			}
			for _, kind := range []string{"use", "return", "end"} { // without a report in between
				fleet.apply(name, 1, Proposal{kind, PermitBody{ID: id, Holder: name, Incarnation: 1}})
			}
		}
		return nil
	}
	if err := takeOutThree(); err == nil || !strings.Contains(err.Error(), "2 of at most 2") {
		t.Errorf("grant for a third gateway: got error %v, want one with %q", err, "2 of at most 2")
	}
	safeguard.Disabled = "evidence of return"
	defer func() { safeguard.Disabled = "" }()
	if err := takeOutThree(); err != nil {
		t.Errorf("with the safeguard disabled the third gateway was rejected too: %v", err)
	}
}

// As long as no holder is paused or crashed for good, every requested permit is granted, whatever else is requested, and close to
// the order of the requests.
func TestPermitRequestsAllGrantedNearRequestOrder(t *testing.T) {
	s := NewState(Limits{Gateways: Limit{N: 3}, GatewaysHall: Limit{N: 1}, Margin: 1})
	var index uint64
	v := &View{Subjects: map[Subject]Observation{}}
	do := func(p Proposal) error {
		index++
		v.At += 100
		return Apply(s, Context{index, v.At}, "leader", 1, p)
	}
	for i := range 300 {
		v.Subjects[NewSubject(Gateway, fmt.Sprintf("g%03d", i))] = Observation{Hall: fmt.Sprint("h", i%3), Health: Healthy, Incarnation: 1,
			Witnesses: []string{"a", "b"}}
	}
	for range 3 {
		do(Proposal{"see", StatusUpdateBody{statusUpdates(s, v)}})
	}
	for i := range 300 { // all at once; the one in the middle is for a gateway in each of the three halls
		subjects := []Subject{NewSubject(Gateway, fmt.Sprintf("g%03d", i))}
		if i == 150 {
			subjects = []Subject{"gateway:g150", "gateway:g151", "gateway:g152"}
		}
		if i == 151 || i == 152 {
			continue
		}
		if err := do(Proposal{"ask", &Permit{Subjects: subjects, Holder: subjects[0].Name(), By: "anna"}}); err != nil {
			t.Fatal(err)
		}
	}
	order, most := []uint64{}, 0
	for round := 0; len(s.Permits) > 0; round++ {
		if round > 3000 {
			t.Fatalf("%d permits have not ended after %d rounds", len(s.Permits), round)
		}
		for _, x := range permitSteps(s, v) {
			if do(x) == nil && x.Kind == "grant" {
				order = append(order, x.Body.(GrantBody).ID)
			}
		}
		most = max(most, len(s.CountedUnavailable()))
		for _, p := range slices.Clone(s.Permits) {
			switch p.Phase {
			case Granted:
				do(Proposal{"use", PermitBody{ID: p.ID, Holder: p.Holder, Incarnation: 1}})
			case InUse:
				do(Proposal{"return", PermitBody{ID: p.ID, Holder: p.Holder, Incarnation: 1}})
			}
		}
		do(Proposal{"see", StatusUpdateBody{statusUpdates(s, v)}})
	}
	for i, id := range order {
		place := slices.Index(slices.Sorted(slices.Values(order)), id)
		if place-i > maxOvertaken*3 || i-place > maxOvertaken*3 {
			t.Errorf("permit %d was requested as number %d and granted as number %d, want at most %d apart", id, place, i, maxOvertaken*3)
		}
	}
	if len(order) != 298 || most != 3 {
		t.Errorf("%d permits granted, want 298; at most %d gateways unavailable at the same time, want 3", len(order), most)
	}
}

// Checks the limits on capacity and on only copies, and that cold subjects, subjects that became unavailable without a permit, and
// emergencies count towards the limits.
func TestLimits(t *testing.T) {
	s := NewState(Limits{Workers: Limit{Part: 0.5}, WorkersHall: Limit{N: 1}, OnlyCopies: Limit{N: 1}, Margin: 1.5, WorkerCalls: 100})
	var index uint64
	do := func(kind string, body any) error {
		index++
		return Apply(s, Context{index, int64(index)}, "g", 1, Proposal{kind, body})
	}
	observe := func(id, hall string, h Health) {
		do("see", StatusUpdateBody{[]StatusUpdate{{Subject: NewSubject(Worker, id), SubjectStatus: SubjectStatus{Hall: hall, Health: h},
			Witnesses: []string{"a", "b"}}}})
	}
	for i := range 6 {
		observe(fmt.Sprint("w", i), fmt.Sprint("h", i%3), Healthy)
	}
	want := func(text string, subjects ...Subject) {
		t.Helper()
		err := s.CheckLimits(subjects, Measurements{Load: 260, OnlyCopies: map[Subject]int{"worker:w1": 3, "worker:w2": 1}})
		if text == "" && err != nil || text != "" && (err == nil || !strings.Contains(err.Error(), text)) {
			t.Errorf("limits for %v: got error %v, want %q", subjects, err, text)
		}
	}
	want("", "worker:w0")
	want("h0", "worker:w0", "worker:w3")
	observe("w4", "h1", Cold)
	want("h1", "worker:w1")
	want("", "worker:w4")
	want("bear 300", "worker:w0", "worker:w2", "worker:w4")
	want("at most 3", "worker:w0", "worker:w1", "worker:w2", "worker:w3", "worker:w5")
	observe("w4", "h1", Healthy)
	for _, p := range []*Permit{{Subjects: []Subject{"worker:w1"}, By: "anna"}} {
		if err := do("ask", p); err != nil {
			t.Fatal(err)
		}
	}
	if err := do("grant", GrantBody{index, Measurements{Load: 1, OnlyCopies: map[Subject]int{"worker:w1": 3}}}); err != nil {
		t.Fatal(err)
	}
	want("only copies", "worker:w2")
	want("", "worker:w5")
	if err := do("ask", &Permit{Subjects: []Subject{"worker:w0"}, By: "anna", Emergency: true}); err != nil ||
		s.PermitOf("worker:w0").Phase != InUse {
		t.Errorf("emergency request: got error %v or its permit is not in use", err)
	}
	s.Limits.WorkerCalls = 0
	want("h0", "worker:w3")
	id := s.PermitOf("worker:w0").ID
	if err := do("lapse", PermitBody{ID: id}); err == nil {
		t.Error("lapse of a permit in use: got no error, want one")
	}
	if err := do("word", PermitBody{ID: id, Why: "boris"}); err != nil || s.PermitOf("worker:w0") != nil {
		t.Errorf("end of a permit by an operator: got error %v or the permit has not ended", err)
	}
	for _, p := range []*Permit{{}, {Subjects: []Subject{"worker:w9"}, By: "a"}, {Subjects: []Subject{"worker:w2"}},
		{Subjects: []Subject{"worker:w1"}, By: "a"}, {Subjects: []Subject{"x:y"}, By: "a"}} {
		if err := do("ask", p); err == nil {
			t.Errorf("invalid request %+v: got no error, want one", p)
		}
	}
	for text, ok := range map[string]bool{"1": true, "20%": true, "none": true, "0": false, "0%": false, "101%": false, "x": false} {
		if l, err := ParseLimit(text); (err == nil) != ok || ok && l.String() != text {
			t.Errorf("ParseLimit(%q): got %v, error %v; want valid: %v", text, l, err, ok)
		}
	}
}

// Decisions depend on the agreed state alone, so a state that is sent to another gateway must arrive complete.
func TestStateMessagePackRoundTrip(t *testing.T) {
	fleet := newSimulatedFleet(5)
	for range 300 {
		fleet.step()
	}
	b, err := msgpack.Marshal(fleet.state)
	if err != nil {
		t.Fatal(err)
	}
	var copied State
	if err := msgpack.Unmarshal(b, &copied); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(*fleet.state, copied) {
		t.Errorf("decoded state differs:\ngot  %+v\nwant %+v", copied, *fleet.state)
	}
}

// Guards against "%!w(<nil>)" in the log of operators: beyond the limit on known subjects a status is rejected with just that reason.
func TestStatusBeyondTheLimitIsRejectedWithAReason(t *testing.T) {
	s := NewState(DefaultLimits)
	for i := range maxSubjectsKnown {
		s.Subjects[NewSubject(Worker, fmt.Sprint("w", i))] = &SubjectStatus{}
	}
	err := s.UpdateStatuses(Context{Index: 1}, []StatusUpdate{{Subject: NewSubject(Worker, "one more")}})
	if err == nil || err.Error() != "8192 things are known" {
		t.Errorf("rejected with %v", err)
	}
}
