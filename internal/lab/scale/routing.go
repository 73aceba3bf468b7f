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
	callTook      = 40 * time.Millisecond // of a call at a worker
	rareFunctions = 100                   // that are called once, then once more, then after a change
	functionsPer  = 300                   // whose memory is measured
	callLimit     = 10 * time.Second      // for the calls of one router
	timerTurns    = 100
	changeTurns   = 20
	sweep         = 10 * time.Millisecond // the router's timer
)

// Workers is a list of so many workers, spread over the target's zones.
func Workers(n int) []decide.Host {
	hosts := make([]decide.Host, n)
	for i := range hosts {
		hosts[i] = decide.Host{Name: fmt.Sprintf("s-%08x", uint32(i)*2654435761), Zone: i % Target.Zones, Cell: i / 40}
	}
	return hosts
}

// Site is the target's settings as a router has them.
func Site() decide.Settings {
	class := func(aim, deadline time.Duration, worth float64, effect decide.Effect) decide.Class {
		return decide.Class{Aim: aim, Deadline: deadline, Worth: worth, Effect: effect, KeyScope: decide.SameZone, Window: 8 * time.Second}
	}
	return decide.Settings{Classes: []decide.Class{class(time.Second, 4*time.Second, 1, decide.Safe), class(2*time.Second, 6*time.Second, 3, decide.Keyed)},
		Tenants: []decide.Tenant{{Share: 0.5}, {Share: 0.5}}, Gateways: Target.Gateways, Subscribe: true, MaxAttempts: 3, Parallel: true,
		Cancelling: true, ColdFrom: 0.18, ColdFor: 14 * time.Second, CollapseMultiple: 2.5, CollapseAfter: 3 * time.Second, KeepAlive: 10 * time.Second,
		Orders: true, LoadsOnMiss: true, MarksCold: true, FreeOrders: 2, OrderShare: 0.3, OrderWindow: 10 * time.Second,
		OrderTimeout: 10 * time.Second}
}

// Player plays the gateway of a router: what is routed is answered after a while, as a copy that stands would.
type Player struct {
	unasked
	Router *decide.Router
	Now    time.Duration
	Sent   []string // where calls went, while it is kept
	Keep   bool

	shots map[uint64]int
	due   []answer // in order of their times
	next  uint64
}

type answer struct {
	at   time.Duration
	id   uint64
	shot int
	host string
}

// NewPlayer returns a router that knows of no worker yet.
func NewPlayer(set decide.Settings, seed uint64) (*Player, error) {
	p := &Player{Now: time.Hour, shots: map[uint64]int{}}
	var err error
	p.Router, err = decide.New(set, seed, p)
	return p, err
}

// Route has the call answered after callTook.
func (p *Player) Route(id uint64, host string, _ time.Duration) {
	p.due = append(p.due, answer{p.Now + callTook, id, p.shots[id], host})
	p.shots[id]++
	if p.Keep {
		p.Sent = append(p.Sent, host)
	}
}

// Retract does nothing: each call is answered.
func (p *Player) Retract(uint64, int) {}

// Refuse forgets the call.
func (p *Player) Refuse(id uint64, _ time.Duration, _ decide.Reason) { delete(p.shots, id) }

// Fail forgets the call.
func (p *Player) Fail(id uint64, _ decide.Reason) { delete(p.shots, id) }

// unasked is what a router asks for besides, and gets nothing of here.
type unasked struct{}

func (unasked) Order(string, string, int)    {}
func (unasked) Unload(string, string)        {}
func (unasked) Probe(string)                 {}
func (unasked) SendPeer(int, []byte)         {}
func (unasked) Watch(bool)                   {}
func (unasked) Lookup()                      {}
func (unasked) Release(string)               {}
func (unasked) WakeAt(time.Duration, string) {}
func (unasked) Log(decide.Notice)            {}

// Call has a function called and returns what it took.
func (p *Player) Call(function string) time.Duration {
	p.next++
	return p.handle(decide.Arrival{ID: p.next, Class: int(p.next % 2), Tenant: int(p.next / 2 % 2), Function: function, TTL: 4 * time.Second,
		Lanes: 1, Work: callTook})
}

func (p *Player) handle(ev decide.Event) time.Duration {
	begun := time.Now()
	p.Router.Handle(p.Now, ev)
	return time.Since(begun)
}

// List tells of workers and returns what it took.
func (p *Player) List(whole bool, hosts []decide.Host) time.Duration {
	return p.handle(decide.List{Whole: whole, Hosts: hosts})
}

// Pass has time pass, with answers as they come due and the timer, and returns what it took.
func (p *Player) Pass(d time.Duration) (took time.Duration) {
	for end := p.Now + d; p.Now < end; {
		p.Now = min(end, (p.Now/sweep+1)*sweep)
		for len(p.due) > 0 && p.due[0].at <= p.Now {
			a := p.due[0]
			p.due = p.due[1:]
			delete(p.shots, a.id)
			took += p.handle(decide.Result{ID: a.id, Attempt: a.shot, Host: a.host, Outcome: decide.Good, Took: callTook, Final: true, Note: decide.FoundWarm, Contention: -1})
		}
		took += p.handle(decide.Wake{Token: "sweep"})
	}
	return took
}

// Skew draws functions as the target has them: most are called less than once a minute by the whole fleet.
type Skew struct {
	rng *rand.Rand
	sum []float64
}

// NewSkew returns a skew over so many functions, by Zipf's law with an exponent of 1.3.
func NewSkew(functions int, seed uint64) *Skew {
	s := &Skew{rng: rand.New(rand.NewPCG(seed, 7)), sum: make([]float64, functions)}
	total := 0.0
	for i := range s.sum {
		total += math.Pow(float64(i+1), -1.3)
		s.sum[i] = total
	}
	return s
}

// Draw returns a function.
func (s *Skew) Draw() string {
	i, _ := slices.BinarySearch(s.sum, s.rng.Float64()*s.sum[len(s.sum)-1])
	return fmt.Sprintf("%016x", min(i, len(s.sum)-1))
}

// MeasureRouter measures one router that is told of so many workers and asked for so many functions.
func MeasureRouter(workers, functions, calls int, seed uint64) (RouterResult, error) {
	out := RouterResult{Workers: workers, Functions: functions}
	hosts := Workers(workers)
	before := heap()
	p, err := NewPlayer(Site(), seed)
	if err != nil {
		return out, err
	}
	out.ListUs = us(p.List(true, hosts))
	out.ListBytes = heap() - before
	var first, next, after, change, timer []float64
	for i := range rareFunctions {
		fn := fmt.Sprintf("r%015x", i)
		first = append(first, us(p.Call(fn)))
		p.Pass(2 * callTook)
		next = append(next, us(p.Call(fn)))
		p.Pass(2 * callTook)
	}
	for i := range changeTurns {
		h := hosts[i*workers/changeTurns]
		h.State = decide.Gone
		change = append(change, us(p.List(false, []decide.Host{h})))
		after = append(after, us(p.Call(fmt.Sprintf("r%015x", i))))
		h.State = decide.Ready
		change = append(change, us(p.List(false, []decide.Host{h})))
		after = append(after, us(p.Call(fmt.Sprintf("r%015x", i))))
		p.Pass(2 * callTook)
	}
	before = heap()
	for i := range min(functions, functionsPer) {
		p.Call(fmt.Sprintf("m%015x", i))
		p.Pass(sweep)
	}
	out.FunctionBytes = (max(heap(), before) - before) / uint64(min(functions, functionsPer))
	skew, spent, pace := NewSkew(functions, seed), time.Duration(0), time.Duration(float64(time.Second)/CallsEach())
	made := 0
	for ; made < calls && spent < callLimit; made++ {
		spent += p.Call(skew.Draw()) + p.Pass(pace)
	}
	for range timerTurns {
		p.Now += sweep
		timer = append(timer, us(p.handle(decide.Wake{Token: "sweep"})))
	}
	out.FirstUs, out.NextUs, out.AfterUs, out.ChangeUs, out.TimerUs = median(first), median(next), median(after), median(change), median(timer)
	out.CallUs = us(spent) / float64(made)
	out.CorePart = CallsEach()*out.CallUs/1e6 + 2*Target.ReplacedPerDay/86_400*out.ChangeUs/1e6
	runtime.KeepAlive(p)
	return out, nil
}

func us(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func median(x []float64) float64 {
	slices.Sort(x)
	return x[len(x)/2]
}

// heap is how many bytes of the heap are in use.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
