package placer

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/internal/sorter"
)

// forgetAfter is how long a silent server's incarnation is remembered, so that a late announcement of an older one is
// still ignored.
const forgetAfter = 10 * time.Minute

// Placer is the server table of one failure domain. It is not safe for concurrent use.
type Placer struct {
	cfg     Config
	rng     *rand.Rand
	servers map[string]*Server
	pools   map[poolKey]*pool
	// timers holds each server once: at its lease's end, its quarantine's end or when it is forgotten.
	timers *sorter.Heap[timer]
	cursor int
}

type timer struct {
	at     time.Time
	server *Server
}

// Slot is the room that one running task takes.
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

// Announce adds, renews or removes a server. An older incarnation is ignored, and leaving is final for an incarnation:
// announcements are relayed over several paths and one sent before the leaving may arrive after it.
func (p *Placer) Announce(now time.Time, a Announcement) {
	sv := p.servers[a.Name]
	switch {
	case sv == nil:
		sv = &Server{pause: firstQuarantine, smoothed: a.Usage, others: a.Usage}
		p.servers[a.Name] = sv
	case a.Incarnation < sv.Incarnation || (a.Incarnation == sv.Incarnation && sv.Leaving):
		return
	case a.Incarnation > sv.Incarnation:
		p.remove(sv)
		*sv = Server{pause: firstQuarantine, smoothed: a.Usage, others: a.Usage, wake: sv.wake}
	}
	renewed := sv.live && sv.Worker == a.Worker && sv.Slots == a.Slots && sv.Connections == a.Connections &&
		sv.Capacity == a.Capacity && slices.Equal(sv.Services, a.Services)
	if !renewed {
		p.remove(sv)
	}
	sv.Announcement = a
	sv.others = sv.others.mostly(a.Usage.minus(sv.reserved), othersSmoothing)
	sv.smoothed = sv.smoothed.mostly(a.Usage, smoothing)
	p.setForeign(sv, min(sv.foreign, max(a.Running-sv.own, 0)))
	switch {
	case a.Leaving || !now.Before(a.LeaseUntil):
		p.remove(sv)
	case !renewed:
		p.add(sv)
	}
	p.rescore(sv)
	p.wakeAt(sv, a.LeaseUntil)
}

// TakeOver counts what servers last said they run, minus own tasks, as occupied until their next announcement.
func (p *Placer) TakeOver() {
	// The order decides the random ties; sorted names make a run repeatable.
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		sv := p.servers[name]
		p.setForeign(sv, max(sv.foreign, sv.Running-sv.own))
		p.rescore(sv)
	}
}

// Advance ends leases and quarantines that are over, and reports whether a server came back from quarantine.
func (p *Placer) Advance(now time.Time) bool {
	changed := false
	for p.timers.Len() > 0 && !now.Before(p.timers.Top().at) {
		t := p.timers.Pop()
		sv := t.server
		if !t.at.Equal(sv.wake) || p.servers[sv.Name] != sv {
			continue // the server has an earlier entry or is forgotten
		}
		sv.wake = time.Time{}
		switch {
		case sv.live && !now.Before(sv.LeaseUntil):
			p.setForeign(sv, 0)
			p.remove(sv)
		case sv.live && sv.state == quarantined && !now.Before(sv.until):
			p.probe(sv)
			changed = true
		}
		p.rearm(now, sv)
	}
	return changed
}

func (p *Placer) rearm(now time.Time, sv *Server) {
	switch {
	case sv.live && sv.state == quarantined && sv.until.Before(sv.LeaseUntil):
		p.wakeAt(sv, sv.until)
	case sv.live:
		p.wakeAt(sv, sv.LeaseUntil)
	case sv.own > 0 || now.Sub(sv.LeaseUntil) < forgetAfter:
		p.wakeAt(sv, now.Add(forgetAfter))
	default:
		delete(p.servers, sv.Name)
	}
}

// wakeAt arms the server's timer. A later time than the armed one is set when that one fires.
func (p *Placer) wakeAt(sv *Server, at time.Time) {
	if !sv.wake.IsZero() && !at.Before(sv.wake) {
		return
	}
	sv.wake = at
	p.timers.Push(timer{at, sv})
}

// Place takes room for a task on the best server, if any has room.
func (p *Placer) Place(service string, worker bool, ask Resources) (Slot, bool) {
	return p.PlaceApart(service, worker, ask, nil)
}

// PlaceApart is Place for a task of a job. Of equally loaded workers it prefers one whose rack holds the fewest of the
// job's tasks; racks counts these and is updated.
func (p *Placer) PlaceApart(service string, worker bool, ask Resources, racks map[string]int) (Slot, bool) {
	var best *Server
	for _, pl := range p.poolsOf(service, worker) {
		if pl == nil {
			continue
		}
		sv := pl.find(ask, racks)
		if sv == nil && worker {
			sv = pl.rove(ask, &p.cursor)
		}
		if sv != nil && (best == nil || sv.score < best.score) {
			best = sv
		}
	}
	if best == nil {
		return Slot{}, false
	}
	if racks != nil && best.Rack != "" {
		racks[best.Rack]++
	}
	return p.take(best, ask), true
}

// Random returns an evenly chosen live server of a service, or nil.
func (p *Placer) Random(service string, worker bool) *Server {
	n := 0
	pools := p.poolsOf(service, worker)
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

// TakeOn takes room on a given server, if it has any.
func (p *Placer) TakeOn(sv *Server, ask Resources) (Slot, bool) {
	if !sv.live || !sv.takes(ask) {
		return Slot{}, false
	}
	return p.take(sv, ask), true
}

// Reserve keeps a worker that is large enough for the ask free of other work, and returns nil when it finds none.
func (p *Placer) Reserve(service string, ask Resources) *Server {
	for _, pl := range p.poolsOf(service, true) {
		if pl == nil {
			continue
		}
		if sv := pl.largeEnough(ask, &p.cursor); sv != nil {
			sv.reservedFor = true
			p.rescore(sv)
			return sv
		}
	}
	return nil
}

// ReservedFits reports whether the ask now fits the worker that is kept free. A worker that is gone counts as fitting,
// so that the reservation ends.
func (p *Placer) ReservedFits(sv *Server, ask Resources) bool {
	if !sv.live || !sv.reservedFor {
		return true
	}
	sv.reservedFor = false
	fits := sv.takes(ask)
	sv.reservedFor = true
	return fits
}

// Unreserve ends Reserve.
func (p *Placer) Unreserve(sv *Server) {
	sv.reservedFor = false
	p.rescore(sv)
}

func (p *Placer) take(sv *Server, ask Resources) Slot {
	sv.own++
	sv.reserved = sv.reserved.plus(ask)
	for _, m := range sv.members {
		m.pool.running++
	}
	p.rescore(sv)
	return Slot{Server: sv, incarnation: sv.Incarnation, ask: ask, probe: sv.state == probing}
}

// Free gives back the room of a task that ended. A task of an earlier incarnation holds no room any more.
func (p *Placer) Free(now time.Time, s Slot, o Outcome) {
	sv := s.Server
	if sv.Incarnation != s.incarnation {
		return
	}
	sv.own--
	sv.reserved = sv.reserved.minus(s.ask)
	for _, m := range sv.members {
		m.pool.running--
	}
	if o != Ignored && !p.cfg.NoQuarantine {
		p.record(now, sv, s.probe, o == Failed)
	}
	p.rescore(sv)
}

// Abandon ends a task that got no answer. The server may still run it, so its room stays occupied until an announcement
// shows that the server runs no more than the other tasks, or until its lease ends.
func (p *Placer) Abandon(now time.Time, s Slot, o Outcome) {
	p.Free(now, s, o)
	sv := s.Server
	if sv.Incarnation != s.incarnation || !sv.live {
		return
	}
	sv.abandoned = sv.abandoned.plus(s.ask)
	p.setForeign(sv, sv.foreign+1)
	p.rescore(sv)
}

// setForeign changes the number of slots that are taken by tasks of nobody here.
func (p *Placer) setForeign(sv *Server, n int) {
	for _, m := range sv.members {
		m.pool.foreign += n - sv.foreign
	}
	sv.foreign = n
	if n == 0 {
		sv.abandoned = Resources{}
	}
}

// Lookup returns a server by name, nil when it is not live.
func (p *Placer) Lookup(name string) *Server {
	if sv := p.servers[name]; sv != nil && sv.live {
		return sv
	}
	return nil
}

// Known reports whether a live server serves the service.
func (p *Placer) Known(service string, worker bool) bool {
	for _, pl := range p.poolsOf(service, worker) {
		if pl != nil && len(pl.live) > 0 {
			return true
		}
	}
	return false
}

// Fits reports whether the ask fits any live server of the service when that is empty.
func (p *Placer) Fits(service string, worker bool, ask Resources) bool {
	for _, pl := range p.poolsOf(service, worker) {
		if pl != nil && (!worker || pl.fitsAny(ask)) {
			return true
		}
	}
	return false
}

// Room is the number of tasks with this ask that the service's servers run at once beside those that are not known
// here, and the number of all tasks that they run now.
func (p *Placer) Room(service string, worker bool, ask Resources) (slots float64, running int) {
	for _, pl := range p.poolsOf(service, worker) {
		if pl == nil {
			continue
		}
		n := float64(pl.slots - pl.foreign)
		if worker {
			n = min(n, pl.capacity.times(ask))
		}
		slots += n
		running += pl.running
	}
	return slots, running
}

// Quarantined counts the servers that are quarantined or on probation.
func (p *Placer) Quarantined() int {
	n := 0
	for _, sv := range p.servers {
		if sv.live && sv.state != healthy {
			n++
		}
	}
	return n
}

func (p *Placer) poolsOf(service string, worker bool) [2]*pool {
	pools := [2]*pool{p.pools[poolKey{worker, service}]}
	if worker {
		pools[1] = p.pools[poolKey{worker: true}]
	}
	return pools
}

func (p *Placer) add(sv *Server) {
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
		if p.pools[key].live[sv] == nil { // a service named twice counts once
			p.pools[key].join(sv)
		}
	}
	for _, m := range sv.members {
		p.enforceCap(m.pool)
	}
	if sv.state == quarantined {
		p.wakeAt(sv, sv.until)
	}
}

func (p *Placer) remove(sv *Server) {
	if !sv.live {
		return
	}
	sv.live = false
	members := sv.members
	sv.members = nil
	for _, m := range members {
		m.pool.leave(m)
	}
	for _, m := range members {
		p.enforceCap(m.pool)
	}
}

func (p *Placer) rescore(sv *Server) {
	sv.score = sv.load(p.cfg.Load)
	sv.tie = p.rng.Uint32()
	for _, m := range sv.members {
		if m.index >= 0 {
			m.pool.heap.Fix(m.index)
		}
	}
}
