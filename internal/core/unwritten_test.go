package core_test

import (
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
	"quillrail/internal/wire/wiretest"
)

// At a site without cancelling, attempts that are written when their client disconnects run on, but unwritten ones are withdrawn. The
// same holds for a request that has had its answer.
func TestUnwrittenAttemptsAreWithdrawnWhenTheirRequestEnds(t *testing.T) {
	for name, end := range map[string]func(*fixture){
		"gone":   func(fx *fixture) { fx.core.ClientGone(fx.refs[0]) },
		"failed": func(fx *fixture) { fx.core.FailAll() },
	} {
		fx := newFixture(t)
		settings := wiretest.Site().Decide
		settings.Cancelling = false
		var err error
		if fx.core, err = core.New(fx.Loop, settings, 3, fx, nil, fx.Log()); err != nil {
			t.Fatal(err)
		}
		fx.core.ApplyList(true, []core.Member{{Host: decide.Host{Name: "w0"}}})
		fx.call(0, 4*time.Second)
		fx.unwritten = true
		if end(fx); len(fx.inFlight) != 0 || len(fx.cancelled) != 0 {
			t.Errorf("%s: %d unwritten attempts are still in flight, %d were cancelled", name, len(fx.inFlight), len(fx.cancelled))
		}
	}
}

// A request gets no further attempt once its client is known to have disconnected, even before the event loop has handled that.
func TestNoFurtherAttemptAfterClientDisconnects(t *testing.T) {
	fx := newFixture(t)
	r := fx.call(0, 4*time.Second)
	r.HasLeft = true
	if fx.end(0, decide.Miss); len(fx.inFlight) != 0 || fx.core.InFlight() != 0 || len(r.Answers) != 0 {
		t.Errorf("%d attempts and %d requests in flight, answers %q", len(fx.inFlight), fx.core.InFlight(), r.Answers)
	}
	fx.core.ClientGone(fx.refs[0]) // the front reports it when the request has ended already
	if len(fx.records) != 1 || fx.records[0].Answer != "gone" {
		t.Errorf("records %+v, want one with the answer gone", fx.records)
	}
}

// A request gets no attempt at all if its client is known to have disconnected before it is submitted.
func TestNoAttemptIfClientHasDisconnectedBefore(t *testing.T) {
	fx := newFixture(t)
	r := &wiretest.Replies{HasLeft: true}
	ref := fx.core.Submit(core.Call{ID: "0000000000000001", Wait: time.Second, Function: "f", Lanes: 1, Reply: r})
	if ref != 0 || len(fx.inFlight) != 0 || fx.core.InFlight() != 0 {
		t.Errorf("ref %d, %d attempts and %d requests in flight", ref, len(fx.inFlight), fx.core.InFlight())
	}
	if fx.call(0, time.Second); len(fx.inFlight) != 1 {
		t.Error("the next call was not sent")
	}
}

// When a worker may get nothing new, by the list, a ban or another gateway, the core has the link withdraw what is unwritten to it.
func TestUnwrittenIsWithdrawnFromUnusableWorkers(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"list": func(fx *fixture) {
			fx.core.ApplyList(false, []core.Member{{Host: decide.Host{Name: "w1", Zone: 1, State: decide.Draining}}})
		},
		"absent": func(fx *fixture) {
			fx.core.ApplyList(true, []core.Member{{Host: decide.Host{Name: "w0"}}, {Host: decide.Host{Name: "w2"}}})
		},
		"ban":  func(fx *fixture) { fx.core.Disable("w1") },
		"peer": func(fx *fixture) { fx.core.SetDraining(map[string]bool{"w1": true}) },
	} {
		fx := newFixture(t)
		fx.withdrawnFrom = nil
		if change(fx); !slices.Equal(fx.withdrawnFrom, []string{"w1"}) {
			t.Errorf("%s: unwritten attempts were withdrawn from %q, want w1", name, fx.withdrawnFrom)
		}
	}
}
