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

// permitChange is an operation of the history: a gateway becomes unavailable by a permit, or is back in service.
type permitChange struct {
	gateway string
	back    bool
}

// permitModel returns the reference model: the set of unavailable gateways, with at most limit members.
func permitModel(limit int) porcupine.Model {
	type state = string // the sorted names, each after a space
	return porcupine.Model{
		Init: func() any { return state("") },
		Step: func(current, input, _ any) (bool, any) {
			change, unavailable := input.(permitChange), current.(state)
			name := " " + change.gateway
			present := strings.Contains(unavailable, name)
			switch {
			case change.back:
				return present, strings.Replace(unavailable, name, "", 1)
			case present || strings.Count(unavailable, " ") >= limit:
				return false, unavailable
			}
			names := append(strings.Fields(unavailable), change.gateway)
			for i := len(names) - 1; i > 0 && names[i] < names[i-1]; i-- {
				names[i], names[i-1] = names[i-1], names[i]
			}
			return true, state(" " + strings.Join(names, " "))
		},
		DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
	}
}

// drainAll drains every gateway the given number of times, concurrently with the others, and returns the history of operations. Each
// drain lasts until hold returns.
func drainAll(t *testing.T, disabledGuard string, times int, hold func(rng *rand.Rand)) (history []porcupine.Operation) {
	options := sevenGateways(twoAtOnce)
	if disabledGuard != "" {
		options.Env = []string{"QUILLRAIL_TEST_GUARD=" + disabledGuard}
	}
	fleet := startFleet(t, options)
	traffic := fleet.Start(mixedLoad)
	awaitSettled(t, fleet)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, gateway := range fleet.Gateways {
		rng := rand.New(rand.NewPCG(seed(), uint64(i)))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range times {
				requestedAt := time.Now()
				if text, err := gateway.SendCommand("drain by=anna"); err != nil || !strings.HasPrefix(text, "SUCCESS") {
					continue // the next iteration requests it again
				}
				if _, err := gateway.Process().Await("drained by what was agreed", eventTimeout); err != nil {
					t.Error(err)
					return
				}
				drainedAt := time.Now()
				hold(rng)
				resumedAt := time.Now()
				gateway.SendCommand("resume")
				if err := awaitPermitEnd(gateway); err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: i, Input: permitChange{gateway.Name, false},
					Call: requestedAt.UnixNano(), Return: drainedAt.UnixNano()},
					porcupine.Operation{ClientId: i, Input: permitChange{gateway.Name, true},
						Call: resumedAt.UnixNano(), Return: time.Now().UnixNano()})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	traffic.End()
	fleet.Close()
	return history
}

// holdBriefly waits for a random time below 300 ms.
func holdBriefly(rng *rand.Rand) { <-time.After(time.Duration(rng.IntN(300)) * time.Millisecond) }

// holdUntilDrained returns a function that blocks each caller until count callers have called it, for eventTimeout at most. A gateway's
// goroutine calls it while its gateway is drained, so that count gateways are drained at once.
func holdUntilDrained(count int64) func(*rand.Rand) {
	var drained atomic.Int64
	reached := make(chan struct{})
	return func(*rand.Rand) {
		if drained.Add(1) == count {
			close(reached)
		}
		select {
		case <-reached:
		case <-time.After(eventTimeout):
		}
	}
}

// awaitPermitEnd waits until a gateway's permit has ended.
func awaitPermitEnd(gateway *lab.Gateway) error {
	text, err := awaitReply(gateway, "agreed", eventTimeout,
		func(text string) bool { return !strings.Contains(text, "out: gateway "+gateway.Name+" ") })
	if err != nil {
		return fmt.Errorf("%s: its permit does not end: %w\n%s", gateway.Name, err, text)
	}
	return nil
}

// The history of drains at seven gateways, as operators observe it, is linearizable for a set of at most two unavailable gateways: in
// some order each operation takes effect between its call and its completion. With the limits disabled three gateways are drained at
// once, and no such order exists.
func TestAgreedChangeDrainHistoryIsLinearizable(t *testing.T) {
	runInParallel(t)
	times := 2
	if os.Getenv("QUILLRAIL_FLEET_LONG") != "" {
		times = 12
	}
	history := drainAll(t, "", times, holdBriefly)
	ok := porcupine.CheckOperations(permitModel(2), history)
	t.Logf("figures: gateways=7 operations=%d linearizable=%v", len(history), ok)
	if !ok || len(history) < 14*times*8/10 {
		t.Errorf("%d operations, linearizable: %v; want at least 80 %% of 14 operations in each of %d rounds, linearizable",
			len(history), ok, times)
	}
	history = drainAll(t, "budget", 1, holdUntilDrained(3))
	if porcupine.CheckOperations(permitModel(2), history) {
		t.Errorf("with the limits disabled the history of %d operations is linearizable", len(history))
	}
}
