package plan

// arc is an arc of the flow network. The reverse of arcs[i] is arcs[i^1].
type arc struct {
	to       int32
	capacity int64 // remaining
	gain     int64 // per unit of flow
}

// network is a flow network in which the flow with the highest gain is sought, not the largest flow.
type network struct {
	arcs     []arc
	arcsFrom [][]int32 // by node: indexes of its outgoing arcs
	pathGain []int64   // by node: gain of the best path from the source
	lastArc  []int32   // by node: last arc of that path
	queued   []bool    // by node: it is in the queue
	queue    []int32   // nodes whose outgoing arcs have to be examined again
}

// reset removes all arcs and sets the number of nodes.
func (n *network) reset(nodes int) {
	n.arcs = n.arcs[:0]
	for len(n.arcsFrom) < nodes {
		n.arcsFrom = append(n.arcsFrom, nil)
	}
	n.arcsFrom = n.arcsFrom[:nodes]
	for i := range n.arcsFrom {
		n.arcsFrom[i] = n.arcsFrom[i][:0]
	}
}

// addArc adds an arc and its reverse, and returns the index of the arc.
func (n *network) addArc(from, to int, capacity, gain int64) int {
	i := len(n.arcs)
	n.arcs = append(n.arcs, arc{int32(to), capacity, gain}, arc{int32(from), 0, -gain})
	n.arcsFrom[from] = append(n.arcsFrom[from], int32(i))
	n.arcsFrom[to] = append(n.arcsFrom[to], int32(i+1))
	return i
}

const unreachable = -1 << 62

// maximizeGain sends flow along the path of highest gain as long as there is a gain, and returns the sum of the gains. The gains of
// successive paths never rise, so the sum is optimal. spend is called before each path. If it returns false, the flow found so far is
// valid but may not be optimal, and complete is false.
func (n *network) maximizeGain(source, sink int, spend func() bool) (sum int64, complete bool) {
	if len(n.pathGain) < len(n.arcsFrom) {
		n.pathGain, n.lastArc, n.queued = make([]int64, len(n.arcsFrom)), make([]int32, len(n.arcsFrom)), make([]bool, len(n.arcsFrom))
	}
	for {
		if !spend() {
			return sum, false
		}
		for i := range n.arcsFrom {
			n.pathGain[i] = unreachable
		}
		n.pathGain[source] = 0
		n.queue = append(n.queue[:0], int32(source))
		for head := 0; head < len(n.queue); head++ {
			u := n.queue[head]
			n.queued[u] = false
			for _, i := range n.arcsFrom[u] {
				if a := &n.arcs[i]; a.capacity > 0 && n.pathGain[u]+a.gain > n.pathGain[a.to] {
					n.pathGain[a.to], n.lastArc[a.to] = n.pathGain[u]+a.gain, i
					if !n.queued[a.to] {
						n.queued[a.to] = true
						n.queue = append(n.queue, a.to)
					}
				}
			}
		}
		if n.pathGain[sink] <= 0 {
			return sum, true
		}
		amount := int64(1 << 62)
		for v := int32(sink); v != int32(source); v = n.arcs[n.lastArc[v]^1].to {
			amount = min(amount, n.arcs[n.lastArc[v]].capacity)
		}
		for v := int32(sink); v != int32(source); v = n.arcs[n.lastArc[v]^1].to {
			n.arcs[n.lastArc[v]].capacity -= amount
			n.arcs[n.lastArc[v]^1].capacity += amount
		}
		sum += amount * n.pathGain[sink]
	}
}

// share is the part of a demand that one copy serves.
type share struct {
	model, demand, worker int
	mcores                int64
}

// gainScale is the number of units of gain per point in flows, so that costs below one point per mcore count.
const gainScale = 4096

// assignShares finds the shares with the highest gain for the loaded copies. The gain, in points, is the worth of the work served, less
// the cost of serving it in another hall, less unitCost, if it is not nil, for each mcore that a copy serves, in 1/gainScale of a
// point. complete is false if spend ended the search early. shares returns the shares and is valid until the network is used again.
func (in *instance) assignShares(net *network, loaded func(m, w int) bool, unitCost func(m, w int) int64, spend func() bool) (
	gain int64, complete bool, shares func() []share) {
	workers := len(in.Workers)
	type copyNode struct{ m, w, node int }
	var copyNodes []copyNode
	nodes := 2 + workers // 0 is the source, 1 the sink, then the workers, the demands and the copies
	firstDemand := make([]int, len(in.Models))
	for m := range in.Models {
		firstDemand[m] = nodes
		nodes += len(in.Models[m].Calls)
	}
	for m := range in.Models {
		if len(in.Models[m].Calls) == 0 {
			continue
		}
		for w := range in.Workers {
			if loaded(m, w) {
				copyNodes = append(copyNodes, copyNode{m, w, nodes})
				nodes++
			}
		}
	}
	net.reset(nodes)
	for w := range in.Workers {
		net.addArc(2+w, 1, in.cpuMcores[w], 0)
	}
	for m := range in.Models {
		for d, call := range in.Models[m].Calls {
			net.addArc(0, firstDemand[m]+d, call.Mcores, 0)
		}
	}
	type shareArc struct {
		share
		arc int
	}
	var shareArcs []shareArc
	for _, node := range copyNodes {
		cost := int64(0)
		if unitCost != nil {
			cost = unitCost(node.m, node.w)
		}
		net.addArc(node.node, 2+node.w, in.Models[node.m].Lanes*in.laneMcores[node.w], -cost)
		for d, call := range in.Models[node.m].Calls {
			if unitGain := in.unitGain(node.m, d, node.w); unitGain > 0 && call.Mcores > 0 {
				shareArcs = append(shareArcs, shareArc{share{node.m, d, node.w, 0},
					net.addArc(firstDemand[node.m]+d, node.node, call.Mcores, unitGain*gainScale)})
			}
		}
	}
	gain, complete = net.maximizeGain(0, 1, spend)
	return gain / gainScale, complete, func() (list []share) {
		for _, used := range shareArcs {
			if used.mcores = net.arcs[used.arc^1].capacity; used.mcores > 0 {
				list = append(list, used.share)
			}
		}
		return list
	}
}
