package scheduler

import (
	"time"

	"clementineyard/wire"
)

// Scheduler admits, orders and places the tasks of one failure domain. It is not safe for concurrent use.
type Scheduler struct {
	cfg      Config
	services map[string]*Service
	servers  map[string]*server
	queue    []Task
	running  map[uint64]*server
}

type server struct {
	Announcement
	busy int
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		services: map[string]*Service{},
		servers:  map[string]*server{},
		running:  map[uint64]*server{},
	}
}

// Configure replaces the services in force.
func (s *Scheduler) Configure(services []Service) {
	s.services = make(map[string]*Service, len(services))
	for i := range services {
		s.services[services[i].Name] = &services[i]
	}
}

// Announce adds, renews or removes a server.
func (s *Scheduler) Announce(_ time.Time, a Announcement) {
	sv := s.servers[a.Name]
	if sv == nil {
		sv = &server{}
		s.servers[a.Name] = sv
	}
	sv.Announcement = a
}

// Admit queues all tasks or none of them.
func (s *Scheduler) Admit(_ time.Time, tasks []Task) *Refusal {
	for i := range tasks {
		if s.services[tasks[i].Service] == nil {
			return &Refusal{Reason: wire.Reason_REASON_UNKNOWN_SERVICE}
		}
	}
	s.queue = append(s.queue, tasks...)
	return nil
}

// Release lets a held task start.
func (s *Scheduler) Release(id uint64) {
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue[i].Held = false
		}
	}
}

// NonIdempotent reports whether a task is marked so.
func (s *Scheduler) NonIdempotent(service, task string) bool {
	sv := s.services[service]
	if sv == nil {
		return false
	}
	for _, t := range sv.Tasks {
		if t.Name == task {
			return t.NonIdempotent
		}
	}
	return false
}

// Next returns the next start, if a task may start now.
func (s *Scheduler) Next(now time.Time) (Start, bool) {
	for i, t := range s.queue {
		if t.Held {
			continue
		}
		for _, sv := range s.servers {
			if sv.busy >= sv.Slots || sv.Leaving || now.After(sv.LeaseUntil) {
				continue
			}
			sv.busy++
			s.running[t.ID] = sv
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return Start{Task: t, Server: sv.Name, Address: sv.Address}, true
		}
	}
	return Start{}, false
}

// Finish frees the slot of a started task.
func (s *Scheduler) Finish(_ time.Time, id uint64, _ Result) {
	if sv := s.running[id]; sv != nil {
		sv.busy--
		delete(s.running, id)
	}
}

// Requeue puts a started task that provably did not run back at the head of the queue, if its retry budget allows.
func (s *Scheduler) Requeue(_ time.Time, t Task) bool {
	s.queue = append([]Task{t}, s.queue...)
	return true
}

// Cancel removes a queued task; a running one is only reported.
func (s *Scheduler) Cancel(_ time.Time, id uint64) CancelState {
	if s.running[id] != nil {
		return CancelRunning
	}
	for i := range s.queue {
		if s.queue[i].ID == id {
			s.queue = append(s.queue[:i:i], s.queue[i+1:]...)
			return CancelledQueued
		}
	}
	return CancelUnknown
}

// Expire removes and returns the queued tasks that can no longer start in time.
func (s *Scheduler) Expire(now time.Time) []Expired {
	var out []Expired
	kept := s.queue[:0]
	for _, t := range s.queue {
		if now.After(t.Deadline) {
			out = append(out, Expired{ID: t.ID, Reason: wire.Reason_REASON_DEADLINE_PASSED})
			continue
		}
		kept = append(kept, t)
	}
	s.queue = kept
	return out
}

// Expired is a queued task that was removed without being started.
type Expired struct {
	ID     uint64
	Reason wire.Reason
}
