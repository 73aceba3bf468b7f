package plan

import "fmt"

// Verify checks a plan against its problem: every limit, every share, the score and the moves. It is written from the documentation
// alone and doesn't use the solver.
func Verify(problem *Problem, result *Plan) error {
	if result.Verdict != Optimal && result.Verdict != BestFound {
		if len(result.Copies)+len(result.Shares)+len(result.Moves) > 0 {
			return fmt.Errorf("the plan has copies, shares or moves although its verdict is %q", result.Verdict)
		}
		return nil
	}
	workers, models := map[string]Worker{}, map[string]Model{}
	for _, w := range problem.Workers {
		workers[w.ID] = w
	}
	for _, m := range problem.Models {
		models[m.ID] = m
	}
	present, heldMB := map[Copy]bool{}, map[string]int64{}
	for _, loaded := range problem.Present {
		if workers[loaded.Worker].State == "ready" {
			present[loaded] = true
			heldMB[loaded.Worker] += models[loaded.Model].MemoryMB
		}
	}
	planned, memoryMB, copies, halls := map[Copy]bool{}, map[string]int64{}, map[string]int64{}, map[string]map[string]bool{}
	var breakdown Breakdown
	var loads, fetchMs int64
	for _, placed := range result.Copies {
		m, w := models[placed.Model], workers[placed.Worker]
		if planned[placed] || m.ID == "" || w.State != "ready" {
			return fmt.Errorf("copy of model %s on worker %s is repeated, names an unknown model or is on a worker that is not ready",
				placed.Model, placed.Worker)
		}
		planned[placed] = true
		memoryMB[w.ID] += m.MemoryMB
		copies[m.ID]++
		if halls[m.ID] == nil {
			halls[m.ID] = map[string]bool{}
		}
		halls[m.ID][w.Hall] = true
		breakdown.Memory += m.MemoryMB * problem.Prices.Memory / 100
		if !present[placed] {
			loads++
			fetchMs += m.LoadMs
			breakdown.Load += m.LoadMs * problem.Prices.Load / 100
			breakdown.Move += problem.Prices.Move
		}
	}
	for placed := range present {
		if !planned[placed] {
			breakdown.Move += problem.Prices.Move
		}
	}
	for id, mb := range memoryMB {
		if roomMB := workers[id].MemoryMB * (100 - problem.Limits.HeadroomPercent) / 100; mb > roomMB {
			return fmt.Errorf("copies on worker %s need %d MB, %d MB are available", id, mb, roomMB)
		}
	}
	if maxLoads := problem.Limits.Loads; maxLoads != nil && loads > *maxLoads ||
		problem.Limits.FetchMs != nil && fetchMs > *problem.Limits.FetchMs {
		return fmt.Errorf("%d loads that take %d ms exceed limits.loads or limits.fetch_ms", loads, fetchMs)
	}
	for _, m := range problem.Models {
		minHalls := m.MinHalls
		if problem.Limits.SurviveHall && len(m.Calls) > 0 && minHalls < 2 {
			minHalls = 2
		}
		if copies[m.ID] < m.MinCopies || m.MaxCopies > 0 && copies[m.ID] > m.MaxCopies || int64(len(halls[m.ID])) < minHalls {
			return fmt.Errorf("model %s has %d copies in %d halls, which breaks least_copies, most_copies, halls or limits.survive_hall",
				m.ID, copies[m.ID], len(halls[m.ID]))
		}
		for _, id := range m.Pins {
			if !planned[Copy{m.ID, id}] {
				return fmt.Errorf("model %s is pinned to worker %s but has no copy there", m.ID, id)
			}
		}
		for _, id := range m.Excludes {
			if planned[Copy{m.ID, id}] {
				return fmt.Errorf("model %s is excluded from worker %s but has a copy there", m.ID, id)
			}
		}
	}
	type demand struct{ model, class, hall string }
	wanted, worth := map[demand]int64{}, map[demand]int64{}
	for _, m := range problem.Models {
		for _, call := range m.Calls {
			key := demand{m.ID, call.Class, call.Hall}
			wanted[key] += call.Mcores
			worth[key] = call.Worth
		}
	}
	cpuMcores, laneMcores := map[string]int64{}, map[Copy]int64{}
	for _, share := range result.Shares {
		key, placed := demand{share.Model, share.Class, share.Hall}, Copy{share.Model, share.Worker}
		if !planned[placed] || share.Mcores <= 0 {
			return fmt.Errorf("share of %d mcores of model %s on worker %s is not positive or there is no copy",
				share.Mcores, share.Model, share.Worker)
		}
		cpuMcores[share.Worker] += share.Mcores
		laneMcores[placed] += share.Mcores
		if wanted[key] -= share.Mcores; wanted[key] < 0 {
			return fmt.Errorf("the shares of demand %v exceed its work", key)
		}
		breakdown.Worth += share.Mcores * worth[key]
		if workers[share.Worker].Hall != share.Hall {
			breakdown.Cross += share.Mcores * problem.Prices.Cross
		}
	}
	for id, mcores := range cpuMcores {
		if w := workers[id]; mcores > w.Cores*w.SpeedPercent*10*w.CapacityPercent/100 {
			return fmt.Errorf("%d mcores on worker %s are more than its cores can serve", mcores, id)
		}
	}
	for placed, mcores := range laneMcores {
		if mcores > models[placed.Model].Lanes*workers[placed.Worker].SpeedPercent*10 {
			return fmt.Errorf("%d mcores are more than the lanes of model %s on worker %s can serve", mcores, placed.Model, placed.Worker)
		}
	}
	if breakdown != result.Breakdown || breakdown.Score() != result.Score || result.Score > result.Bound {
		return fmt.Errorf("computed price %+v and score %d (bound %d), but the plan has price %+v and score %d", breakdown,
			breakdown.Score(), result.Bound, result.Breakdown, result.Score)
	}
	for _, move := range result.Moves {
		moved := Copy{move.Model, move.Worker}
		switch {
		case move.Do == "unload" && present[moved]:
			delete(present, moved)
			heldMB[move.Worker] -= models[move.Model].MemoryMB
		case move.Do == "load" && !present[moved]:
			present[moved] = true
			heldMB[move.Worker] += models[move.Model].MemoryMB
			if w := workers[move.Worker]; heldMB[move.Worker] > w.MemoryMB*(100-problem.Limits.HeadroomPercent)/100 {
				return fmt.Errorf("%s of model %s on worker %s exceeds the memory of the worker", move.Do, move.Model, move.Worker)
			}
		default:
			return fmt.Errorf("%s of model %s on worker %s does not fit the copies loaded at that point", move.Do, move.Model, move.Worker)
		}
	}
	if len(present) != len(planned) {
		return fmt.Errorf("the moves end with %d copies, the plan has %d", len(present), len(planned))
	}
	for placed := range planned {
		if !present[placed] {
			return fmt.Errorf("the moves don't load %s at %s", placed.Model, placed.Worker)
		}
	}
	return nil
}
