package controller

import (
	"context"
	"log/slog"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// ringSize bounds what waits for the thread. A full ring refuses jobs.
	ringSize = 4096
	// tickEvery bounds how late a lapse, a stop or a look at a worker is noticed.
	tickEvery = 20 * time.Millisecond
	// orderWait is how long a worker may take to answer a start or a stop. Inside a failure domain a round trip takes less
	// than a millisecond; a small VM that is busy takes some tens.
	orderWait = 150 * time.Millisecond
	// holdSlack is what a hold may take beyond the time that the worker was asked to wait.
	holdSlack = 200 * time.Millisecond
	// takerGrace is how long an entry VM may take to connect again. With the time to find a silent connection (0.8 s) and
	// to stop a run it stays below the 1.3 s after which a client asks again elsewhere.
	takerGrace = 250 * time.Millisecond
)

// Orders are the calls to workers. Each returns by the deadline.
type Orders struct {
	Hold  func(o allocator.HoldOrder, fence uint64, deadline time.Time) (allocator.Listing, allocator.Verdict)
	Start func(s allocator.Start, fence uint64, deadline time.Time) allocator.Verdict
	Stop  func(s allocator.Stop, fence uint64, deadline time.Time) allocator.Verdict
}

// Config constructs a Controller.
type Config struct {
	// Name and Incarnation identify this entry VM, FailureDomain where it stands.
	Name          string
	Incarnation   uint64
	FailureDomain string
	Orders        Orders
	// Lease is the longest lease that workers grant, StopWithin how long they take at most to stop a run.
	Lease, StopWithin time.Duration
	Now               func() time.Time
	Log               *slog.Logger
	Count             func(name string, delta int64)
	// Hears reports whether another entry VM is connected.
	Hears func(name string) bool
}

// Controller is safe for concurrent use.
type Controller struct {
	cfg  Config
	ring chan func()

	// The rest belongs to the thread.

	table *registrar.Registrar
	grant *wire.Grant
	a     *allocator.Allocator
	// replies holds who waits for each job's outcome.
	replies map[string][]func(*wire.FleetOutcome)
	// takers holds the current run of each entry VM that sent a job.
	takers map[string]uint64
	// lost holds when the jobs of an entry VM whose connection ended are dropped.
	lost map[string]time.Time
}

// New returns a Controller; Run starts it.
func New(cfg Config) *Controller {
	return &Controller{
		cfg: cfg, ring: make(chan func(), ringSize), table: registrar.New(), replies: map[string][]func(*wire.FleetOutcome){},
		takers: map[string]uint64{}, lost: map[string]time.Time{},
	}
}

// Run is the owner's thread. It returns when the context ends.
func (c *Controller) Run(ctx context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-c.ring:
			f()
		case <-t.C:
			if c.a != nil {
				c.dropLost(c.cfg.Now())
				c.perform(c.a.Tick(c.cfg.Now()))
			}
		}
		c.look()
	}
}

// Report takes in the newest report of a worker.
func (c *Controller) Report(w *wire.WorkerReport) {
	if w.FailureDomain != c.cfg.FailureDomain {
		return
	}
	c.must(func() {
		now := c.cfg.Now()
		if c.table.Report(now, w) && c.a != nil {
			c.perform(c.a.Report(now, w))
		}
	})
}

// Grant takes in the newest grant of the failure domain.
func (c *Controller) Grant(g *wire.Grant) {
	c.must(func() {
		if g.Fence <= c.grant.GetFence() {
			return
		}
		c.depose("a newer grant", g.Fence)
		c.grant = g
		if g.Owner != c.cfg.Name || g.Incarnation != c.cfg.Incarnation {
			return
		}
		now := c.cfg.Now()
		c.a = allocator.New(allocator.Config{Lease: c.cfg.Lease, StopWithin: c.cfg.StopWithin, GrantedAt: now})
		reports := c.table.Since(0)
		c.cfg.Log.Info("This VM owns its failure domain.", "failureDomain", g.FailureDomain, "fence", g.Fence, "workers", len(reports))
		for _, w := range reports {
			c.perform(c.a.Report(now, w))
		}
	})
}

// Submit takes in a job. reply is called once.
func (c *Controller) Submit(j *allocator.Job, fence uint64, reply func(*wire.FleetOutcome)) {
	if !c.put(func() {
		if c.a == nil || fence > c.grant.GetFence() {
			// A taker may know of a grant before its owner does, and the other way round; it tries again.
			reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_MOVED, Fence: c.grant.GetFence()})
			return
		}
		now := c.cfg.Now()
		if before, ok := c.takers[j.Taker]; ok && before != j.Incarnation {
			c.perform(c.a.DropTaker(now, j.Taker, j.Incarnation))
		}
		c.takers[j.Taker] = j.Incarnation
		c.replies[j.ID] = append(c.replies[j.ID], reply)
		c.perform(c.a.Submit(now, j))
	}) {
		reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_REFUSED, RetryAfterMillis: 1000, Reason: "the owner's ring is full"})
	}
}

// Cancel ends a job whose client has left.
func (c *Controller) Cancel(id, taker string, incarnation uint64) {
	c.must(func() {
		if c.a != nil {
			c.perform(c.a.Cancel(c.cfg.Now(), id, taker, incarnation))
		}
	})
}

// Lost notes that an entry VM's connection has ended.
func (c *Controller) Lost(taker string) {
	c.must(func() { c.lost[taker] = c.cfg.Now().Add(takerGrace) })
}

// dropLost drops the jobs of entry VMs that have not connected again: their clients ask again elsewhere, and may reach
// another failure domain.
func (c *Controller) dropLost(now time.Time) {
	for taker, at := range c.lost {
		if now.Before(at) {
			continue
		}
		delete(c.lost, taker)
		if taker != c.cfg.Name && !c.cfg.Hears(taker) {
			c.perform(c.a.DropTaker(now, taker, 0))
		}
	}
}

func (c *Controller) put(f func()) bool {
	select {
	case c.ring <- f:
		return true
	default:
		c.cfg.Log.Warn("Ring of the owner is full.")
		return false
	}
}

// must waits for room: what it carries is not repeated by anyone.
func (c *Controller) must(f func()) { c.ring <- f }

// depose ends this VM's ownership: its jobs go to the next owner, which finds their runs on the workers.
func (c *Controller) depose(why string, by uint64) {
	if c.a == nil {
		return
	}
	jobs := c.a.Unanswered()
	c.cfg.Log.Info("This VM no longer owns its failure domain.", "failureDomain", c.cfg.FailureDomain, "why", why,
		"fence", c.grant.Fence, "newer", by, "jobs", len(jobs))
	c.a = nil
	for id, replies := range c.replies {
		delete(c.replies, id)
		for _, reply := range replies {
			reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_MOVED, Fence: c.grant.Fence})
		}
	}
}

// look sends the looks at workers that are due.
func (c *Controller) look() {
	if c.a == nil {
		return
	}
	a, fence, now := c.a, c.grant.Fence, c.cfg.Now()
	for _, o := range a.Holds(now) {
		go func() {
			l, v := c.cfg.Orders.Hold(o, fence, now.Add(o.Wait+holdSlack))
			c.must(func() {
				if c.a != a {
					return
				}
				if v == allocator.Done {
					c.perform(a.Held(c.cfg.Now(), now, o.Worker.Id, o.Worker.Born, l))
				} else {
					c.perform(a.HoldFailed(c.cfg.Now(), o.Worker.Id, o.Worker.Born, v))
				}
			})
		}()
	}
}

// perform carries out what the allocator asks for.
func (c *Controller) perform(out allocator.Output) {
	a, fence, now := c.a, c.grant.Fence, c.cfg.Now()
	for _, n := range out.Notes {
		c.cfg.Log.Info(n.Text, append(n.Args, "fence", fence)...)
	}
	for _, s := range out.Starts {
		c.cfg.Count("starts", 1)
		c.cfg.Log.Debug("Task is started.", "task", s.Task, "attempt", s.Attempt, "worker", s.Worker.Id, "fence", fence)
		go func() {
			v := c.cfg.Orders.Start(s, fence, now.Add(orderWait))
			c.must(func() {
				if c.a == a {
					c.perform(a.Started(c.cfg.Now(), s, v))
				}
			})
		}()
	}
	for _, s := range out.Stops {
		c.cfg.Count("stops", 1)
		go func() {
			v := c.cfg.Orders.Stop(s, fence, now.Add(orderWait))
			c.must(func() {
				if c.a == a {
					c.perform(a.Stopped(c.cfg.Now(), s, v))
				}
			})
		}()
	}
	for _, ans := range out.Answers {
		c.answer(ans, fence)
	}
	if out.Deposed {
		c.depose("a worker has seen a higher fence", 0)
	}
}

func (c *Controller) answer(ans allocator.Answer, fence uint64) {
	replies := c.replies[ans.Job.ID]
	delete(c.replies, ans.Job.ID)
	level := slog.LevelInfo
	if ans.Kind == wire.FleetOutcome_KIND_NO_ROOM {
		// The taker says where the job went in the end; at a demand peak a job asks several times.
		level = slog.LevelDebug
	}
	c.cfg.Log.Log(context.Background(), level, "Job has ended.", "job", ans.Job.ID, "queue", ans.Job.Queue, "outcome", ans.Kind.String(), "reason", ans.Reason,
		"took", c.cfg.Now().Sub(ans.Job.Arrived), "taker", ans.Job.Taker, "fence", fence)
	for _, reply := range replies {
		reply(&wire.FleetOutcome{Kind: ans.Kind, RetryAfterMillis: ans.RetryAfter.Milliseconds(), Reason: ans.Reason, Fence: fence})
	}
}
