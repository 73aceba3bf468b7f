package fleettest

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"quillrail/internal/lab"
)

// move is an operation on the fleet's permits: a thing goes out, or is back.
type move struct {
	thing string
	back  bool
}

// permits is the reference: a set of things that are out, of a bounded size.
func permits(limit int) porcupine.Model {
	type state = string // the names, in order, each behind a space
	return porcupine.Model{
		Init: func() any { return state("") },
		Step: func(s, in, _ any) (bool, any) {
			m, out := in.(move), s.(state)
			name := " " + m.thing
			has := strings.Contains(out, name)
			switch {
			case m.back:
				return has, strings.Replace(out, name, "", 1)
			case has || strings.Count(out, " ") >= limit:
				return false, out
			}
			names := append(strings.Fields(out), m.thing)
			for i := len(names) - 1; i > 0 && names[i] < names[i-1]; i-- {
				names[i], names[i-1] = names[i-1], names[i]
			}
			return true, state(" " + strings.Join(names, " "))
		},
		DescribeOperation: func(in, _ any) string { return fmt.Sprintf("%+v", in) },
	}
}

// drains has every gateway drained by an operator of its own, so many times, and returns the history. Each stays out until hold
// returns.
func drains(t *testing.T, without string, times int, hold func(rng *rand.Rand)) (history []porcupine.Operation) {
	o := seven(two)
	if without != "" {
		o.Env = []string{"QUILLRAIL_TEST_GUARD=" + without}
	}
	l := start(t, o)
	tr := l.Start(mixed)
	settled(t, l)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, g := range l.Gateways {
		rng := rand.New(rand.NewPCG(seed(), uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range times {
				asked := time.Now()
				if text, err := g.SendCommand("drain by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
					continue // it is asked for again
				}
				if _, err := g.Process().Await("drained by what was agreed", eventLimit); err != nil {
					t.Error(err)
					return
				}
				out := time.Now()
				hold(rng)
				resumed := time.Now()
				g.SendCommand("resume")
				if err := returned(g); err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: i, Input: move{g.Name, false}, Call: asked.UnixNano(), Return: out.UnixNano()},
					porcupine.Operation{ClientId: i, Input: move{g.Name, true}, Call: resumed.UnixNano(), Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	tr.End()
	l.Close()
	return history
}

// aWhile is up to 300 ms that are drawn.
func aWhile(rng *rand.Rand) { <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond) }

// untilOut returns what holds each of its callers until so many of them are out at once, or until a limit.
func untilOut(many int64) func(*rand.Rand) {
	var out atomic.Int64
	reached := make(chan struct{})
	return func(*rand.Rand) {
		if out.Add(1) == many {
			close(reached)
		}
		select {
		case <-reached:
		case <-time.After(eventLimit):
		}
	}
}

// returned waits until a gateway's permit has ended.
func returned(g *lab.Gateway) error {
	text, err := await(g, "agreed", eventLimit, func(text string) bool { return !strings.Contains(text, "out: gateway "+g.Name+" ") })
	if err != nil {
		return fmt.Errorf("%s: its permit does not end: %w\n%s", g.Name, err, text)
	}
	return nil
}

// The history of drains that operators saw at seven gateways fits a set of at most two, in some order in which each took place
// between its word and its answer. Without the limits, where three go out before one comes back, it fits none.
func TestAgreedChangeHistory(t *testing.T) {
	beside(t)
	times := 2
	if os.Getenv("QUILLRAIL_FLEET_LONG") != "" {
		times = 12
	}
	history := drains(t, "", times, aWhile)
	ok := porcupine.CheckOperations(permits(2), history)
	t.Logf("figures: gateways=7 operations=%d linearizable=%v", len(history), ok)
	if !ok || len(history) < 14*times*8/10 {
		t.Errorf("%d operations: %v", len(history), ok)
	}
	history = drains(t, "budget", 1, untilOut(3))
	if porcupine.CheckOperations(permits(2), history) {
		t.Errorf("without the limits nothing is found in %d operations", len(history))
	}
}
