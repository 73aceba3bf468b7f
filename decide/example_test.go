package decide_test

import (
	"fmt"
	"time"

	"quillrail/decide"
)

// gateway embeds the interface so that it has to implement only the methods that this example calls.
type gateway struct{ decide.Gateway }

func (gateway) Route(id uint64, host string, expireAt time.Duration) {
	fmt.Printf("send %d to %s\n", id, host)
}
func (gateway) Refuse(id uint64, _ time.Duration, _ decide.Reason) { fmt.Printf("refuse %d\n", id) }
func (gateway) Fail(id uint64, _ decide.Reason)                    { fmt.Printf("fail %d\n", id) }
func (gateway) WakeAt(after time.Duration, token string)           {} // starts a timer that is reported as a Wake
func (gateway) Order(host, function string, copies int)            {}

// A gateway reports events to the router on a single goroutine and carries out the calls that the router makes.
func Example() {
	settings := decide.Settings{
		Classes:     []decide.Class{{Deadline: 4 * time.Second, Effect: decide.Unsafe}},
		MaxAttempts: 3, KeepAlive: 10 * time.Second, LoadsOnMiss: true, MarksCold: true, Gateways: 1,
	}
	router, err := decide.New(settings, 42, gateway{})
	if err != nil {
		fmt.Println(err)
		return
	}
	clock := time.Minute
	router.Handle(clock, decide.List{Whole: true, Hosts: []decide.Host{{Name: "worker-a"}}})
	router.Handle(clock, decide.Arrival{ID: 1, Function: "resize", TTL: 4 * time.Second, Lanes: 2})
	clock += 120 * time.Millisecond
	router.Handle(clock, decide.Result{ID: 1, Host: "worker-a", Outcome: decide.Good, Took: 120 * time.Millisecond,
		Final: true, Note: decide.BeganLoad})
	// The worker fails while it holds the next call, which may have run. A call of this class must never run twice, so it
	// is not retried.
	router.Handle(clock, decide.Arrival{ID: 2, Function: "resize", TTL: 4 * time.Second, Lanes: 2})
	router.Handle(clock, decide.Result{ID: 2, Host: "worker-a", Outcome: decide.Reset, Took: time.Millisecond})
	// Output:
	// send 1 to worker-a
	// send 2 to worker-a
	// fail 2
}
