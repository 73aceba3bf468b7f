package plan

import "slices"

// Price is the one statement of the objective: what a placement is worth with these shares, in points.
type Price struct {
	Worth  int64 `json:"worth"`  // of the work served
	Cross  int64 `json:"cross"`  // taken off: work served in another hall,
	Memory int64 `json:"memory"` // memory held,
	Load   int64 `json:"load"`   // load time,
	Move   int64 `json:"move"`   // and copies moved
}

// Score is the sum.
func (p Price) Score() int64 { return p.Worth - p.Cross - p.Memory - p.Load - p.Move }

// instance is a problem in numbers.
type instance struct {
	*Problem
	halls   []int     // of each worker
	room    []int64   // memory of each worker that copies may take, 0 where none may stand
	cpu     []int64   // in mcores
	lane    []int64   // mcores that one lane can take at a worker
	present [][]bool  // by model and worker; at workers that may be used
	pins    [][]bool  // by model and worker
	may     [][]bool  // by model and worker: neither excluded nor at a worker that may not be used
	spread  []int     // halls that a model has to stand in
	holds   [][]int64 // points that a copy costs, by model and worker: memory, load, move
	home    [][]int   // hall of each demand, by model
	idle    int64     // points for unloading all that stands
}

func number(p *Problem) *instance {
	in := &instance{Problem: p}
	hall := map[string]int{}
	worker, model := map[string]int{}, map[string]int{}
	for i, w := range p.Workers {
		if _, ok := hall[w.Hall]; !ok {
			hall[w.Hall] = len(hall)
		}
		worker[w.ID] = i
		in.halls = append(in.halls, hall[w.Hall])
		room := int64(0)
		if w.State == "ready" {
			room = w.MemoryMB * (100 - p.Limits.Headroom) / 100
		}
		in.room = append(in.room, room)
		in.cpu = append(in.cpu, w.Cores*w.Speed*10*w.Capacity/100)
		in.lane = append(in.lane, w.Speed*10)
	}
	for i, m := range p.Models {
		model[m.ID] = i
		row := func() []bool { return make([]bool, len(p.Workers)) }
		present, pins, may := row(), row(), row()
		for j, w := range p.Workers {
			may[j] = w.State == "ready" && !slices.Contains(m.Excludes, w.ID)
			pins[j] = slices.Contains(m.Pins, w.ID)
		}
		spread := int(m.Halls)
		if p.Limits.SurviveHall && len(m.Calls) > 0 {
			spread = max(spread, 2)
		}
		in.present, in.pins, in.may = append(in.present, present), append(in.pins, pins), append(in.may, may)
		in.spread = append(in.spread, spread)
		var home []int
		for _, d := range m.Calls {
			home = append(home, hall[d.Hall])
		}
		in.home = append(in.home, home)
	}
	for _, k := range p.Present {
		if w := worker[k.Worker]; p.Workers[w].State == "ready" {
			in.present[model[k.Model]][w] = true
			in.idle += p.Prices.Move
		}
	}
	for m := range p.Models {
		costs := make([]int64, len(p.Workers))
		for w := range p.Workers {
			costs[w] = in.memoryPrice(m) + in.loadPrice(m) + p.Prices.Move
			if in.present[m][w] { // it stands: nothing to load, and nothing to unload
				costs[w] = in.memoryPrice(m) - p.Prices.Move
			}
		}
		in.holds = append(in.holds, costs)
	}
	return in
}

func (in *instance) memoryPrice(m int) int64 { return in.Models[m].MemoryMB * in.Prices.Memory / 100 }
func (in *instance) loadPrice(m int) int64   { return in.Models[m].LoadMs * in.Prices.Load / 100 }

// gain is what a unit of a demand is worth when served at a worker.
func (in *instance) gain(m, d, w int) int64 {
	g := in.Models[m].Calls[d].Worth
	if in.home[m][d] != in.halls[w] {
		g -= in.Prices.Cross
	}
	return g
}

// need is how many copies a model has to have.
func (in *instance) need(m int) int { return int(in.Models[m].Least) }

// mostCopies is how many it may have.
func (in *instance) mostCopies(m int) int {
	if in.Models[m].Most == 0 {
		return len(in.Workers)
	}
	return int(in.Models[m].Most)
}
