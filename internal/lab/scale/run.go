package scale

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"quillrail/internal/lab"
)

const (
	realGateways = 3
	seedsEach    = 3  // hollow gateways that are asked first, besides the real ones
	batch        = 25 // hollow gateways that are started at once
	joinLimit    = 90 * time.Second
	forceLimit   = 15 * time.Second
	busyPart     = 0.5     // of the machine's cores that a fleet may take in quiet, to be started
	gcPercent    = 200     // of garbage beside what is in use: many gateways in a process would collect most of the time
	memoryLimit  = 9 << 30 // bytes; then it is collected sooner
	pollEvery    = 5 * time.Millisecond
	idleWindow   = 3 * time.Second // for what the process costs without hollow gateways
	realRate     = 60              // calls a second of the real gateways together
)

// run is a fleet that grows from size to size.
type run struct {
	o       Options
	out     *Result
	lab     *lab.Lab
	network *network
	port    string
	seeds   []string
	voters  []string
	hollow  []*hollow
	wrong   atomic.Int64
	there   atomic.Pointer[map[string]bool] // names of the gateways that run and are reached
	idle    Usage                           // of the process without them, for a second
	changes int
}

// Run measures routers and fleets, one size after the other, and says on o.Log how far it is.
func Run(o Options) (*Result, error) {
	out := &Result{Machine: fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())}
	for _, workers := range o.Workers {
		functions := o.Functions[len(o.Functions)-1]
		o.Log("a router that is told of %d workers and asked for %d functions", workers, functions)
		r, err := MeasureRouter(workers, functions, o.Calls, o.Seed)
		if err != nil {
			return out, err
		}
		out.Routers = append(out.Routers, r)
	}
	for _, functions := range o.Functions[:len(o.Functions)-1] {
		workers := o.Workers[min(1, len(o.Workers)-1)]
		o.Log("a router that is told of %d workers and asked for %d functions", workers, functions)
		r, err := MeasureRouter(workers, functions, o.Calls, o.Seed)
		if err != nil {
			return out, err
		}
		out.Routers = append(out.Routers, r)
	}
	debug.FreeOSMemory()
	if len(o.Gateways) == 0 {
		return out, nil
	}
	return out, fleets(o, out)
}

// fleets measures all sizes of the fleet, and the events at the last.
func fleets(o Options, out *Result) (err error) {
	l, err := lab.New(lab.Options{Program: o.Program, Dir: o.Dir, Seed: o.Seed, Gateways: realGateways, Workers: Target.Regions, Halls: Target.Regions,
		Fleet: true, Voters: realGateways, Env: o.Env})
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.StartAll(); err != nil {
		return err
	}
	r := &run{o: o, out: out, lab: l, network: newNetwork()}
	for i, g := range l.Gateways {
		r.voters, r.seeds = append(r.voters, g.Name), append(r.seeds, g.Peer())
		host, port, err := net.SplitHostPort(g.Peer())
		if err != nil {
			return err
		}
		r.port = port
		r.network.add(host, placeOf(i))
	}
	for n := range seedsEach {
		r.seeds = append(r.seeds, net.JoinHostPort(hostName(n), r.port))
	}
	traffic := l.Start(lab.Load{Rate: realRate, Functions: 20, Wait: 2 * time.Second, Tries: 2})
	defer traffic.End()
	before := usage()
	time.Sleep(idleWindow)
	r.idle = usage().since(before).perSecond(idleWindow)
	defer r.stopAll()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	for i, size := range o.Gateways {
		f, err := r.measure(size)
		out.Fleets = append(out.Fleets, f)
		if f.CorePart*float64(size) > 0.8*float64(runtime.NumCPU()) {
			out.Limits = append(out.Limits, fmt.Sprintf("%d gateways: the machine's processors were busy, so times and suspicions are the machine's", size))
		}
		if err != nil { // a larger one would not be measured either
			out.Limits = append(out.Limits, fmt.Sprintf("%d gateways: %v; larger fleets and events were not played", size, err))
			return nil
		}
		if i+1 < len(o.Gateways) {
			if next := o.Gateways[i+1]; f.CorePart*float64(next) > busyPart*float64(runtime.NumCPU()) {
				out.Limits = append(out.Limits, fmt.Sprintf("%d gateways were not started: they would take %.1f cores in quiet, of %d, and several times as much while "+
					"they find each other", next, f.CorePart*float64(next), runtime.NumCPU()))
				break
			}
		}
	}
	if err := r.events(); err != nil {
		out.Limits = append(out.Limits, fmt.Sprintf("the events: %v", err))
	}
	return nil
}

// stopAll ends all hollow gateways at once; the network is cut, so that nobody tells anybody.
func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, h := range r.hollow {
		r.network.kill(h.host, true)
		all.Go(h.stop)
	}
	all.Wait()
}

// grow starts hollow gateways until the fleet has so many, and waits until all know of all.
func (r *run) grow(size int) error {
	for len(r.hollow) < size-realGateways {
		for range min(batch, size-realGateways-len(r.hollow)) {
			n := len(r.hollow)
			h := newHollow(r, n)
			r.hollow = append(r.hollow, h)
		}
		r.settle()
		for _, h := range r.hollow {
			if !h.running.Load() {
				h.begin()
			}
		}
		all := int64(len(r.hollow) + realGateways) // before more are started: else late probes raise suspicions
		if err := r.await(joinLimit, func(h *hollow) bool { return h.alive.Load() == all }); err != nil {
			return fmt.Errorf("at %d: %w", all, err)
		}
	}
	return nil
}

// settle notes which gateways run: to suspect one of them is wrong.
func (r *run) settle() {
	there := map[string]bool{}
	for _, name := range r.voters {
		there[name] = true
	}
	for _, h := range r.hollow {
		there[h.name] = true
	}
	r.there.Store(&there)
}

func (r *run) isThere(name string) bool {
	there := r.there.Load()
	return there != nil && (*there)[name]
}

var errLate = errors.New("the fleet did not come to it in time")

// await waits until something holds for every hollow gateway that runs.
func (r *run) await(limit time.Duration, holds func(*hollow) bool) error {
	for end := time.Now().Add(limit); ; time.Sleep(pollEvery) {
		missing := 0
		for _, h := range r.hollow {
			if h.running.Load() && !holds(h) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d of %d gateways", errLate, missing, len(r.hollow))
		}
	}
}
