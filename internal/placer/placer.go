package placer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/internal/sorter"
)

// forgetServerAfter is how long a server without a lease is remembered, so that a late announcement of an older
// incarnation is still ignored.
const forgetServerAfter = 10 * time.Minute

// Placer is the server table of one failure domain. It is not safe for concurrent use.
type Placer struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*Server
	pools   map[poolKey]*pool
	// timers holds one valid entry for each server: the end of its lease, the end of its quarantine, or the time at
	// which it is forgotten.
	timers *sorter.Heap[timer]
	// scanCursor is where the next scan of a pool starts.
	scanCursor int
}

// timer is an entry in the timer heap. It is stale unless at equals the server's timerAt.
type timer struct {
	at     time.Time
	server *Server
}

// Slot is the capacity that one running task takes on a server.
type Slot struct {
	Server      *Server
	incarnation uint64
	ask         Resources
	probe       bool
}

// New returns a Placer without servers.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 0)),
		servers: map[string]*Server{},
		pools:   map[poolKey]*pool{},
		timers:  sorter.New(func(a, b timer) bool { return a.at.Before(b.at) }, nil),
	}
}

// Announce adds, renews or removes a server. Older incarnations are ignored, and leaving is final for an
// incarnation: announcements are relayed over several paths, so one that was sent before the server left may arrive
// afterwards.
func (p *Placer) Announce(now time.Time, a Announcement) {
	sv := p.servers[a.Name]
	switch {
	case sv == nil:
		sv = &Server{quarantineFor: initialQuarantine, smoothedUsage: a.Usage, othersUsage: a.Usage}
		p.servers[a.Name] = sv
	case a.Incarnation < sv.Incarnation || (a.Incarnation == sv.Incarnation && sv.Leaving):
		return
	case a.Incarnation > sv.Incarnation:
		p.leavePools(sv)
		*sv = Server{quarantineFor: initialQuarantine, smoothedUsage: a.Usage, othersUsage: a.Usage, timerAt: sv.timerAt}
	}
	renewed := sv.live && sv.Worker == a.Worker && sv.Slots == a.Slots && sv.Connections == a.Connections &&
		sv.Capacity == a.Capacity && slices.Equal(sv.Services, a.Services)
	if !renewed {
		p.leavePools(sv)
	}
	sv.Announcement = a
	sv.othersUsage = sv.othersUsage.smoothedWith(a.Usage.minus(sv.allocated), othersUsageSmoothing)
	sv.smoothedUsage = sv.smoothedUsage.smoothedWith(a.Usage, usageSmoothing)
	p.setUntracked(sv, min(sv.untracked, max(a.Running-sv.ownTasks, 0)))
	switch {
	case a.Leaving || !now.Before(a.LeaseUntil):
		p.leavePools(sv)
	case !renewed:
		p.joinPools(sv)
	}
	p.rescore(sv)
	p.armTimer(sv, a.LeaseUntil)
}

// TakeOver counts the tasks that servers last reported as running, minus the owner's own, as occupied slots until
// each server's next announcement.
func (p *Placer) TakeOver() {
	// The iteration order decides which server gets which random tie break; sorted names make runs reproducible.
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		sv := p.servers[name]
		p.setUntracked(sv, max(sv.untracked, sv.Running-sv.ownTasks))
		p.rescore(sv)
	}
}

// Advance applies the leases and quarantines that have ended, and reports whether a server returned from quarantine.
func (p *Placer) Advance(now time.Time) bool {
	returned := false
	for p.timers.Len() > 0 && !now.Before(p.timers.Top().at) {
		t := p.timers.Pop()
		sv := t.server
		if !t.at.Equal(sv.timerAt) || p.servers[sv.Name] != sv {
			continue // stale: the server has an earlier entry or was forgotten
		}
		sv.timerAt = time.Time{}
		switch {
		case sv.live && !now.Before(sv.LeaseUntil):
			p.setUntracked(sv, 0)
			p.leavePools(sv)
		case sv.live && sv.state == quarantined && !now.Before(sv.quarantinedUntil):
			p.startProbing(sv)
			returned = true
		}
		p.rearmTimer(now, sv)
	}
	return returned
}

// rearmTimer arms the server's timer for its next event, or forgets a server that has been without a lease for long.
func (p *Placer) rearmTimer(now time.Time, sv *Server) {
	switch {
	case sv.live && sv.state == quarantined && sv.quarantinedUntil.Before(sv.LeaseUntil):
		p.armTimer(sv, sv.quarantinedUntil)
	case sv.live:
		p.armTimer(sv, sv.LeaseUntil)
	case sv.ownTasks > 0 || now.Sub(sv.LeaseUntil) < forgetServerAfter:
		p.armTimer(sv, now.Add(forgetServerAfter))
	default:
		delete(p.servers, sv.Name)
	}
}

// armTimer arms the server's timer unless it is already armed for an earlier time. The timer is then rearmed when it
// fires.
func (p *Placer) armTimer(sv *Server, at time.Time) {
	if !sv.timerAt.IsZero() && !at.Before(sv.timerAt) {
		return
	}
	sv.timerAt = at
	p.timers.Push(timer{at, sv})
}

// Place takes a slot for a task on the least loaded server with enough free capacity, if there is one.
func (p *Placer) Place(service string, worker bool, ask Resources) (Slot, bool) {
	return p.PlaceSpread(service, worker, ask, nil)
}

// PlaceSpread is like Place, for a task of a job that is to be spread over racks. Of equally loaded workers it
// prefers one whose rack has the fewest of the job's tasks. tasksByRack counts these tasks and is updated.
func (p *Placer) PlaceSpread(service string, worker bool, ask Resources, tasksByRack map[string]int) (Slot, bool) {
	var best *Server
	for _, pl := range p.poolsFor(service, worker) {
		if pl == nil {
			continue
		}
		sv := pl.find(ask, tasksByRack)
		if sv == nil && worker {
			sv = pl.scan(ask, &p.scanCursor)
		}
		if sv != nil && (best == nil || sv.score < best.score) {
			best = sv
		}
	}
	if best == nil {
		return Slot{}, false
	}
	if tasksByRack != nil && best.Rack != "" {
		tasksByRack[best.Rack]++
	}
	return p.allocate(best, ask), true
}

// RandomServer returns a live server of a service, chosen uniformly at random, or nil when there is none.
func (p *Placer) RandomServer(service string, worker bool) *Server {
	n := 0
	pools := p.poolsFor(service, worker)
	for _, pl := range pools {
		if pl != nil {
			n += pl.heap.Len()
		}
	}
	if n == 0 {
		return nil
	}
	i := p.rng.IntN(n)
	for _, pl := range pools {
		if pl == nil {
			continue
		}
		if i < pl.heap.Len() {
			return pl.heap.At(i).server
		}
		i -= pl.heap.Len()
	}
	return nil
}

// PlaceOn takes a slot on the given server, if it has enough free capacity.
func (p *Placer) PlaceOn(sv *Server, ask Resources) (Slot, bool) {
	if !sv.live || !sv.canTake(ask) {
		return Slot{}, false
	}
	return p.allocate(sv, ask), true
}

// Reserve reserves a worker whose capacity is large enough for the ask, so that it gets no other tasks. It returns
// nil when it finds none.
func (p *Placer) Reserve(service string, ask Resources) *Server {
	for _, pl := range p.poolsFor(service, true) {
		if pl == nil {
			continue
		}
		if sv := pl.findLargeEnough(ask, &p.scanCursor); sv != nil {
			sv.reserved = true
			p.rescore(sv)
			return sv
		}
	}
	return nil
}

// FitsReserved reports whether the ask fits the reserved worker now. It is also true for a worker that is gone, so
// that the reservation ends.
func (p *Placer) FitsReserved(sv *Server, ask Resources) bool {
	if !sv.live || !sv.reserved {
		return true
	}
	sv.reserved = false
	fits := sv.canTake(ask)
	sv.reserved = true
	return fits
}

// Unreserve ends a reservation.
func (p *Placer) Unreserve(sv *Server) {
	sv.reserved = false
	p.rescore(sv)
}

// allocate takes a slot on a server that is known to have capacity for the ask.
func (p *Placer) allocate(sv *Server, ask Resources) Slot {
	sv.ownTasks++
	sv.allocated = sv.allocated.plus(ask)
	for _, m := range sv.memberships {
		m.pool.running++
	}
	p.rescore(sv)
	return Slot{Server: sv, incarnation: sv.Incarnation, ask: ask, probe: sv.state == probing}
}

// Release releases the slot of a task that ended and records the outcome. A slot of an earlier incarnation is already
// free.
func (p *Placer) Release(now time.Time, s Slot, o Outcome) {
	sv := s.Server
	if sv.Incarnation != s.incarnation {
		return
	}
	sv.ownTasks--
	sv.allocated = sv.allocated.minus(s.ask)
	for _, m := range sv.memberships {
		m.pool.running--
	}
	if o != Ignored && !p.cfg.NoQuarantine {
		p.recordResult(now, sv, s.probe, o == Failed)
	}
	p.rescore(sv)
}

// Abandon ends a task that got no answer. The server may still be running it, so its slot stays occupied until an
// announcement shows that the server runs no other tasks than the owner's, or until the server's lease ends.
func (p *Placer) Abandon(now time.Time, s Slot, o Outcome) {
	p.Release(now, s, o)
	sv := s.Server
	if sv.Incarnation != s.incarnation || !sv.live {
		return
	}
	sv.abandoned = sv.abandoned.plus(s.ask)
	p.setUntracked(sv, sv.untracked+1)
	p.rescore(sv)
}

// setUntracked sets the number of slots that are taken by tasks which this owner does not track.
func (p *Placer) setUntracked(sv *Server, n int) {
	for _, m := range sv.memberships {
		m.pool.untracked += n - sv.untracked
	}
	sv.untracked = n
	if n == 0 {
		sv.abandoned = Resources{}
	}
}

// Lookup returns the live server with the given name, or nil.
func (p *Placer) Lookup(name string) *Server {
	if sv := p.servers[name]; sv != nil && sv.live {
		return sv
	}
	return nil
}

// HasServer reports whether any live server serves the service.
func (p *Placer) HasServer(service string, worker bool) bool {
	for _, pl := range p.poolsFor(service, worker) {
		if pl != nil && len(pl.live) > 0 {
			return true
		}
	}
	return false
}

// CanEverFit reports whether the ask would fit any live server of the service if that server were empty.
func (p *Placer) CanEverFit(service string, worker bool, ask Resources) bool {
	for _, pl := range p.poolsFor(service, worker) {
		if pl != nil && (!worker || pl.anyFits(ask)) {
			return true
		}
	}
	return false
}

// Capacity returns the number of tasks with this ask that the service's servers can run at once, not counting the slots
// of untracked tasks, and the number of tracked tasks that they run now.
func (p *Placer) Capacity(service string, worker bool, ask Resources) (slots float64, running int) {
	for _, pl := range p.poolsFor(service, worker) {
		if pl == nil {
			continue
		}
		n := float64(pl.slots - pl.untracked)
		if worker {
			n = min(n, pl.capacity.fitCount(ask))
		}
		slots += n
		running += pl.running
	}
	return slots, running
}

// Quarantined returns the number of servers that are quarantined or on probation.
func (p *Placer) Quarantined() int {
	n := 0
	for _, sv := range p.servers {
		if sv.live && sv.state != healthy {
			n++
		}
	}
	return n
}

// poolsFor returns the pools whose servers can serve the service: its own and, for workers, that of the workers that
// serve every service. Either may be nil.
func (p *Placer) poolsFor(service string, worker bool) [2]*pool {
	pools := [2]*pool{p.pools[poolKey{worker, service}]}
	if worker {
		pools[1] = p.pools[poolKey{worker: true}]
	}
	return pools
}

// joinPools makes a server live and adds it to the pools of its services.
func (p *Placer) joinPools(sv *Server) {
	sv.live = true
	services := sv.Services
	if sv.Worker && len(services) == 0 {
		services = []string{""}
	}
	for _, name := range services {
		key := poolKey{sv.Worker, name}
		if p.pools[key] == nil {
			p.pools[key] = newPool()
		}
		if p.pools[key].live[sv] == nil { // a service may be listed twice
			p.pools[key].join(sv)
		}
	}
	for _, m := range sv.memberships {
		p.enforceQuarantineCap(m.pool)
	}
	if sv.state == quarantined {
		p.armTimer(sv, sv.quarantinedUntil)
	}
}

// leavePools marks a server as no longer live and removes it from its pools.
func (p *Placer) leavePools(sv *Server) {
	if !sv.live {
		return
	}
	sv.live = false
	memberships := sv.memberships
	sv.memberships = nil
	for _, m := range memberships {
		m.pool.leave(m)
	}
	for _, m := range memberships {
		p.enforceQuarantineCap(m.pool)
	}
}

// rescore updates the server's load score and its position in the pools.
func (p *Placer) rescore(sv *Server) {
	sv.score = sv.loadScore(p.cfg.Load)
	sv.tieBreak = p.rng.Uint32()
	for _, m := range sv.memberships {
		if m.heapIndex >= 0 {
			m.pool.heap.Fix(m.heapIndex)
		}
	}
}
