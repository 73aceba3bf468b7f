package plan

import "slices"

// Breakdown is the objective that Solve maximizes, item by item in points: the worth of the work served and the costs. It is the
// only definition of the score.
type Breakdown struct {
	Worth  int64 `json:"worth"`  // of the work served
	Cross  int64 `json:"cross"`  // cost of work served in a hall other than the caller's
	Memory int64 `json:"memory"` // cost of the memory of the copies
	Load   int64 `json:"load"`   // cost of the load time
	Move   int64 `json:"move"`   // cost of loads and unloads
}

// Score returns the worth less the costs.
func (b Breakdown) Score() int64 { return b.Worth - b.Cross - b.Memory - b.Load - b.Move }

// instance is a problem with names replaced by indexes: m is the index of a model, w of a worker, d of a demand (Call) of a model.
type instance struct {
	*Problem
	hallOf        []int     // by worker
	roomMB        []int64   // by worker: memory that copies may use, 0 if the worker is not ready
	cpuMcores     []int64   // by worker: work that all its cores can serve
	laneMcores    []int64   // by worker: work that one lane can serve
	present       [][]bool  // by model and worker: a copy is loaded now and the worker is ready
	pins          [][]bool  // by model and worker: a copy is required
	allowed       [][]bool  // by model and worker: the worker is ready and not excluded
	minHalls      []int     // by model: number of halls in which it must have copies
	copyCost      [][]int64 // by model and worker: memory, load and move, in points; less the unload that keeping a present copy saves
	demandHall    [][]int   // by model and demand: hall of the callers
	unloadAllCost int64     // points for unloading all present copies; copyCost is relative to this
}

// newInstance returns the instance of a problem that passed Check.
func newInstance(problem *Problem) *instance {
	in := &instance{Problem: problem}
	hallIndex := map[string]int{}
	workerIndex, modelIndex := map[string]int{}, map[string]int{}
	for i, w := range problem.Workers {
		if _, ok := hallIndex[w.Hall]; !ok {
			hallIndex[w.Hall] = len(hallIndex)
		}
		workerIndex[w.ID] = i
		in.hallOf = append(in.hallOf, hallIndex[w.Hall])
		roomMB := int64(0)
		if w.State == "ready" {
			roomMB = w.MemoryMB * (100 - problem.Limits.HeadroomPercent) / 100
		}
		in.roomMB = append(in.roomMB, roomMB)
		in.cpuMcores = append(in.cpuMcores, w.Cores*w.SpeedPercent*10*w.CapacityPercent/100)
		in.laneMcores = append(in.laneMcores, w.SpeedPercent*10)
	}
	for i, m := range problem.Models {
		modelIndex[m.ID] = i
		row := func() []bool { return make([]bool, len(problem.Workers)) }
		present, pins, allowed := row(), row(), row()
		for j, w := range problem.Workers {
			allowed[j] = w.State == "ready" && !slices.Contains(m.Excludes, w.ID)
			pins[j] = slices.Contains(m.Pins, w.ID)
		}
		minHalls := int(m.MinHalls)
		if problem.Limits.SurviveHall && len(m.Calls) > 0 {
			minHalls = max(minHalls, 2)
		}
		in.present, in.pins, in.allowed = append(in.present, present), append(in.pins, pins), append(in.allowed, allowed)
		in.minHalls = append(in.minHalls, minHalls)
		var demandHall []int
		for _, call := range m.Calls {
			demandHall = append(demandHall, hallIndex[call.Hall])
		}
		in.demandHall = append(in.demandHall, demandHall)
	}
	for _, loaded := range problem.Present {
		if w := workerIndex[loaded.Worker]; problem.Workers[w].State == "ready" {
			in.present[modelIndex[loaded.Model]][w] = true
			in.unloadAllCost += problem.Prices.Move
		}
	}
	for m := range problem.Models {
		costs := make([]int64, len(problem.Workers))
		for w := range problem.Workers {
			costs[w] = in.memoryCost(m) + in.loadCost(m) + problem.Prices.Move
			if in.present[m][w] { // keeping the copy needs no load and saves its unload, which is in unloadAllCost
				costs[w] = in.memoryCost(m) - problem.Prices.Move
			}
		}
		in.copyCost = append(in.copyCost, costs)
	}
	return in
}

func (in *instance) memoryCost(m int) int64 { return in.Models[m].MemoryMB * in.Prices.Memory / 100 }
func (in *instance) loadCost(m int) int64   { return in.Models[m].LoadMs * in.Prices.Load / 100 }

// unitGain returns the points earned by one mcore of a demand served on a worker.
func (in *instance) unitGain(m, d, w int) int64 {
	gain := in.Models[m].Calls[d].Worth
	if in.demandHall[m][d] != in.hallOf[w] {
		gain -= in.Prices.Cross
	}
	return gain
}

// minCopies returns how many copies a model must have.
func (in *instance) minCopies(m int) int { return int(in.Models[m].MinCopies) }

// maxCopies returns how many copies a model may have.
func (in *instance) maxCopies(m int) int {
	if in.Models[m].MaxCopies == 0 {
		return len(in.Workers)
	}
	return int(in.Models[m].MaxCopies)
}
