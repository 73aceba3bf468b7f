package core_test

import (
	"slices"
	"testing"
	"time"

	"quillrail/decide"
	"quillrail/internal/core"
)

// A request that still waits for a worker as the process ends was never sent, so its client is told that it may come again.
func TestRequestThatWasNeverSentIsRefusedAtTheEnd(t *testing.T) {
	fx := newFixture(t)
	fx.core.ApplyList(true, []core.Member{{Host: decide.Host{Name: "w0", State: decide.Draining}}})
	r := fx.call(1, 3*time.Second)
	if len(r.Answers) != 0 || len(fx.inFlight) != 0 {
		t.Fatalf("answers %q and %d attempts, want a request that waits", r.Answers, len(fx.inFlight))
	}
	fx.core.FailAll()
	fx.Advance(4 * time.Second)
	if !slices.Equal(r.Answers, []string{"refused"}) || fx.core.InFlight() != 0 {
		t.Errorf("answers %q, %d requests in flight, want one refusal and none", r.Answers, fx.core.InFlight())
	}
}
