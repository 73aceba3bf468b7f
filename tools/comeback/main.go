// Command comeback plays fleets of a size that no machine has sockets for: gateways are the pure packages of recovery and
// membership on a clock of their own; workers, the store and the net between gateways are a few lines each. It prints, and
// draws as SVG, the time to 90 % of the former calls and the news that each gateway sends, against the size of the fleet.
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
	tick      = 10 * time.Millisecond
	perSecond = 17.0 // calls of one gateway
	functions = 7    // for each gateway
	load      = 200 * time.Millisecond
	storeFor  = 5.3 // loads at once that the store bears, for each gateway: it grows with the fleet
	coldFrom  = 0.2
	coldFor   = 10 * time.Second
	gossip    = 100 * time.Millisecond // a round; each doubles those who have heard, or more
	length    = 30 * time.Second
)

// event is something that is known to all at a time.
type event struct {
	at time.Duration
	fn int
}
type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any          { o := *q; x := o[len(o)-1]; *q = o[:len(o)-1]; return x }

// play returns the time to 90 % of the calls and the pieces of news that a gateway sends, by its share of the finds.
func play(gateways int, seed uint64) (until time.Duration, news float64, most int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	var all []*recover.Admission
	share := recover.AdmissionConfig{ClassWorth: []float64{1, 3, 5}, FormerRate: perSecond, FirstLoads: int(storeFor * float64(gateways) / 2), Gateways: gateways}
	for range gateways {
		all = append(all, recover.NewAdmission(share, coldFrom, 0))
	}
	names := make([]string, functions*gateways)
	for i := range names {
		names[i] = fmt.Sprint("f", i)
	}
	var loads, told queue
	stands, under := map[int]bool{}, map[int]bool{}
	spread := time.Duration(math.Ceil(math.Log2(float64(gateways+1)))) * gossip // until the last has heard
	due, served := map[int]int{}, map[int]int{}                                 // by half second
	pieces := 0
	for now := time.Duration(0); now < length; now += tick {
		for len(loads) > 0 && loads[0].at <= now {
			e := heap.Pop(&loads).(event)
			stands[e.fn] = true
			delete(under, e.fn)
			heap.Push(&told, event{now + spread, e.fn})
			pieces++
		}
		for len(told) > 0 && told[0].at <= now {
			e := heap.Pop(&told).(event)
			for _, a := range all {
				a.MarkLoaded(names[e.fn])
			}
		}
		// What cold workers bear of the former calls: the rule of the module, 0.8 of 2.5 times their present share.
		bears := min(1, 2*(coldFrom+(1-coldFrom)*now.Seconds()/coldFor.Seconds()))
		for _, a := range all {
			for n := poisson(rng, perSecond*tick.Seconds()); n > 0; n-- {
				fn := int(min(rng.ExpFloat64()/4, 0.999) * float64(len(names)))
				half := int(now / (500 * time.Millisecond))
				due[half]++
				if !a.Admit(now, rng.IntN(3), names[fn]) {
					continue
				}
				ok := stands[fn] && rng.Float64() < bears
				if !stands[fn] && !under[fn] {
					under[fn] = true
					heap.Push(&loads, event{now + time.Duration(float64(load)*(3+float64(9*len(under))/float64(gateways))/4), fn})
					most = max(most, len(under))
				}
				if stands[fn] {
					a.RecordOutcome(names[fn], ok)
				}
				if ok {
					served[half]++
				}
			}
		}
	}
	for half := 0; half < int(length/(500*time.Millisecond)); half++ {
		if float64(served[half]) >= 0.9*float64(due[half]) {
			return time.Duration(half) * 500 * time.Millisecond, float64(pieces) / float64(gateways), most
		}
	}
	return length, float64(pieces) / float64(gateways), most
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for p := rng.Float64(); p > math.Exp(-mean); n++ {
		p *= rng.Float64()
	}
	return n
}

func main() {
	out := flag.String("out", "", "file of the plot, SVG")
	flag.Parse()
	var times, sent plotter.XYs
	fmt.Printf("%s, %d cores\ngateways  until 90 %%  news a gateway  most loads at once  store bears\n", runtime.GOARCH, runtime.NumCPU())
	for _, n := range []int{3, 9, 30, 100, 300} {
		until, news, most := play(n, 1)
		fmt.Printf("%8d  %10v  %14.1f  %18d  %11.0f\n", n, until, news, most, storeFor*float64(n))
		times, sent = append(times, plotter.XY{X: float64(n), Y: until.Seconds()}), append(sent, plotter.XY{X: float64(n), Y: news})
	}
	if *out == "" {
		return
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = "Fleets that come back", "gateways", "seconds, pieces"
	p.X.Scale, p.X.Tick.Marker, p.Y.Min, p.Legend.Top = plot.LogScale{}, plot.LogTicks{}, 0, true
	for i, l := range []struct {
		name string
		xy   plotter.XYs
	}{{"s to 90 % of the former calls", times}, {"news that a gateway sends", sent}} {
		line, err := plotter.NewLine(l.xy)
		if err != nil {
			fmt.Fprintln(os.Stderr, "comeback:", err)
			os.Exit(1)
		}
		line.Dashes = [][]vg.Length{nil, {vg.Points(4), vg.Points(2)}}[i]
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	if err := p.Save(16*vg.Centimeter, 9*vg.Centimeter, *out); err != nil {
		fmt.Fprintln(os.Stderr, "comeback:", err)
		os.Exit(1)
	}
}
