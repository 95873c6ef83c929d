package admitter

import (
	"math"
	"time"
)

// dimension is by what shares are compared.
type dimension int

const (
	byQueue dimension = iota
	byOrigin
	byAccount
)

type shareKey struct {
	dimension     dimension
	service, name string
}

// share counts the jobs that were served and refused, fading with time.
type share struct {
	served, refused float64
	at              time.Time
}

func (s *share) fade(now time.Time, memory time.Duration) {
	if d := now.Sub(s.at); d > 0 && !s.at.IsZero() {
		f := math.Exp(-d.Seconds() / memory.Seconds())
		s.served, s.refused = s.served*f, s.refused*f
	}
	s.at = now
}

func (s *share) add(served bool) {
	if served {
		s.served++
	} else {
		s.refused++
	}
}

// part returns the part of the jobs that was served; 1 if there were none.
func (s *share) part() float64 {
	if n := s.served + s.refused; n > 0 {
		return s.served / n
	}
	return 1
}

func shareKeys(j *Job) [3]shareKey {
	return [3]shareKey{{byQueue, j.Service, j.Queue}, {byOrigin, j.Service, j.Origin}, {byAccount, j.Service, j.Account}}
}

// Record records that a job has started in the cell, or was refused there. A job that goes to another cell counts there.
func (a *Admitter) Record(now time.Time, j *Job, served bool) {
	if !a.Active(j.Service) {
		return
	}
	total := &a.services[j.Service].total
	total.fade(now, a.cfg.ShareMemory)
	total.add(served)
	for _, k := range shareKeys(j) {
		if k.dimension != byQueue && k.name == "" {
			continue
		}
		s := a.shares[k]
		if s == nil {
			if len(a.shares) >= maxShares {
				a.dropOldestShare()
			}
			s = &share{}
			a.shares[k] = s
		}
		s.fade(now, a.cfg.ShareMemory)
		s.add(served)
	}
}

// maxShares bounds the accounts that are kept, as clients choose the names of theirs.
const maxShares = 1000

func (a *Admitter) dropOldestShare() {
	var oldest shareKey
	var at time.Time
	for k, s := range a.shares {
		if at.IsZero() || s.at.Before(at) || s.at.Equal(at) && k.name < oldest.name {
			oldest, at = k, s.at
		}
	}
	delete(a.shares, oldest)
}

// lag returns by how much the served share of the job's queue, origin or account is below that of all jobs of its service; negative where it
// is above. The most lagging one decides, and otherwise the queue.
func (a *Admitter) lag(now time.Time, j *Job) float64 {
	s := a.services[j.Service]
	if s == nil {
		return 0
	}
	mean, lag := s.total.part(), 0.0
	for _, k := range shareKeys(j) {
		own := a.shares[k]
		if own == nil {
			continue
		}
		own.fade(now, a.cfg.ShareMemory)
		if own.served+own.refused < a.cfg.MinJobs {
			continue
		}
		l := mean - own.part()
		if k.dimension == byQueue {
			l += a.lead(j)
		}
		if k.dimension == byQueue || l > lag {
			lag = l
		}
	}
	return lag
}

// lead returns by how much the served share of the job's queue is to exceed the mean: more for urgent queues, and nothing
// where no job is refused.
func (a *Admitter) lead(j *Job) float64 {
	s := a.services[j.Service]
	if s == nil || s.total.refused < 1 {
		return 0
	}
	above, below := 0, 0
	for _, q := range s.queues {
		switch {
		case q.priority > j.Priority:
			below++
		case q.priority < j.Priority:
			above++
		}
	}
	return a.cfg.PriorityLead * float64(below-above) / 2
}
