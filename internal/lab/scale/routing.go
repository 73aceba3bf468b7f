package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"quillrail/decide"
)

const (
	callTime         = 40 * time.Millisecond // how long a worker takes for a call
	sampledFunctions = 100                   // called once, once more, and (some of them) after a change of the list
	memoryFunctions  = 300                   // called to measure the memory of a function
	callTimeLimit    = 10 * time.Second      // limit on the router's own time for all calls with the target's skew
	timerSamples     = 100
	changeSamples    = 20
	sweepInterval    = 10 * time.Millisecond // interval of the router's timer
)

// WorkerList returns a list of n workers, spread over the target's zones.
func WorkerList(n int) []decide.Host {
	hosts := make([]decide.Host, n)
	for i := range hosts {
		hosts[i] = decide.Host{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: i % Target.Zones, Cell: i / 40}
	}
	return hosts
}

// TargetSettings returns a router's settings for the target.
func TargetSettings() decide.Settings {
	class := func(deadline time.Duration, effect decide.Effect) decide.Class {
		return decide.Class{Deadline: deadline, Effect: effect, KeyScope: decide.SameZone, Window: 8 * time.Second}
	}
	return decide.Settings{Classes: []decide.Class{class(4*time.Second, decide.Safe), class(6*time.Second, decide.Keyed)},
		Tenants: []decide.Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: Target.Gateways, Subscribe: true, MaxAttempts: 3, Parallel: true,
		Cancelling: true, ColdFrom: 0.18, ColdFor: 14 * time.Second, CollapseMultiple: 2.5, CollapseAfter: 3 * time.Second,
		KeepAlive: 10 * time.Second, Orders: true, LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.3,
		OrderWindow: 10 * time.Second, OrderTimeout: 10 * time.Second}
}

// RouterDriver takes the place of the gateway around a router, with a simulated clock. It answers each routed call after callTime,
// as a loaded copy does.
type RouterDriver struct {
	ignoredActions
	Router     *decide.Router
	Now        time.Duration
	Sent       []string // workers to which calls were routed while RecordSent was true
	RecordSent bool

	attempts       map[uint64]int // attempts so far of each call in flight, by its ID
	pendingAnswers []answer       // ordered by dueAt
	lastID         uint64         // of a call
}

// answer is a worker's answer that the router gets at dueAt.
type answer struct {
	dueAt   time.Duration
	id      uint64
	attempt int
	host    string
}

// NewRouterDriver returns a driver with a new router that knows no workers.
func NewRouterDriver(settings decide.Settings, seed uint64) (*RouterDriver, error) {
	d := &RouterDriver{Now: time.Hour, attempts: map[uint64]int{}}
	var err error
	d.Router, err = decide.New(settings, seed, d)
	return d, err
}

// Route schedules the answer to a call after callTime.
func (d *RouterDriver) Route(id uint64, host string, _ time.Duration) {
	d.pendingAnswers = append(d.pendingAnswers, answer{d.Now + callTime, id, d.attempts[id], host})
	d.attempts[id]++
	if d.RecordSent {
		d.Sent = append(d.Sent, host)
	}
}

// Retract does nothing: each call is answered.
func (d *RouterDriver) Retract(uint64, int) {}

// Refuse forgets the call.
func (d *RouterDriver) Refuse(id uint64, _ time.Duration, _ decide.Reason) { delete(d.attempts, id) }

// Fail forgets the call.
func (d *RouterDriver) Fail(id uint64, _ decide.Reason) { delete(d.attempts, id) }

// ignoredActions implements the router's other actions, which have no effect here.
type ignoredActions struct{}

func (ignoredActions) Order(string, string, int)    {}
func (ignoredActions) Unload(string, string)        {}
func (ignoredActions) Probe(string)                 {}
func (ignoredActions) SendPeer(int, []byte)         {}
func (ignoredActions) Watch(bool)                   {}
func (ignoredActions) Lookup()                      {}
func (ignoredActions) Release(string)               {}
func (ignoredActions) WakeAt(time.Duration, string) {}
func (ignoredActions) Log(decide.Notice)            {}

// Call gives the router a call of a function and returns the time that this took.
func (d *RouterDriver) Call(function string) time.Duration {
	d.lastID++
	return d.handle(decide.Arrival{ID: d.lastID, Class: int(d.lastID % 2), Tenant: int(d.lastID / 2 % 2), Function: function,
		TTL: 4 * time.Second, Lanes: 1, Work: callTime})
}

// handle gives the router an event and returns the time that it took.
func (d *RouterDriver) handle(ev decide.Event) time.Duration {
	begun := time.Now()
	d.Router.Handle(d.Now, ev)
	return time.Since(begun)
}

// UpdateList gives the router a whole worker list or a change of it, and returns the time that it took.
func (d *RouterDriver) UpdateList(whole bool, hosts []decide.Host) time.Duration {
	return d.handle(decide.List{Whole: whole, Hosts: hosts})
}

// Advance advances the clock, with the answers that come due and the router's timer, and returns the time that the router took.
func (d *RouterDriver) Advance(duration time.Duration) (took time.Duration) {
	for end := d.Now + duration; d.Now < end; {
		d.Now = min(end, (d.Now/sweepInterval+1)*sweepInterval)
		for len(d.pendingAnswers) > 0 && d.pendingAnswers[0].dueAt <= d.Now {
			next := d.pendingAnswers[0]
			d.pendingAnswers = d.pendingAnswers[1:]
			delete(d.attempts, next.id)
			took += d.handle(decide.Result{ID: next.id, Attempt: next.attempt, Host: next.host, Outcome: decide.Good, Took: callTime,
				Final: true, Note: decide.FoundWarm, Contention: -1})
		}
		took += d.handle(decide.Wake{Token: "sweep"})
	}
	return took
}

// FunctionSkew draws functions with the target's skew: the whole fleet calls most of them less than once a minute.
type FunctionSkew struct {
	rng        *rand.Rand
	cumulative []float64
}

// NewFunctionSkew returns a skew over a number of functions, by Zipf's law with an exponent of 1.3.
func NewFunctionSkew(functions int, seed uint64) *FunctionSkew {
	s := &FunctionSkew{rng: rand.New(rand.NewPCG(seed, 7)), cumulative: make([]float64, functions)}
	total := 0.0
	for i := range s.cumulative {
		total += math.Pow(float64(i+1), -1.3)
		s.cumulative[i] = total
	}
	return s
}

// Draw returns the name of a random function.
func (s *FunctionSkew) Draw() string {
	i, _ := slices.BinarySearch(s.cumulative, s.rng.Float64()*s.cumulative[len(s.cumulative)-1])
	return fmt.Sprintf("%016x", min(i, len(s.cumulative)-1))
}

// MeasureRouter measures one router with a list of workers and calls of a number of functions. calls is the number of calls with the
// target's skew.
func MeasureRouter(workers, functions, calls int, seed uint64) (RouterResult, error) {
	out := RouterResult{Workers: workers, Functions: functions}
	hosts := WorkerList(workers)
	before := heapInUse()
	d, err := NewRouterDriver(TargetSettings(), seed)
	if err != nil {
		return out, err
	}
	out.ListUs = us(d.UpdateList(true, hosts))
	out.ListBytes = heapInUse() - before
	var first, next, after, change, timer []float64
	for i := range sampledFunctions {
		fn := fmt.Sprintf("r%015x", i)
		first = append(first, us(d.Call(fn)))
		d.Advance(2 * callTime)
		next = append(next, us(d.Call(fn)))
		d.Advance(2 * callTime)
	}
	for i := range changeSamples {
		h := hosts[i*workers/changeSamples]
		h.State = decide.Gone
		change = append(change, us(d.UpdateList(false, []decide.Host{h})))
		after = append(after, us(d.Call(fmt.Sprintf("r%015x", i))))
		h.State = decide.Ready
		change = append(change, us(d.UpdateList(false, []decide.Host{h})))
		after = append(after, us(d.Call(fmt.Sprintf("r%015x", i))))
		d.Advance(2 * callTime)
	}
	before = heapInUse()
	for i := range min(functions, memoryFunctions) {
		d.Call(fmt.Sprintf("m%015x", i))
		d.Advance(sweepInterval)
	}
	out.FunctionBytes = (max(heapInUse(), before) - before) / uint64(min(functions, memoryFunctions))
	skew, spent, interval := NewFunctionSkew(functions, seed), time.Duration(0), time.Duration(float64(time.Second)/CallsPerGateway())
	called := 0
	for ; called < calls && spent < callTimeLimit; called++ {
		spent += d.Call(skew.Draw()) + d.Advance(interval)
	}
	for range timerSamples {
		d.Now += sweepInterval
		timer = append(timer, us(d.handle(decide.Wake{Token: "sweep"})))
	}
	out.FirstUs, out.NextUs, out.AfterUs, out.ChangeUs, out.TimerUs = median(first), median(next), median(after), median(change), median(timer)
	out.CallUs = us(spent) / float64(called)
	out.CorePart = CallsPerGateway()*out.CallUs/1e6 + 2*Target.ReplacedPerDay/86_400*out.ChangeUs/1e6
	runtime.KeepAlive(d)
	return out, nil
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}

// heapInUse returns the number of bytes of live heap, after garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
