package modeler

import (
	"maps"
	"slices"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/controller"
	"clementineyard/internal/imitator"
	"clementineyard/wire"
)

const (
	// sameDomainDelay and otherDomainDelay are the one-way delays between VMs.
	sameDomainDelay  = 200 * time.Microsecond
	otherDomainDelay = 900 * time.Microsecond
	// decisionTime is how long an owner takes to process an event.
	decisionTime = 20 * time.Microsecond
	// successionTime is how long a cell has no owner after its owner was killed.
	successionTime = 500 * time.Millisecond
	// electionTime is how long after a loss of power of all VMs the cells get owners.
	electionTime = 700 * time.Millisecond
	// reportInterval is the interval between two reports of a worker.
	reportInterval = 1500 * time.Millisecond
	// drainTime is how long a worker runs on after it has said that it leaves.
	drainTime   = 3 * time.Second
	maxLease    = time.Second
	maxStopTime = 50 * time.Millisecond
	serviceName = "service"
)

// cell is a cell with its owner; owner is nil while it has none. Each owner has a fence of its own.
type cell struct {
	m       *Model
	name    string
	domain  string
	fence   uint64
	owner   *allocator.Allocator
	workers []*worker
	byID    map[string]*worker
	waiting map[string]*submission
}

// worker is a worker and its disruptions.
type worker struct {
	*imitator.Worker
	report *wire.WorkerReport
	// slowdown times as long take the tasks that start while it is above 1.
	slowdown float64
	// speed divides the run times of all tasks on the worker.
	speed              float64
	failRate, lostRate float64
	dark               bool
	runs               map[string]*taskRun
	polls              []func()
}

// taskRun is a run on a worker, for the account of what was wasted.
type taskRun struct {
	job       *job
	startedAt time.Time
}

// grant gives the cell a new owner, which learns of each worker after reportDelay.
func (c *cell) grant(reportDelay func() time.Duration) {
	c.fence++
	a := allocator.New(allocator.Config{
		MaxLease: maxLease, MaxStopTime: maxStopTime, GrantedAt: c.m.now, Admission: c.m.cfg.Admission, BestFitOnly: c.m.cfg.BestFitOnly,
	})
	c.owner = a
	for _, w := range c.workers {
		if d := reportDelay(); d > 0 {
			c.m.after(d, func() {
				if c.owner == a && !w.dark {
					c.perform(a, a.Report(c.m.now, w.report))
				}
			})
		} else if !w.dark {
			c.perform(a, a.Report(c.m.now, w.report))
		}
	}
	c.tick(a)
}

// lose takes the owner away. The jobs that it had are submitted to the next one.
func (c *cell) lose() {
	if c.owner == nil {
		return
	}
	a := c.owner
	c.owner = nil
	for _, id := range slices.Sorted(maps.Keys(c.waiting)) {
		s := c.waiting[id]
		s.mayHaveStarted = s.mayHaveStarted || !a.NotStarted(id)
		delete(c.waiting, id)
		s.offerWhenOwned(c)
	}
}

func (c *cell) tick(a *allocator.Allocator) {
	if c.owner != a || c.m.now.After(c.m.end) {
		return
	}
	c.perform(a, a.Tick(c.m.now))
	c.m.after(controller.TickInterval, func() { c.tick(a) })
}

// reply lets an owner process a result, unless it has lost the cell.
func (c *cell) reply(a *allocator.Allocator, after time.Duration, process func() allocator.Output) {
	c.m.after(after, func() {
		if c.owner == a {
			c.perform(a, process())
		}
	})
}

// perform carries out the output of an owner.
func (c *cell) perform(a *allocator.Allocator, out allocator.Output) {
	for _, s := range out.Starts {
		c.start(a, s)
	}
	for _, s := range out.Stops {
		w, fence := c.byID[s.Worker.Id], c.fence
		c.m.after(sameDomainDelay, func() {
			if w.dark {
				c.reply(a, controller.OrderTimeout, func() allocator.Output { return a.HandleStopResult(c.m.now, s, allocator.Unknown) })
				return
			}
			v := w.Stop(c.m.now, fence, s.Task, s.Attempt)
			c.m.after(maxStopTime, func() { c.advance(w) })
			c.reply(a, sameDomainDelay, func() allocator.Output { return a.HandleStopResult(c.m.now, s, v) })
		})
	}
	for _, ans := range out.Answers {
		if s := c.waiting[ans.Job.ID]; s != nil {
			delete(c.waiting, ans.Job.ID)
			c.m.after(s.delayTo(c), func() { s.handleAnswer(c, ans) })
		}
	}
	c.m.after(decisionTime, func() {
		if c.owner == a {
			for _, o := range a.DueHolds(c.m.now) {
				c.hold(a, o)
			}
		}
	})
}

func (c *cell) start(a *allocator.Allocator, s allocator.StartOrder) {
	w, fence := c.byID[s.Worker.Id], c.fence
	verdict := func(after time.Duration, v allocator.Verdict) {
		c.reply(a, after, func() allocator.Output { return a.HandleStartResult(c.m.now, s, v) })
	}
	carryOut := func() allocator.Verdict {
		c.m.starts++
		return c.m.startTask(c, w, fence, s)
	}
	c.m.after(sameDomainDelay, func() {
		switch {
		case w.dark:
			verdict(controller.OrderTimeout, allocator.Unknown)
		case c.m.rng.Float64() < c.m.lateRate:
			verdict(controller.OrderTimeout, allocator.Unknown)
			c.m.after(2*time.Second+time.Duration(c.m.rng.Float64()*float64(10*time.Second)), func() { carryOut() })
		case c.m.rng.Float64() < w.lostRate:
			carryOut()
			verdict(controller.OrderTimeout, allocator.Unknown)
		default:
			verdict(sameDomainDelay, carryOut())
		}
	})
}

// hold carries out a hold or a probe. A worker answers when a run ends, or after the poll time.
func (c *cell) hold(a *allocator.Allocator, o allocator.HoldOrder) {
	w, fence, sentAt := c.byID[o.Worker.Id], c.fence, c.m.now
	deadline := sentAt.Add(controller.HoldTimeout(o))
	fail := func() {
		c.m.at(deadline, func() {
			if c.owner == a {
				c.perform(a, a.HandleHoldResult(c.m.now, sentAt, o, allocator.Listing{}, allocator.Unknown))
			}
		})
	}
	c.m.after(sameDomainDelay, func() {
		if w.dark {
			fail()
			return
		}
		answered := false
		answer := func() {
			if answered || w.dark {
				return
			}
			answered = true
			l, v := w.Hold(c.m.now, fence, 0, o.Ack)
			if c.m.rng.Float64() < w.lostRate {
				fail()
				return
			}
			c.reply(a, sameDomainDelay, func() allocator.Output { return a.HandleHoldResult(c.m.now, sentAt, o, l, v) })
		}
		if _, v := w.Hold(c.m.now, fence, o.LeaseEnd, o.Ack); v != allocator.Done || o.PollTime == 0 || !w.MustWait(o.Ack) {
			answer()
			return
		}
		w.polls = append(w.polls, answer)
		c.m.after(o.PollTime, func() {
			if answer(); w.dark && !answered {
				fail()
			}
		})
	})
}

// advance lets the worker's runs end that have, and answers its polls when one has.
func (c *cell) advance(w *worker) {
	if w.dark {
		return
	}
	w.Advance(c.m.now)
	under := map[string]bool{}
	for _, r := range w.Runs() {
		under[r.Task] = true
	}
	ended := false
	for _, name := range slices.Sorted(maps.Keys(w.runs)) {
		r := w.runs[name]
		if !under[name] {
			r.job.coreTime += time.Duration(float64(c.m.now.Sub(r.startedAt)) * float64(r.job.millicores) / 1000)
			delete(w.runs, name)
			ended = true
		}
	}
	if ended {
		polls := w.polls
		w.polls = nil
		for _, answer := range polls {
			answer()
		}
	}
}
