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
	realGateways   = 3
	hollowSeeds    = 3  // hollow gateways that are seeds, besides the real ones
	startBatch     = 25 // hollow gateways that are started together
	joinTimeout    = 90 * time.Second
	inForceTimeout = 15 * time.Second
	maxCoreShare   = 0.5     // a fleet is not started if, when idle, it would take more than this part of the machine's cores
	gcPercent      = 200     // with less, a process with many gateways would spend most of its time in garbage collection
	memoryLimit    = 9 << 30 // bytes, from which garbage is collected more often
	pollInterval   = 5 * time.Millisecond
	idleWindow     = 3 * time.Second // over which the process's usage without hollow gateways is measured
	realRate       = 60              // calls per second of the real gateways together
)

// run is a fleet that grows from one size to the next, and what is measured of it.
type run struct {
	opts            Options
	result          *Result
	lab             *lab.Lab
	network         *network
	port            string   // at which gateways reach each other
	seeds           []string // addresses of gateways that new ones contact
	voters          []string // names of the real gateways
	hollowGateways  []*hollow
	wrongSuspicions atomic.Int64
	expected        atomic.Pointer[map[string]bool] // names of the gateways that all others should consider alive
	baseline        Usage                           // of this process without hollow gateways, per second
	changes         int                             // proposed so far
}

// Run measures routers and fleets, one size after the other, and reports its progress to opts.Log.
func Run(opts Options) (*Result, error) {
	result := &Result{Machine: fmt.Sprintf("%d cores, %s/%s, %s", runtime.NumCPU(), runtime.GOOS, runtime.GOARCH, runtime.Version())}
	for _, workers := range opts.Workers {
		functions := opts.Functions[len(opts.Functions)-1]
		opts.Log("measuring a router with %d workers and %d functions", workers, functions)
		r, err := MeasureRouter(workers, functions, opts.Calls, opts.Seed)
		if err != nil {
			return result, err
		}
		result.Routers = append(result.Routers, r)
	}
	for _, functions := range opts.Functions[:len(opts.Functions)-1] {
		workers := opts.Workers[min(1, len(opts.Workers)-1)]
		opts.Log("measuring a router with %d workers and %d functions", workers, functions)
		r, err := MeasureRouter(workers, functions, opts.Calls, opts.Seed)
		if err != nil {
			return result, err
		}
		result.Routers = append(result.Routers, r)
	}
	debug.FreeOSMemory()
	if len(opts.Gateways) == 0 {
		return result, nil
	}
	return result, measureFleets(opts, result)
}

// measureFleets measures all sizes of the fleet, and the events at the last size.
func measureFleets(opts Options, result *Result) (err error) {
	l, err := lab.New(lab.Options{Program: opts.Program, Dir: opts.Dir, Seed: opts.Seed, Gateways: realGateways,
		Workers: Target.Regions, Halls: Target.Regions, Fleet: true, Voters: realGateways, Env: opts.Env})
	if err != nil {
		return err
	}
	defer l.Close()
	if err := l.StartAll(); err != nil {
		return err
	}
	r := &run{opts: opts, result: result, lab: l, network: newNetwork()}
	for i, g := range l.Gateways {
		r.voters, r.seeds = append(r.voters, g.Name), append(r.seeds, g.PeerAddr())
		host, port, err := net.SplitHostPort(g.PeerAddr())
		if err != nil {
			return err
		}
		r.port = port
		r.network.add(host, placeOf(i))
	}
	for n := range hollowSeeds {
		r.seeds = append(r.seeds, net.JoinHostPort(hostName(n), r.port))
	}
	traffic := l.Start(lab.Load{Rate: realRate, Functions: 20, Wait: 2 * time.Second, Tries: 2})
	defer traffic.End()
	before := ownUsage()
	time.Sleep(idleWindow)
	r.baseline = ownUsage().since(before).perSecond(idleWindow)
	defer r.stopAll()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(memoryLimit)
	for i, size := range opts.Gateways {
		measured, err := r.measure(size)
		result.Fleets = append(result.Fleets, measured)
		if measured.CorePart*float64(size) > 0.8*float64(runtime.NumCPU()) {
			result.Limits = append(result.Limits, fmt.Sprintf("%d gateways: the machine's processors were busy, "+
				"so the machine and not the program determines times and suspicions", size))
		}
		if err != nil { // a larger fleet would fail too
			result.Limits = append(result.Limits, fmt.Sprintf("%d gateways: %v; larger fleets and the events were not measured", size, err))
			return nil
		}
		if i+1 < len(opts.Gateways) {
			if next := opts.Gateways[i+1]; measured.CorePart*float64(next) > maxCoreShare*float64(runtime.NumCPU()) {
				result.Limits = append(result.Limits, fmt.Sprintf("%d gateways were not started: when idle they would take %.1f of %d cores, "+
					"and several times as much while "+
					"they find each other", next, measured.CorePart*float64(next), runtime.NumCPU()))
				break
			}
		}
	}
	if err := r.measureEvents(); err != nil {
		result.Limits = append(result.Limits, fmt.Sprintf("the events: %v", err))
	}
	return nil
}

// stopAll stops all hollow gateways at once. The network is cut first, so that they don't notify each other.
func (r *run) stopAll() {
	var all sync.WaitGroup
	for _, h := range r.hollowGateways {
		r.network.setDead(h.host, true)
		all.Go(h.stop)
	}
	all.Wait()
}

// grow starts hollow gateways in batches until the fleet has the size. After each batch it waits until each gateway knows all others.
func (r *run) grow(size int) error {
	for len(r.hollowGateways) < size-realGateways {
		for range min(startBatch, size-realGateways-len(r.hollowGateways)) {
			n := len(r.hollowGateways)
			h := newHollow(r, n)
			r.hollowGateways = append(r.hollowGateways, h)
		}
		r.expectAll()
		for _, h := range r.hollowGateways {
			if !h.running.Load() {
				h.start()
			}
		}
		// All are awaited before the next batch, since probes that are late under load raise suspicions.
		all := int64(len(r.hollowGateways) + realGateways)
		if err := r.await(joinTimeout, func(h *hollow) bool { return h.aliveCount.Load() == all }); err != nil {
			return fmt.Errorf("starting gateways up to number %d: %w", all, err)
		}
	}
	return nil
}

// expectAll expects all gateways to be considered alive, so that any suspicion of one counts as wrong.
func (r *run) expectAll() {
	expected := map[string]bool{}
	for _, name := range r.voters {
		expected[name] = true
	}
	for _, h := range r.hollowGateways {
		expected[h.name] = true
	}
	r.expected.Store(&expected)
}

// isExpected reports whether all other gateways should consider a gateway alive.
func (r *run) isExpected(name string) bool {
	expected := r.expected.Load()
	return expected != nil && (*expected)[name]
}

var errTimeout = errors.New("the fleet did not reach the expected state in time")

// await waits until a condition holds for every running hollow gateway.
func (r *run) await(limit time.Duration, condition func(*hollow) bool) error {
	for end := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		missing := 0
		for _, h := range r.hollowGateways {
			if h.running.Load() && !condition(h) {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %d of %d gateways have not", errTimeout, missing, len(r.hollowGateways))
		}
	}
}
