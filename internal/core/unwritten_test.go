package core_test

import (
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// Where the site has no cancelling, what is written for a client that leaves runs on, but what is unwritten stays here; the
// same holds for a request that has had its answer.
func TestUnwrittenAttemptsEndWithTheirRequest(t *testing.T) {
	for name, end := range map[string]func(*bench){
		"gone":   func(b *bench) { b.core.Gone(b.refs[0]) },
		"failed": func(b *bench) { b.core.FailAll() },
	} {
		b := newBench(t)
		set := wiretest.Site().Decide
		set.Cancelling = false
		var err error
		if b.core, err = core.New(b.Loop, set, 3, b, nil, b.Log()); err != nil {
			t.Fatal(err)
		}
		b.core.List(true, []core.Member{{Host: decide.Host{Name: "w0"}}})
		b.call(0, 4*time.Second)
		b.unwritten = true
		if end(b); len(b.out) != 0 || len(b.gone) != 0 {
			t.Errorf("%s: %d unwritten attempts stay out, %d were cancelled", name, len(b.out), len(b.gone))
		}
	}
}

// A client that is known to have left gets no further attempt, though its end has not come to the turn yet.
func TestNoFurtherAttemptForAClientThatHasLeft(t *testing.T) {
	b := newBench(t)
	r := b.call(0, 4*time.Second)
	r.HasLeft = true
	if b.end(0, decide.Miss); len(b.out) != 0 || b.core.Open() != 0 || len(r.Answers) != 0 {
		t.Errorf("%d attempts out, %d requests open, answers %q", len(b.out), b.core.Open(), r.Answers)
	}
	b.core.Gone(b.refs[0]) // what the front says of it comes too late
	if len(b.records) != 1 || b.records[0].Answer != "gone" {
		t.Errorf("records %+v", b.records)
	}
}

// Nor does it get a first one.
func TestNoAttemptForAClientThatHasLeftBefore(t *testing.T) {
	b := newBench(t)
	r := &wiretest.Replies{HasLeft: true}
	ref := b.core.Take(core.Call{ID: "0000000000000001", Wait: time.Second, Function: "f", Lanes: 1, Reply: r})
	if ref != 0 || len(b.out) != 0 || b.core.Open() != 0 {
		t.Errorf("ref %d, %d attempts, %d open", ref, len(b.out), b.core.Open())
	}
	if b.call(0, time.Second); len(b.out) != 1 {
		t.Error("the next call is not sent")
	}
}

// Whoever says that a worker may get nothing new, the link is told after the module.
func TestUnwrittenIsWithdrawnFromWorkersThatGetNothingNew(t *testing.T) {
	for name, change := range map[string]func(*bench){
		"list": func(b *bench) {
			b.core.List(false, []core.Member{{Host: decide.Host{Name: "w1", Zone: 1, State: decide.Draining}}})
		},
		"absent": func(b *bench) {
			b.core.List(true, []core.Member{{Host: decide.Host{Name: "w0"}}, {Host: decide.Host{Name: "w2"}}})
		},
		"ban":  func(b *bench) { b.core.Disable("w1") },
		"peer": func(b *bench) { b.core.Hold(map[string]bool{"w1": true}) },
	} {
		b := newBench(t)
		b.kept = nil
		if change(b); !slices.Equal(b.kept, []string{"w1"}) {
			t.Errorf("%s: nothing new to %q", name, b.kept)
		}
	}
}
