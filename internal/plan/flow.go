package plan

// arc is an edge of the flow network; arcs[i^1] is its reverse.
type arc struct {
	to   int32
	room int64
	gain int64
}

// network is a flow network whose best flow is the most gainful one, not the largest.
type network struct {
	arcs []arc
	out  [][]int32 // arcs by node
	far  []int64
	via  []int32
	in   []bool
	line []int32
}

func (n *network) reset(nodes int) {
	n.arcs = n.arcs[:0]
	for len(n.out) < nodes {
		n.out = append(n.out, nil)
	}
	n.out = n.out[:nodes]
	for i := range n.out {
		n.out[i] = n.out[i][:0]
	}
}

func (n *network) join(from, to int, room, gain int64) int {
	i := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), room, gain}, arc{int32(from), 0, -gain})
	n.out[from] = append(n.out[from], int32(i))
	n.out[to] = append(n.out[to], int32(i+1))
	return i
}

const never = -1 << 62

// run sends flow from s to t along the most gainful paths while there is a gain, and returns the sum. Each path is the
// best there is, so the gains only fall and the sum is the optimum. step is called for each path and may end it early,
// which leaves a flow that is possible but not the best; the second result says so.
func (n *network) run(s, t int, step func() bool) (sum int64, whole bool) {
	if len(n.far) < len(n.out) {
		n.far, n.via, n.in = make([]int64, len(n.out)), make([]int32, len(n.out)), make([]bool, len(n.out))
	}
	for {
		if !step() {
			return sum, false
		}
		for i := range n.out {
			n.far[i] = never
		}
		n.far[s] = 0
		n.line = append(n.line[:0], int32(s))
		for head := 0; head < len(n.line); head++ {
			u := n.line[head]
			n.in[u] = false
			for _, i := range n.out[u] {
				if a := &n.arcs[i]; a.room > 0 && n.far[u]+a.gain > n.far[a.to] {
					n.far[a.to], n.via[a.to] = n.far[u]+a.gain, i
					if !n.in[a.to] {
						n.in[a.to] = true
						n.line = append(n.line, a.to)
					}
				}
			}
		}
		if n.far[t] <= 0 {
			return sum, true
		}
		push := int64(1 << 62)
		for v := int32(t); v != int32(s); v = n.arcs[n.via[v]^1].to {
			push = min(push, n.arcs[n.via[v]].room)
		}
		for v := int32(t); v != int32(s); v = n.arcs[n.via[v]^1].to {
			n.arcs[n.via[v]].room -= push
			n.arcs[n.via[v]^1].room += push
		}
		sum += push * n.far[t]
	}
}

// share is work of one demand served by one copy.
type share struct {
	model, demand, worker int
	mcores                int64
}

// fine is the part of a point in which flows reckon, so that a toll below one point a unit counts.
const fine = 4096

// serve finds the best shares for a set of copies: what they serve, less what crosses halls, and less toll for each unit
// at a copy, in parts of a point, where toll is given.
func (in *instance) serve(n *network, open func(m, w int) bool, toll func(m, w int) int64, step func() bool) (gain int64, whole bool, shares func() []share) {
	workers := len(in.Workers)
	type pair struct{ m, w, node int }
	var pairs []pair
	nodes := 2 + workers
	first := make([]int, len(in.Models))
	for m := range in.Models {
		first[m] = nodes
		nodes += len(in.Models[m].Calls)
	}
	for m := range in.Models {
		if len(in.Models[m].Calls) == 0 {
			continue
		}
		for w := range in.Workers {
			if open(m, w) {
				pairs = append(pairs, pair{m, w, nodes})
				nodes++
			}
		}
	}
	n.reset(nodes)
	for w := range in.Workers {
		n.join(2+w, 1, in.cpu[w], 0)
	}
	for m := range in.Models {
		for d, c := range in.Models[m].Calls {
			n.join(0, first[m]+d, c.Mcores, 0)
		}
	}
	type use struct {
		share
		arc int
	}
	var uses []use
	for _, p := range pairs {
		cost := int64(0)
		if toll != nil {
			cost = toll(p.m, p.w)
		}
		n.join(p.node, 2+p.w, in.Models[p.m].Lanes*in.lane[p.w], -cost)
		for d, c := range in.Models[p.m].Calls {
			if g := in.gain(p.m, d, p.w); g > 0 && c.Mcores > 0 {
				uses = append(uses, use{share{p.m, d, p.w, 0}, n.join(first[p.m]+d, p.node, c.Mcores, g*fine)})
			}
		}
	}
	gain, whole = n.run(0, 1, step)
	return gain / fine, whole, func() (list []share) {
		for _, u := range uses {
			if u.mcores = n.arcs[u.arc^1].room; u.mcores > 0 {
				list = append(list, u.share)
			}
		}
		return list
	}
}
