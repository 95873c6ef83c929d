package scheduler

import (
	"time"

	"clementineyard/internal/placer"
)

// baseline is the policy that measurements compare with: a random server for each task, first in first out, with
// unlimited queues and no learning.
type baseline struct {
	placer *placer.Placer
	// queues holds the waiting tasks of each server in order of arrival.
	queues map[*placer.Server][]*entry
	// readyServers lists the servers that may have a waiting task and a free slot. It may name a server more than
	// once.
	readyServers []*placer.Server
	// unassigned holds the tasks that arrived while their service had no server.
	unassigned []*entry
}

func newBaseline(p *placer.Placer) *baseline {
	return &baseline{placer: p, queues: map[*placer.Server][]*entry{}}
}

// enqueue appends an entry to the queue of a random server of its service.
func (b *baseline) enqueue(e *entry) {
	e.state = stateQueued
	sv := b.placer.RandomServer(e.Service, e.svc.OnWorkers)
	if sv == nil {
		b.unassigned = append(b.unassigned, e)
		return
	}
	b.queues[sv] = append(b.queues[sv], e)
	b.markReady(sv)
}

// markReady marks a server as a candidate for the next start.
func (b *baseline) markReady(sv *placer.Server) { b.readyServers = append(b.readyServers, sv) }

func (s *Scheduler) nextBaseline(now time.Time) (Start, bool) {
	b := s.baseline
	if len(b.unassigned) > 0 {
		pending := b.unassigned
		b.unassigned = nil
		for _, e := range pending {
			if e.state == stateQueued {
				b.enqueue(e)
			}
		}
	}
	for len(b.readyServers) > 0 {
		sv := b.readyServers[len(b.readyServers)-1]
		if e := b.takeNext(now, sv); e != nil {
			e.svc.countWaiting(e, -1)
			return s.start(now, e), true
		}
		b.readyServers = b.readyServers[:len(b.readyServers)-1]
	}
	return Start{}, false
}

// takeNext removes the first entry of a server's queue that may start, if the server has capacity for it.
func (b *baseline) takeNext(now time.Time, sv *placer.Server) *entry {
	q := b.queues[sv]
	for len(q) > 0 && (q[0].state != stateQueued || now.UnixNano() >= q[0].deadline) {
		q = q[1:]
	}
	b.queues[sv] = q
	if len(q) == 0 {
		delete(b.queues, sv)
		return nil
	}
	slot, ok := b.placer.PlaceOn(sv, q[0].ask)
	if !ok {
		return nil
	}
	q[0].slot = slot
	b.queues[sv] = q[1:]
	return q[0]
}
