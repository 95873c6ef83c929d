package placer

import "clementineyard/internal/sorter"

// poolKey identifies the pool of one kind of server for one service. An empty service stands for workers that serve
// every service.
type poolKey struct {
	worker  bool
	service string
}

// membership is a server's membership in one pool. heapIndex is -1 while the server is quarantined.
type membership struct {
	server    *Server
	pool      *pool
	heapIndex int
}

// pool holds the live servers that can serve a service, in a heap with the least loaded one first.
type pool struct {
	heap *sorter.Heap[*membership]
	live map[*Server]*membership
	// quarantined counts the servers that are quarantined or on probation.
	quarantined int
	// slots and capacity are sums over the servers that are neither quarantined nor on probation.
	slots    int
	capacity Resources
	running  int
	// untracked counts the slots taken by tasks that this owner does not track.
	untracked int
	// capacities counts the live servers of each capacity, so that a task that fits none of them is detected without
	// a scan of all servers.
	capacities map[Resources]int
}

func newPool() *pool {
	return &pool{
		live:       map[*Server]*membership{},
		capacities: map[Resources]int{},
		heap: sorter.New(
			func(a, b *membership) bool {
				if a.server.score != b.server.score {
					return a.server.score < b.server.score
				}
				return a.server.tieBreak < b.server.tieBreak
			},
			func(m *membership, i int) { m.heapIndex = i },
		),
	}
}

func (p *pool) join(sv *Server) {
	m := &membership{server: sv, pool: p, heapIndex: -1}
	sv.memberships = append(sv.memberships, m)
	p.live[sv] = m
	p.capacities[sv.Capacity]++
	p.running += sv.ownTasks
	p.untracked += sv.untracked
	if sv.state != quarantined {
		p.heap.Push(m)
	}
	p.countServer(sv, 1)
}

func (p *pool) leave(m *membership) {
	sv := m.server
	p.countServer(sv, -1)
	if m.heapIndex >= 0 {
		p.heap.Remove(m.heapIndex)
	}
	delete(p.live, sv)
	p.running -= sv.ownTasks
	p.untracked -= sv.untracked
	if p.capacities[sv.Capacity]--; p.capacities[sv.Capacity] == 0 {
		delete(p.capacities, sv.Capacity)
	}
}

// countServer adds a server to the sums according to its current state, or removes it with sign -1.
func (p *pool) countServer(sv *Server, sign int) {
	if sv.state != healthy {
		p.quarantined += sign
		return
	}
	p.slots += sign * sv.slotLimit()
	if sign > 0 {
		p.capacity = p.capacity.plus(sv.Capacity)
	} else {
		p.capacity = p.capacity.minus(sv.Capacity)
	}
}

// quarantineCap returns the maximum number of the pool's servers that may be quarantined or on probation.
func (p *pool) quarantineCap() int {
	const divisor, minServers = 5, 4
	n := len(p.live)
	if n >= minServers {
		return max(n/divisor, 1)
	}
	return 0
}

// anyFits reports whether the ask fits the whole capacity of any live server.
func (p *pool) anyFits(ask Resources) bool {
	for capacity := range p.capacities {
		if ask.fitsIn(capacity) {
			return true
		}
	}
	return false
}

// find returns a server that can take the ask: the least loaded one if it can, or else one of those that follow it in
// the heap. Of equally loaded servers it prefers one in the rack with the fewest of the job's tasks.
func (p *pool) find(ask Resources, tasksByRack map[string]int) *Server {
	// searchNodes limits the search, so that a decision takes the same time with any number of servers.
	const searchNodes = 24
	var stack [searchNodes + 2]int
	n := p.heap.Len()
	if n == 0 {
		return nil
	}
	depth, best := 1, (*Server)(nil)
	for visited := 0; depth > 0 && visited < searchNodes; visited++ {
		depth--
		i := stack[depth]
		sv := p.heap.At(i).server
		if best != nil && (sv.score > best.score || (sv.score == best.score && tasksByRack[best.Rack] == 0)) {
			continue
		}
		if sv.canTake(ask) {
			if best == nil || sv.score < best.score || tasksByRack[sv.Rack] < tasksByRack[best.Rack] {
				best = sv
			}
			if tasksByRack[sv.Rack] == 0 {
				continue
			}
		}
		if !sv.Worker && sv.score >= fullPenalty {
			continue // the children are no less loaded, and a backend server's free slots do not depend on the ask
		}
		for child := 2*i + 2; child > 2*i; child-- {
			if child < n {
				stack[depth] = child
				depth++
			}
		}
	}
	return best
}

// findLargeEnough returns, of the next few workers after the cursor, the least allocated one whose whole capacity
// fits the ask.
func (p *pool) findLargeEnough(ask Resources, cursor *int) *Server {
	const maxScanned = 64
	var best *Server
	n := p.heap.Len()
	for range min(maxScanned, n) {
		*cursor++
		sv := p.heap.At(*cursor % n).server
		if sv.state != healthy || sv.reserved || !ask.fitsIn(sv.Capacity) {
			continue
		}
		if best == nil || sv.allocated.dominantShare(sv.Capacity) < best.allocated.dominantShare(best.Capacity) {
			best = sv
		}
	}
	return best
}

// scan looks at the next few servers after the cursor. Successive calls continue from there, so that a large ask
// finds, within a bounded number of decisions, a server that it fits although many less loaded ones are too small
// for it.
func (p *pool) scan(ask Resources, cursor *int) *Server {
	const maxScanned = 16
	n := p.heap.Len()
	for range min(maxScanned, n) {
		*cursor++
		if sv := p.heap.At(*cursor % n).server; sv.canTake(ask) {
			return sv
		}
	}
	return nil
}
