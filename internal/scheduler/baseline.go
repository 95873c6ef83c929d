package scheduler

import (
	"time"

	"clementineyard/internal/placer"
)

// baseline is the policy that measurements compare with: a random server for each task, first in first out, unlimited
// queues, nothing learned.
type baseline struct {
	placer *placer.Placer
	queues map[*placer.Server][]*entry
	// ready lists the servers that may have a task and room.
	ready []*placer.Server
	// homeless waits for a first server.
	homeless []*entry
}

func newBaseline(p *placer.Placer) *baseline {
	return &baseline{placer: p, queues: map[*placer.Server][]*entry{}}
}

func (b *baseline) enqueue(e *entry) {
	e.state = stateQueued
	sv := b.placer.Random(e.Service, e.svc.OnWorkers)
	if sv == nil {
		b.homeless = append(b.homeless, e)
		return
	}
	b.queues[sv] = append(b.queues[sv], e)
	b.wake(sv)
}

func (b *baseline) wake(sv *placer.Server) { b.ready = append(b.ready, sv) }

func (s *Scheduler) nextBaseline(now time.Time) (Start, bool) {
	b := s.baseline
	if len(b.homeless) > 0 {
		waiting := b.homeless
		b.homeless = nil
		for _, e := range waiting {
			if e.state == stateQueued {
				b.enqueue(e)
			}
		}
	}
	for len(b.ready) > 0 {
		sv := b.ready[len(b.ready)-1]
		if e := b.take(now, sv); e != nil {
			e.svc.count(e, -1)
			return s.start(now, e), true
		}
		b.ready = b.ready[:len(b.ready)-1]
	}
	return Start{}, false
}

// take removes the first entry of a server's queue that may start, if the server has room.
func (b *baseline) take(now time.Time, sv *placer.Server) *entry {
	q := b.queues[sv]
	for len(q) > 0 && (q[0].state != stateQueued || now.UnixNano() >= q[0].deadline) {
		q = q[1:]
	}
	b.queues[sv] = q
	if len(q) == 0 {
		delete(b.queues, sv)
		return nil
	}
	slot, ok := b.placer.TakeOn(sv, q[0].ask)
	if !ok {
		return nil
	}
	q[0].slot = slot
	b.queues[sv] = q[1:]
	return q[0]
}
