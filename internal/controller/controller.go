package controller

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/divider"
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
	// Name is this entry VM's name.
	Name string
	// Grant is the grant under which the controller decides, and ends with it.
	Grant  *wire.Grant
	Orders Orders
	// Lease is the longest lease that workers grant, StopWithin how long they take at most to stop a run.
	Lease, StopWithin time.Duration
	Now               func() time.Time
	Log               *slog.Logger
	Count             func(name string, delta int64)
	// Hears reports whether another entry VM is connected.
	Hears func(name string) bool
}

// Controller decides on the workers of one cell under one grant. It is safe for concurrent use.
type Controller struct {
	cfg  Config
	cell string
	ring chan func()
	// done is closed when the controller has ended.
	done chan struct{}
	// ended is set, under the lock, before the ring is emptied for the last time.
	mu    sync.RWMutex
	ended bool
	// room is what the allocator last said of its free room.
	room atomic.Int64

	// The rest belongs to the thread.

	a       *allocator.Allocator
	deposed bool
	// replies holds who waits for each job's outcome.
	replies map[string][]func(*wire.FleetOutcome)
	// late names the jobs that came after the owner was deposed.
	late map[string]bool
	// takers holds the current run of each entry VM that sent a job.
	takers map[string]uint64
	// lost holds when the jobs of an entry VM whose connection ended are dropped.
	lost map[string]time.Time
}

// New returns a Controller; Run starts it.
func New(cfg Config) *Controller {
	cell := divider.Name(cfg.Grant.FailureDomain, cfg.Grant.Cell)
	cfg.Log = cfg.Log.With("cell", cell, "fence", cfg.Grant.Fence)
	return &Controller{
		cfg: cfg, cell: cell, ring: make(chan func(), ringSize), done: make(chan struct{}),
		a:       allocator.New(allocator.Config{Lease: cfg.Lease, StopWithin: cfg.StopWithin, GrantedAt: cfg.Now()}),
		replies: map[string][]func(*wire.FleetOutcome){}, late: map[string]bool{}, takers: map[string]uint64{}, lost: map[string]time.Time{},
	}
}

// Run is the owner's thread. It returns when the context ends or a worker has seen a higher fence. Jobs without an
// outcome are then said to have moved: the next owner finds their runs on the workers.
func (c *Controller) Run(ctx context.Context) {
	defer c.end()
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	c.cfg.Log.Info("This VM owns a cell.", "cells", c.cfg.Grant.Cells)
	for !c.deposed {
		select {
		case <-ctx.Done():
			return
		case f := <-c.ring:
			f()
		case <-t.C:
			now := c.cfg.Now()
			c.dropLost(now)
			c.perform(c.a.Tick(now))
			c.room.Store(c.a.Room(now))
		}
		c.look()
	}
}

// Grant returns the grant under which the controller decides; nil for a nil Controller.
func (c *Controller) Grant() *wire.Grant {
	if c == nil {
		return nil
	}
	return c.cfg.Grant
}

// Room returns the room in the cell as of the last tick.
func (c *Controller) Room() *wire.CellRoom {
	return &wire.CellRoom{Cell: c.cell, Millicores: c.room.Load()}
}

// Report takes in the newest report of a worker. Workers of other cells are left alone.
func (c *Controller) Report(w *wire.WorkerReport) {
	g := c.cfg.Grant
	if w.FailureDomain == g.FailureDomain && divider.Of(w.Id, g.Cells) == g.Cell {
		c.must(func() { c.perform(c.a.Report(c.cfg.Now(), w)) })
	}
}

// Submit takes in a job. reply is called once.
func (c *Controller) Submit(j *allocator.Job, reply func(*wire.FleetOutcome)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.ended {
		reply(Moved(c.cfg.Grant, true))
		return
	}
	select {
	case c.ring <- func() { c.submit(j, reply) }:
	default:
		c.cfg.Log.Warn("Ring of the owner is full; a job is refused.", "job", j.ID)
		reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_REFUSED, RetryAfterMillis: 1000, Reason: "the owner's ring is full"})
	}
}

// Cancel ends a job whose client has left.
func (c *Controller) Cancel(id, taker string, incarnation uint64) {
	c.must(func() { c.perform(c.a.Cancel(c.cfg.Now(), id, taker, incarnation)) })
}

// Lost notes that an entry VM's connection has ended.
func (c *Controller) Lost(taker string) {
	c.must(func() { c.lost[taker] = c.cfg.Now().Add(takerGrace) })
}

// must waits for room: what it carries is not repeated by anyone.
func (c *Controller) must(f func()) {
	select {
	case c.ring <- f:
	case <-c.done:
	}
}

func (c *Controller) submit(j *allocator.Job, reply func(*wire.FleetOutcome)) {
	if c.deposed {
		// The end of the thread answers it.
		c.late[j.ID] = true
		c.replies[j.ID] = append(c.replies[j.ID], reply)
		return
	}
	now := c.cfg.Now()
	if before, ok := c.takers[j.Taker]; ok && before != j.Incarnation {
		c.perform(c.a.DropTaker(now, j.Taker, j.Incarnation))
	}
	c.takers[j.Taker] = j.Incarnation
	c.replies[j.ID] = append(c.replies[j.ID], reply)
	c.perform(c.a.Submit(now, j))
}

// dropLost drops the jobs of entry VMs that have not connected again: their clients ask again elsewhere, and may reach
// another cell.
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

// end answers what is left. Nothing is stopped on the workers: the next owner decides on what runs there.
func (c *Controller) end() {
	c.deposed = true
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	close(c.done)
	for {
		select {
		case f := <-c.ring:
			f()
			continue
		default:
		}
		break
	}
	c.cfg.Log.Info("This VM no longer owns the cell.", "jobs", len(c.replies))
	for id, replies := range c.replies {
		// A job that the allocator no longer has may have ended since this owner was deposed. Two entry VMs that offer one
		// job anew may choose different cells.
		neverStarted := (c.a.Waits(id) || c.late[id]) && len(replies) == 1
		for _, reply := range replies {
			reply(Moved(c.cfg.Grant, neverStarted))
		}
	}
}

// Moved is the answer of a VM that does not own a cell, or no longer. g is the grant that it holds for the cell; nil
// where it holds none. neverStarted says that it has started nothing of the job.
func Moved(g *wire.Grant, neverStarted bool) *wire.FleetOutcome {
	return &wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_MOVED, Fence: g.GetFence(), NeverStarted: neverStarted}
}

// look sends the looks at workers that are due.
func (c *Controller) look() {
	now, fence := c.cfg.Now(), c.cfg.Grant.Fence
	for _, o := range c.a.Holds(now) {
		go func() {
			l, v := c.cfg.Orders.Hold(o, fence, now.Add(o.Wait+holdSlack))
			c.must(func() {
				if v == allocator.Done {
					c.perform(c.a.Held(c.cfg.Now(), now, o.Worker.Id, o.Worker.Born, l))
				} else {
					c.perform(c.a.HoldFailed(c.cfg.Now(), o.Worker.Id, o.Worker.Born, v))
				}
			})
		}()
	}
}

// perform carries out what the allocator asks for. Once the controller is deposed it orders nothing more.
func (c *Controller) perform(out allocator.Output) {
	if c.deposed {
		return
	}
	fence, now := c.cfg.Grant.Fence, c.cfg.Now()
	for _, n := range out.Notes {
		c.cfg.Log.Info(n.Text, n.Args...)
	}
	for _, s := range out.Starts {
		c.cfg.Count("starts", 1)
		go func() {
			v := c.cfg.Orders.Start(s, fence, now.Add(orderWait))
			c.must(func() { c.perform(c.a.Started(c.cfg.Now(), s, v)) })
		}()
	}
	for _, s := range out.Stops {
		c.cfg.Count("stops", 1)
		go func() {
			v := c.cfg.Orders.Stop(s, fence, now.Add(orderWait))
			c.must(func() { c.perform(c.a.Stopped(c.cfg.Now(), s, v)) })
		}()
	}
	for _, ans := range out.Answers {
		c.answer(ans)
	}
	for _, id := range out.Abandoned {
		c.release(id)
	}
	if out.Deposed {
		c.cfg.Log.Info("A worker has seen a higher fence.")
		c.deposed = true
	}
}

// release ends the calls for a job that nobody waits for: a call that stays open has its connection probed.
func (c *Controller) release(id string) {
	for _, reply := range c.replies[id] {
		reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: "nobody waits for the outcome", Fence: c.cfg.Grant.Fence})
	}
	delete(c.replies, id)
}

func (c *Controller) answer(ans allocator.Answer) {
	replies := c.replies[ans.Job.ID]
	delete(c.replies, ans.Job.ID)
	level := slog.LevelInfo
	if ans.Kind == wire.FleetOutcome_KIND_NO_ROOM {
		// The taker says where the job went in the end; at a demand peak a job asks several times.
		level = slog.LevelDebug
	}
	c.cfg.Log.Log(context.Background(), level, "Job has ended.", "job", ans.Job.ID, "queue", ans.Job.Queue,
		"outcome", ans.Kind.String(), "reason", ans.Reason, "took", c.cfg.Now().Sub(ans.Job.Arrived), "taker", ans.Job.Taker)
	for _, reply := range replies {
		reply(&wire.FleetOutcome{
			Kind: ans.Kind, RetryAfterMillis: ans.RetryAfter.Milliseconds(), Reason: ans.Reason, Fence: c.cfg.Grant.Fence,
		})
	}
}
