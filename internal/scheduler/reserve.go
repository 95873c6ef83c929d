package scheduler

import (
	"time"

	"clementineyard/internal/placer"
)

// reservation keeps one worker free for a large task of a service.
type reservation struct {
	entry  *entry
	server *placer.Server
	until  time.Time
}

// reserve reserves a worker for an entry, unless the service already has a reservation.
func (s *Scheduler) reserve(now time.Time, e *entry) {
	r := &e.svc.reservation
	if r.entry != nil || e.team.quota.Full() {
		return
	}
	if sv := s.placer.Reserve(e.Service, e.ask); sv != nil {
		*r = reservation{e, sv, now.Add(reserveAfter)}
	}
}

func (s *Scheduler) endReservation(svc *service) {
	if svc.reservation.entry != nil {
		s.placer.Unreserve(svc.reservation.server)
		svc.reservation = reservation{}
	}
}

// pickReserved starts the task that holds the reservation when its worker has enough free capacity, and ends a
// reservation that has expired or whose task cannot start any more.
func (s *Scheduler) pickReserved(now time.Time, svc *service) *entry {
	r := &svc.reservation
	if r.entry == nil {
		return nil
	}
	e := r.entry
	startable := e.state == stateQueued && s.canMeetDeadline(now, e) && !e.team.quota.Full() && now.Before(r.until)
	if startable && !s.placer.FitsReserved(r.server, e.ask) {
		return nil
	}
	server := r.server
	s.endReservation(svc)
	if !startable || e.team.queues[e.class].heap.Top().entry != e {
		return nil // the team has a more urgent task
	}
	slot, ok := s.placer.PlaceOn(server, e.ask)
	if !ok {
		return nil
	}
	e.slot = slot
	s.dequeue(e)
	return e
}
