package placer

import "clementineyard/internal/sorter"

// poolKey names the servers of one kind that serve one service; an empty service stands for all of them.
type poolKey struct {
	worker  bool
	service string
}

// member is a server's place in one pool. index is -1 while the server is quarantined.
type member struct {
	server *Server
	pool   *pool
	index  int
}

// pool holds the live servers that can serve a service, least loaded first.
type pool struct {
	heap        *sorter.Heap[*member]
	live        map[*Server]*member
	quarantined int
	// slots and capacity add up the servers that are neither quarantined nor on probation.
	slots    int
	capacity Resources
	running  int
	// foreign counts the slots taken by tasks that are not known here.
	foreign int
	// shapes counts the live servers of each capacity, so that a task that fits none is found without a scan.
	shapes map[Resources]int
}

func newPool() *pool {
	return &pool{
		live:   map[*Server]*member{},
		shapes: map[Resources]int{},
		heap: sorter.New(
			func(a, b *member) bool {
				if a.server.score != b.server.score {
					return a.server.score < b.server.score
				}
				return a.server.tie < b.server.tie
			},
			func(m *member, i int) { m.index = i },
		),
	}
}

func (p *pool) join(sv *Server) {
	m := &member{server: sv, pool: p, index: -1}
	sv.members = append(sv.members, m)
	p.live[sv] = m
	p.shapes[sv.Capacity]++
	p.running += sv.own
	p.foreign += sv.foreign
	if sv.state != quarantined {
		p.heap.Push(m)
	}
	p.count(sv, 1)
}

func (p *pool) leave(m *member) {
	sv := m.server
	p.count(sv, -1)
	if m.index >= 0 {
		p.heap.Remove(m.index)
	}
	delete(p.live, sv)
	p.running -= sv.own
	p.foreign -= sv.foreign
	if p.shapes[sv.Capacity]--; p.shapes[sv.Capacity] == 0 {
		delete(p.shapes, sv.Capacity)
	}
}

// count adds or removes what a server contributes in its present state.
func (p *pool) count(sv *Server, sign int) {
	if sv.state != healthy {
		p.quarantined += sign
		return
	}
	p.slots += sign * sv.limit()
	if sign > 0 {
		p.capacity = p.capacity.plus(sv.Capacity)
	} else {
		p.capacity = p.capacity.minus(sv.Capacity)
	}
}

// quarantineCap is the largest number of servers of the pool that may be quarantined or on probation.
func (p *pool) quarantineCap() int {
	const part, leastServers = 5, 4
	n := len(p.live)
	if n >= leastServers {
		return max(n/part, 1)
	}
	return 0
}

func (p *pool) fitsAny(ask Resources) bool {
	for shape := range p.shapes {
		if ask.fits(shape) {
			return true
		}
	}
	return false
}

// find returns a server that takes the ask: the least loaded one when it fits, else one of the next in heap order. Of
// equally loaded ones it prefers the rack that is used least.
func (p *pool) find(ask Resources, racks map[string]int) *Server {
	// searchNodes bounds the search, so that a decision costs the same with any number of servers.
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
		if best != nil && (sv.score > best.score || (sv.score == best.score && racks[best.Rack] == 0)) {
			continue
		}
		if sv.takes(ask) {
			if best == nil || sv.score < best.score || racks[sv.Rack] < racks[best.Rack] {
				best = sv
			}
			if racks[sv.Rack] == 0 {
				continue
			}
		}
		if !sv.Worker && sv.score >= fullPenalty {
			continue // children score no less, and a backend server's slots do not depend on the ask
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

// largeEnough returns the least loaded of a few workers whose whole capacity takes the ask.
func (p *pool) largeEnough(ask Resources, cursor *int) *Server {
	const steps = 64
	var best *Server
	n := p.heap.Len()
	for range min(steps, n) {
		*cursor++
		sv := p.heap.At(*cursor % n).server
		if sv.state != healthy || sv.reservedFor || !ask.fits(sv.Capacity) {
			continue
		}
		if best == nil || sv.reserved.fraction(sv.Capacity) < best.reserved.fraction(best.Capacity) {
			best = sv
		}
	}
	return best
}

// rove looks at a few more servers from a moving start. It finds, within a bounded number of decisions, a server that
// a large ask fits although many less loaded ones are too small for it.
func (p *pool) rove(ask Resources, cursor *int) *Server {
	const steps = 16
	n := p.heap.Len()
	for range min(steps, n) {
		*cursor++
		if sv := p.heap.At(*cursor % n).server; sv.takes(ask) {
			return sv
		}
	}
	return nil
}
