// Command comeback simulates the recovery of fleets that are too large for the sockets of one machine. The gateways are the Admissions
// of internal/fleet/recover on a simulated clock; workers, the model store and the network between gateways are a few lines each. It
// prints, and plots as SVG, the time until 90 % of the former calls are served and the updates that each gateway sends, against the
// size of the fleet.
package main

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"runtime"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"quillrail/internal/fleet/recover"
)

const (
	tick                 = 10 * time.Millisecond
	callsPerSecond       = 17.0 // per gateway
	functionsPerGateway  = 7
	loadTime             = 200 * time.Millisecond
	storeLoadsPerGateway = 5.3                    // concurrent loads per gateway that the model store can serve; it is scaled with the fleet
	coldCapacity         = 0.2                    // part of its capacity with which a worker starts
	coldTime             = 10 * time.Second       // until a worker has its full capacity
	gossipRound          = 100 * time.Millisecond // in each, the number of gateways that have an update at least doubles
	simulatedTime        = 30 * time.Second
)

// loadUpdate is the end of a load, or the time at which all gateways have received the update about it.
type loadUpdate struct {
	at       time.Duration
	function int
}

// updateQueue is a heap of updates, earliest first.
type updateQueue []loadUpdate

func (q updateQueue) Len() int           { return len(q) }
func (q updateQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q updateQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *updateQueue) Push(x any)        { *q = append(*q, x.(loadUpdate)) }
func (q *updateQueue) Pop() any          { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// simulate runs the recovery of a fleet. It returns the time until 90 % of the calls are served (simulatedTime if that is not reached),
// the number of updates that a gateway sends on average, and the highest number of concurrent loads.
func simulate(gateways int, seed uint64) (recovered time.Duration, updates float64, peakLoads int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var admissions []*recover.Admission
	config := recover.AdmissionConfig{FormerRate: callsPerSecond,
		FirstLoads: int(storeLoadsPerGateway * float64(gateways) / 2), Gateways: gateways}
	for range gateways {
		admissions = append(admissions, recover.NewAdmission(config, coldCapacity, 0))
	}
	names := make([]string, functionsPerGateway*gateways)
	for i := range names {
		names[i] = fmt.Sprint("f", i)
	}
	var loads, pending updateQueue
	loaded, loading := map[int]bool{}, map[int]bool{}
	spreadTime := time.Duration(math.Ceil(math.Log2(float64(gateways+1)))) * gossipRound // until the last gateway has an update
	offered, served := map[int]int{}, map[int]int{}                                      // calls by half second
	finished := 0
	for now := time.Duration(0); now < simulatedTime; now += tick {
		for len(loads) > 0 && loads[0].at <= now {
			loadDone := heap.Pop(&loads).(loadUpdate)
			loaded[loadDone.function] = true
			delete(loading, loadDone.function)
			heap.Push(&pending, loadUpdate{now + spreadTime, loadDone.function})
			finished++
		}
		for len(pending) > 0 && pending[0].at <= now {
			update := heap.Pop(&pending).(loadUpdate)
			for _, a := range admissions {
				a.MarkLoaded(names[update.function])
			}
		}
		// Part of the former calls that the cold workers can serve. By the rule of package decide it is 0.8 times 2.5 times their
		// present part of the full capacity.
		capacity := min(1, 2*(coldCapacity+(1-coldCapacity)*now.Seconds()/coldTime.Seconds()))
		for _, a := range admissions {
			for n := poisson(rng, callsPerSecond*tick.Seconds()); n > 0; n-- {
				function := int(min(rng.ExpFloat64()/4, 0.999) * float64(len(names)))
				halfSecond := int(now / (500 * time.Millisecond))
				offered[halfSecond]++
				if !a.Admit(now, names[function]) {
					continue
				}
				ok := loaded[function] && rng.Float64() < capacity
				if !loaded[function] && !loading[function] {
					loading[function] = true
					// Each load takes longer the more loads are in progress per gateway.
					heap.Push(&loads, loadUpdate{now + time.Duration(float64(loadTime)*(3+float64(9*len(loading))/float64(gateways))/4),
						function})
					peakLoads = max(peakLoads, len(loading))
				}
				if loaded[function] {
					a.RecordOutcome(names[function], ok)
				}
				if ok {
					served[halfSecond]++
				}
			}
		}
	}
	for halfSecond := 0; halfSecond < int(simulatedTime/(500*time.Millisecond)); halfSecond++ {
		if float64(served[halfSecond]) >= 0.9*float64(offered[halfSecond]) {
			return time.Duration(halfSecond) * 500 * time.Millisecond, float64(finished) / float64(gateways), peakLoads
		}
	}
	return simulatedTime, float64(finished) / float64(gateways), peakLoads
}

// poisson returns a random number with a Poisson distribution.
func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean); n++ {
		p *= rng.Float64()
	}
	return n
}

func main() {
	out := flag.String("out", "", "SVG file to which the plot is written")
	flag.Parse()
	var times, sent plotter.XYs
	fmt.Printf("%s, %d cores\ngateways  until 90 %%    updates each  most loads at once  store limit\n", runtime.GOARCH, runtime.NumCPU())
	for _, n := range []int{3, 9, 30, 100, 300} {
		recovered, updates, peakLoads := simulate(n, 1)
		fmt.Printf("%8d  %10v  %14.1f  %18d  %11.0f\n", n, recovered, updates, peakLoads, storeLoadsPerGateway*float64(n))
		times, sent = append(times, plotter.XY{X: float64(n), Y: recovered.Seconds()}), append(sent, plotter.XY{X: float64(n), Y: updates})
	}
	if *out == "" {
		return
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Recovery of fleets", "gateways", "seconds, updates"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min, p.Legend.Top = plot.LogScale{}, plot.LogTicks{}, 0, true
	for i, series := range []struct {
		name string
		xy   plotter.XYs
	}{{"s to 90 % of the former calls", times}, {"updates that a gateway sends", sent}} {
		line, err := plotter.NewLine(series.xy)
		if err != nil {
			fmt.Fprintln(os.Stderr, "comeback:", err)
			os.Exit(1)
		}
		line.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}}[i]
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, *out); err != nil {
		fmt.Fprintln(os.Stderr, "comeback:", err)
		os.Exit(1)
	}
}
