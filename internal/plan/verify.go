package plan

import "fmt"

// Verify checks a plan against its problem: every limit, every share, the price and the moves. It is written from the
// pages alone and shares nothing with the solver.
func Verify(p *Problem, r *Plan) error {
	if r.Verdict != Optimal && r.Verdict != Best {
		if len(r.Copies)+len(r.Shares)+len(r.Moves) > 0 {
			return fmt.Errorf("half a plan under the verdict %q", r.Verdict)
		}
		return nil
	}
	workers, models := map[string]Worker{}, map[string]Model{}
	for _, w := range p.Workers {
		workers[w.ID] = w
	}
	for _, m := range p.Models {
		models[m.ID] = m
	}
	present, held := map[Copy]bool{}, map[string]int64{}
	for _, k := range p.Present {
		if workers[k.Worker].State == "ready" {
			present[k] = true
			held[k.Worker] += models[k.Model].MemoryMB
		}
	}
	planned, memory, copies, halls := map[Copy]bool{}, map[string]int64{}, map[string]int64{}, map[string]map[string]bool{}
	var price Price
	var loads, fetch int64
	for _, k := range r.Copies {
		m, w := models[k.Model], workers[k.Worker]
		if planned[k] || m.ID == "" || w.State != "ready" {
			return fmt.Errorf("copy of %s at %s", k.Model, k.Worker)
		}
		planned[k] = true
		memory[w.ID] += m.MemoryMB
		copies[m.ID]++
		if halls[m.ID] == nil {
			halls[m.ID] = map[string]bool{}
		}
		halls[m.ID][w.Hall] = true
		price.Memory += m.MemoryMB * p.Prices.Memory / 100
		if !present[k] {
			loads++
			fetch += m.LoadMs
			price.Load += m.LoadMs * p.Prices.Load / 100
			price.Move += p.Prices.Move
		}
	}
	for k := range present {
		if !planned[k] {
			price.Move += p.Prices.Move
		}
	}
	for id, mb := range memory {
		if room := workers[id].MemoryMB * (100 - p.Limits.Headroom) / 100; mb > room {
			return fmt.Errorf("%d MB at %s, %d fit", mb, id, room)
		}
	}
	if l := p.Limits.Loads; l != nil && loads > *l || p.Limits.FetchMs != nil && fetch > *p.Limits.FetchMs {
		return fmt.Errorf("%d loads of %d ms", loads, fetch)
	}
	for _, m := range p.Models {
		spread := m.Halls
		if p.Limits.SurviveHall && len(m.Calls) > 0 && spread < 2 {
			spread = 2
		}
		if copies[m.ID] < m.Least || m.Most > 0 && copies[m.ID] > m.Most || int64(len(halls[m.ID])) < spread {
			return fmt.Errorf("%d copies of %s in %d halls", copies[m.ID], m.ID, len(halls[m.ID]))
		}
		for _, id := range m.Pins {
			if !planned[Copy{m.ID, id}] {
				return fmt.Errorf("%s is not at %s", m.ID, id)
			}
		}
		for _, id := range m.Excludes {
			if planned[Copy{m.ID, id}] {
				return fmt.Errorf("%s is at %s", m.ID, id)
			}
		}
	}
	type demand struct{ model, class, hall string }
	wanted, worth := map[demand]int64{}, map[demand]int64{}
	for _, m := range p.Models {
		for _, d := range m.Calls {
			at := demand{m.ID, d.Class, d.Hall}
			wanted[at] += d.Mcores
			worth[at] = d.Worth
		}
	}
	cpu, lane := map[string]int64{}, map[Copy]int64{}
	for _, s := range r.Shares {
		at, k := demand{s.Model, s.Class, s.Hall}, Copy{s.Model, s.Worker}
		if !planned[k] || s.Mcores <= 0 {
			return fmt.Errorf("%d served of %s at %s", s.Mcores, s.Model, s.Worker)
		}
		cpu[s.Worker] += s.Mcores
		lane[k] += s.Mcores
		if wanted[at] -= s.Mcores; wanted[at] < 0 {
			return fmt.Errorf("more of %v is served than is wanted", at)
		}
		price.Worth += s.Mcores * worth[at]
		if workers[s.Worker].Hall != s.Hall {
			price.Cross += s.Mcores * p.Prices.Cross
		}
	}
	for id, n := range cpu {
		if w := workers[id]; n > w.Cores*w.Speed*10*w.Capacity/100 {
			return fmt.Errorf("%d mcores at %s", n, id)
		}
	}
	for k, n := range lane {
		if n > models[k.Model].Lanes*workers[k.Worker].Speed*10 {
			return fmt.Errorf("%d mcores on the lanes of %s at %s", n, k.Model, k.Worker)
		}
	}
	if price != r.Price || price.Score() != r.Score || r.Score > r.Bound {
		return fmt.Errorf("price %+v, score %d and bound %d are told as %+v, %d", price, price.Score(), r.Bound, r.Price, r.Score)
	}
	for _, m := range r.Moves {
		k := Copy{m.Model, m.Worker}
		switch {
		case m.Do == "unload" && present[k]:
			delete(present, k)
			held[m.Worker] -= models[m.Model].MemoryMB
		case m.Do == "load" && !present[k]:
			present[k] = true
			held[m.Worker] += models[m.Model].MemoryMB
			if w := workers[m.Worker]; held[m.Worker] > w.MemoryMB*(100-p.Limits.Headroom)/100 {
				return fmt.Errorf("%s of %s finds no room at %s", m.Do, m.Model, m.Worker)
			}
		default:
			return fmt.Errorf("%s of %s at %s", m.Do, m.Model, m.Worker)
		}
	}
	if len(present) != len(planned) {
		return fmt.Errorf("the moves end with %d copies, the plan has %d", len(present), len(planned))
	}
	for k := range planned {
		if !present[k] {
			return fmt.Errorf("the moves don't load %s at %s", k.Model, k.Worker)
		}
	}
	return nil
}
