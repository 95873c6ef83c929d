package modeler

import (
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/divider"
	"clementineyard/internal/spreader"
	"clementineyard/wire"
)

// retryInterval is the delay before a job without an owner is offered again.
const retryInterval = 20 * time.Millisecond

// submission is what an entry VM does for a job, as taker.Submit does it.
type submission struct {
	m              *Model
	job            *job
	arrived        time.Time
	home           string
	cell           string
	candidates     []string
	rejectIfFull   bool
	mayHaveStarted bool
	ended          bool
}

func (s *submission) submit() {
	s.home = divider.CellName(s.job.domain, divider.CellOf(s.job.id, uint32(s.m.cfg.Load.CellsPerDomain)))
	s.cell, s.rejectIfFull = s.home, true
	s.m.at(s.job.arrived.Add(s.m.cfg.Load.ClientDeadline.Duration), s.leave)
	s.offer()
}

// leave lets the client leave, if it has no answer.
func (s *submission) leave() {
	if s.ended {
		return
	}
	s.end(wire.FleetOutcome_KIND_UNSPECIFIED)
	for _, name := range s.m.names {
		c := s.m.cells[name]
		if c.waiting[s.job.id] == s {
			delete(c.waiting, s.job.id)
			c.perform(c.owner, c.owner.Cancel(s.m.now, s.job.id, "taker", 1, 0))
		}
	}
}

func (s *submission) end(kind wire.FleetOutcome_Kind) {
	s.ended = true
	s.job.answered, s.job.outcome = s.m.now, kind
}

func (s *submission) delayTo(c *cell) time.Duration {
	if c.domain == s.job.domain {
		return sameDomainDelay
	}
	return otherDomainDelay
}

func (s *submission) offer() {
	c := s.m.cells[s.cell]
	s.m.after(s.delayTo(c), func() {
		if s.ended {
			return
		}
		if c.owner == nil {
			s.offerWhenOwned(c)
			return
		}
		q := s.job.queue
		c.waiting[s.job.id] = s
		c.perform(c.owner, c.owner.Submit(s.m.now, &allocator.Job{
			ID: s.job.id, Queue: q.Name, Service: serviceName, Taker: "taker", Incarnation: 1, ArrivedAt: s.arrived, MayHaveStarted: s.mayHaveStarted,
			RejectIfFull: s.rejectIfFull, MaxAttempts: q.MaxAttempts, StretchFactor: q.StretchFactor, TargetLatency: q.TargetLatency.Duration,
			Steps: []allocator.Step{{
				Count: q.Tasks, Ask: allocator.Resources{Millicores: int64(s.job.millicores)}, Estimate: time.Duration(q.EstimateFactor * float64(q.RunTime.Duration)),
			}},
		}))
	})
}

// offerWhenOwned offers the job to a cell once the cell has an owner.
func (s *submission) offerWhenOwned(c *cell) {
	s.m.after(retryInterval, func() {
		switch {
		case s.ended:
		case c.owner == nil:
			s.offerWhenOwned(c)
		default:
			s.offer()
		}
	})
}

// handleAnswer handles the answer of the owner of c.
func (s *submission) handleAnswer(c *cell, ans allocator.Answer) {
	if s.ended {
		return
	}
	switch ans.Kind {
	case wire.FleetOutcome_KIND_NO_ROOM:
		if s.cell == s.home {
			s.candidates = s.m.spreader.Candidates(s.m.now, s.home, ans.Job, s.nearness)
		}
		s.m.spreader.MarkFull(s.m.now, s.cell)
		s.cell = s.home
		if len(s.candidates) > 0 {
			s.cell, s.candidates = s.candidates[0], s.candidates[1:]
		}
		s.rejectIfFull = s.cell != s.home
		s.offer()
	case wire.FleetOutcome_KIND_REFUSED:
		returnsAt := s.m.now.Add(ans.RetryAfter)
		if s.m.cfg.Load.Returns && returnsAt.Before(s.job.arrived.Add(s.m.cfg.Load.ClientDeadline.Duration)) {
			s.ended = true
			s.m.at(returnsAt, func() {
				again := &submission{m: s.m, job: s.job, arrived: s.m.now}
				again.submit()
			})
			return
		}
		s.end(ans.Kind)
	default:
		s.end(ans.Kind)
	}
}

func (s *submission) nearness(name string) spreader.Nearness {
	c := s.m.cells[name]
	switch {
	case c.owner == nil:
		return spreader.Unreachable
	case c.domain == s.job.domain:
		return spreader.SameFailureDomain
	}
	return spreader.OtherFailureDomain
}
