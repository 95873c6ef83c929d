package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/claimer"
	"clementineyard/internal/divider"
	"clementineyard/internal/recoverer"
	"clementineyard/wire"
)

const (
	// mailboxSize bounds the calls that wait for the event loop. Jobs are refused while the mailbox is full.
	mailboxSize = 4096
	// TickInterval bounds how late an expired lease, or a stop or a hold that is due, is noticed.
	TickInterval = 20 * time.Millisecond
	// OrderTimeout is how long a worker may take to answer a start or a stop. A round trip in a failure domain takes
	// less than a millisecond; a small busy VM takes some tens of milliseconds. A start that is answered later goes on, as
	// the worker is then asked for its listing.
	OrderTimeout = 80 * time.Millisecond
	// ProbeTimeout is how long a worker may take to answer a probe. It is shorter, as a probe asks for what is overdue already,
	// and another one follows.
	ProbeTimeout = 40 * time.Millisecond
	// HoldTimeoutMargin is how long a worker may take to answer a hold beyond the delay that the hold permits.
	HoldTimeoutMargin = 200 * time.Millisecond
	// reconnectGracePeriod is how long an entry VM may take to connect again before its jobs are dropped. Together with
	// the time to detect a silent connection (0.8 s) and to stop a run it stays below the 1.3 s after which a client asks
	// again elsewhere.
	reconnectGracePeriod = 250 * time.Millisecond
	// busyRetryAfter is the delay that is advised to clients whose job finds the mailbox full.
	busyRetryAfter = time.Second
	busyReason     = "the owner's ring is full"
)

// Orders holds the functions that call workers. Each returns by the deadline.
type Orders struct {
	Hold  func(o allocator.HoldOrder, fence uint64, deadline time.Time) (allocator.Listing, allocator.Verdict)
	Start func(s allocator.StartOrder, fence uint64, deadline time.Time) allocator.Verdict
	Stop  func(s allocator.StopOrder, fence uint64, deadline time.Time) allocator.Verdict
}

// Config configures a Controller.
type Config struct {
	// Name is this entry VM's name.
	Name string
	// Grant is the grant of the cell under which the controller acts. Another grant needs another Controller.
	Grant  *wire.Grant
	Orders Orders
	// MaxLease is the longest lease that workers grant, and MaxStopTime the longest time that they take to stop a run.
	MaxLease, MaxStopTime time.Duration
	// Memory bounds what jobs take in memory, also those of other cells of this process; nil where nothing does.
	Memory *allocator.JobMemory
	// ForgetRestored is how long a worker that a voter has read from its disk is kept without a sign of life.
	ForgetRestored time.Duration
	// Roster is the roster of the cell that former owners have kept; nil if there is none. ProposeRoster lets the voters agree on
	// another one; nil where owners keep none.
	Roster        *wire.CellRoster
	ProposeRoster func(number uint64, workers []string)
	Now           func() time.Time
	Log           *slog.Logger
	// Count adds delta to a counter.
	Count func(name string, delta int64)
	// Claim makes a claim for this cell and returns its result. It is nil where there are no other cells.
	Claim func(allocator.Claim) allocator.ClaimResult
	// Withdraw ends a claim for this cell.
	Withdraw func(allocator.Claim)
	// Connected reports whether another entry VM is connected.
	Connected func(name string) bool
	// ConfirmedAt returns when the leader of the voters last confirmed the grants that this VM holds.
	ConfirmedAt func() time.Time
	// StateConfirmedAt returns when a voter last confirmed whether the failure domain is evacuated. Evacuated is true if it was
	// when the cell was granted.
	StateConfirmedAt func() time.Time
	Evacuated        bool
	// Failed is called when the controller has ended because of a panic; nil where nobody has to know.
	Failed func()
}

// Controller schedules the jobs and workers of one cell under one grant. It is safe for concurrent use.
type Controller struct {
	cfg     Config
	cell    string
	mailbox chan func()
	// overflow takes the jobs that arrive while the mailbox is full, of which only those go on that are known here.
	overflow chan func()
	// done is closed when the controller has ended.
	done chan struct{}
	// ended is set, under mu, before the mailbox is drained for the last time.
	mu    sync.RWMutex
	ended bool
	// freeMillicores is the allocator's free room as of the last tick.
	freeMillicores atomic.Int64

	// The fields below belong to the event loop.

	allocator *allocator.Allocator
	deposed   bool
	// failed is true after a panic, which may have left the allocator half changed.
	failed bool
	// waiters holds the calls that wait for each job's outcome.
	waiters map[string][]waiter
	// lateJobs holds, for the jobs that were submitted after the owner was deposed, whether no task of theirs was started.
	lateJobs map[string]bool
	// takerIncarnations holds the current incarnation of each entry VM that submitted a job.
	takerIncarnations map[string]uint64
	// dropTakerAt holds when the jobs of each entry VM whose connection ended are dropped.
	dropTakerAt map[string]time.Time
}

// waiter is a call that waits for a job's outcome, for a request that an entry VM has taken.
type waiter struct {
	taker                   string
	incarnation, submission uint64
	reply                   func(*wire.FleetOutcome)
}

// New returns a Controller; Run starts it.
func New(cfg Config) *Controller {
	cell := divider.CellName(cfg.Grant.FailureDomain, cfg.Grant.Cell)
	cfg.Log = cfg.Log.With("cell", cell, "fence", cfg.Grant.Fence)
	claimsFor := cell
	if cfg.Claim == nil {
		claimsFor = ""
	}
	return &Controller{
		cfg: cfg, cell: cell, mailbox: make(chan func(), mailboxSize), overflow: make(chan func(), mailboxSize), done: make(chan struct{}),
		allocator: allocator.New(allocator.Config{
			MaxLease: cfg.MaxLease, MaxStopTime: cfg.MaxStopTime, GrantedAt: cfg.Now(), ConfirmedAt: cfg.ConfirmedAt, StateConfirmedAt: cfg.StateConfirmedAt,
			Evacuated: cfg.Evacuated, Cell: claimsFor, ForgetRestored: cfg.ForgetRestored, Memory: cfg.Memory,
			KeepsRoster: cfg.ProposeRoster != nil && cfg.Grant.KeepsRoster, FormerEnded: cfg.Grant.FormerEnded, Roster: cfg.Roster,
		}),
		waiters: map[string][]waiter{}, lateJobs: map[string]bool{}, takerIncarnations: map[string]uint64{}, dropTakerAt: map[string]time.Time{},
	}
}

// Run is the owner's event loop. It returns when ctx is done or a worker has seen a higher fencing token. Jobs without
// an outcome are then answered as MOVED: the next owner finds their runs on the workers.
func (c *Controller) Run(ctx context.Context) {
	defer c.shutDown()
	t := time.NewTicker(TickInterval)
	defer t.Stop()
	c.cfg.Log.Info("This VM became the owner of a cell.", "cells", c.cfg.Grant.Cells)
	for !c.deposed {
		select {
		case <-ctx.Done():
			return
		case f := <-c.mailbox:
			c.recoverable("an event", f)
		case f := <-c.overflow:
			c.recoverable("an event", f)
		case <-t.C:
			c.recoverable("a tick", c.tick)
		}
		if !c.failed {
			c.recoverable("sending holds", c.sendHolds)
		}
	}
}

// recoverable calls f. After a panic the controller is deposed: it gives no more orders, and another owner reads from the
// workers what runs. Events that wait then are still handled, as they may be jobs that must get an outcome.
func (c *Controller) recoverable(during string, f func()) {
	if recoverer.Call(c.cfg.Log, during, f) != nil {
		c.deposed, c.failed = true, true
	}
}

func (c *Controller) tick() {
	now := c.cfg.Now()
	c.dropLostTakers(now)
	c.perform(c.allocator.Tick(now))
	c.freeMillicores.Store(c.allocator.FreeMillicores(now))
}

// Grant returns the grant under which the controller acts; nil for a nil Controller.
func (c *Controller) Grant() *wire.Grant {
	if c == nil {
		return nil
	}
	return c.cfg.Grant
}

// Room returns the free millicores of the cell as of the last tick.
func (c *Controller) Room() *wire.CellRoom {
	return &wire.CellRoom{Cell: c.cell, Millicores: c.freeMillicores.Load()}
}

// SetEvacuated begins or ends the evacuation of the cell's failure domain.
func (c *Controller) SetEvacuated(evacuated bool) {
	c.enqueue(func() {
		now := c.cfg.Now()
		c.perform(c.allocator.SetEvacuated(now, evacuated))
		c.freeMillicores.Store(c.allocator.FreeMillicores(now))
	})
}

// Report passes on the newest report of a worker. It ignores workers of other cells.
func (c *Controller) Report(w *wire.WorkerReport) {
	g := c.cfg.Grant
	if w.FailureDomain == g.FailureDomain && divider.CellOf(w.Id, g.Cells) == g.Cell {
		c.enqueue(func() { c.perform(c.allocator.Report(c.cfg.Now(), w)) })
	}
}

// Submit queues a job. reply is called once, with the job's outcome.
func (c *Controller) Submit(j *allocator.Job, reply func(*wire.FleetOutcome)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.ended {
		reply(MovedOutcome(c.cfg.Grant, true))
		return
	}
	select {
	case c.mailbox <- func() { c.handleSubmit(j, reply) }:
		return
	default:
	}
	select {
	case c.overflow <- func() { c.refuseUnlessKnown(j, reply) }:
	default:
		c.cfg.Log.Warn("Owner's event queues are full; it gave up the job.", "job", j.ID)
		reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: busyReason})
	}
}

// refuseUnlessKnown refuses a job that arrived while the mailbox was full, unless it may have run or is under way.
func (c *Controller) refuseUnlessKnown(j *allocator.Job, reply func(*wire.FleetOutcome)) {
	if c.deposed || j.MayHaveStarted || c.allocator.Knows(j.ID) {
		c.handleSubmit(j, reply)
		return
	}
	c.cfg.Log.Warn("Owner's event queue is full; it refused the job.", "job", j.ID)
	reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_REFUSED, RetryAfterMillis: busyRetryAfter.Milliseconds(), Reason: busyReason})
}

// Cancel ends a job whose client has disconnected.
func (c *Controller) Cancel(id, taker string, incarnation, submission uint64) {
	c.enqueue(func() {
		// A call that stays open would keep its connection probed.
		c.dropWaiters(id, func(w waiter) bool {
			return w.taker == taker && w.incarnation == incarnation && w.submission == submission
		})
		c.perform(c.allocator.Cancel(c.cfg.Now(), id, taker, incarnation, submission))
	})
}

// JobCancellation is the result of a client's cancellation of a job in this cell.
type JobCancellation int

// The results of a cancellation.
const (
	// JobMoved: this owner is replaced and cannot tell.
	JobMoved JobCancellation = iota
	JobCancelled
	JobNotUnderWay
)

// CancelJob ends a job that its client has cancelled. done is called once.
func (c *Controller) CancelJob(id string, done func(JobCancellation)) {
	if !c.enqueue(func() {
		if c.deposed {
			done(JobMoved)
			return
		}
		out, cancelled := c.allocator.CancelJob(c.cfg.Now(), id)
		c.perform(out)
		if cancelled {
			done(JobCancelled)
		} else {
			done(JobNotUnderWay)
		}
	}) {
		done(JobMoved)
	}
}

// ClaimAgain claims the selected jobs again. They go on meanwhile.
func (c *Controller) ClaimAgain(selected func(id string) bool) {
	c.enqueue(func() { c.perform(c.allocator.ClaimAgain(selected)) })
}

// ClaimDelayed passes on when a register is expected to vouch for the job of a claim.
func (c *Controller) ClaimDelayed(claim allocator.Claim, expectedAt time.Time) {
	c.enqueue(func() { c.perform(c.allocator.HandleClaimDelay(c.cfg.Now(), claim, expectedAt)) })
}

// HandleRoster passes on a roster that the voters have agreed on for this owner.
func (c *Controller) HandleRoster(r *wire.CellRoster) {
	c.enqueue(func() { c.perform(c.allocator.HandleRoster(c.cfg.Now(), r)) })
}

// Survey returns the claims of all jobs of which something may run in the cell, as of an index of the agreed state; ok is false
// while the owner does not know all of them, or has been replaced.
func (c *Controller) Survey(index uint64) (claims []allocator.Claim, ok bool) {
	type result struct {
		claims []allocator.Claim
		ok     bool
	}
	results := make(chan result, 1)
	if !c.enqueue(func() {
		if !c.deposed {
			claims, ok := c.allocator.Survey(c.cfg.Now(), index)
			results <- result{claims, ok}
		}
	}) {
		return nil, false
	}
	select {
	case r := <-results:
		return r.claims, r.ok
	case <-c.done:
		return nil, false
	}
}

// PeerDisconnected records that an entry VM's connection has ended.
func (c *Controller) PeerDisconnected(taker string) {
	c.enqueue(func() { c.dropTakerAt[taker] = c.cfg.Now().Add(reconnectGracePeriod) })
}

// enqueue waits until the mailbox has room for f, as nobody would repeat it. It returns false, and drops f, once the controller
// has ended.
func (c *Controller) enqueue(f func()) bool {
	select {
	case c.mailbox <- f:
		return true
	case <-c.done:
		return false
	}
}

func (c *Controller) handleSubmit(j *allocator.Job, reply func(*wire.FleetOutcome)) {
	w := waiter{j.Taker, j.Incarnation, j.Submission, reply}
	if c.deposed {
		// shutDown answers it.
		c.waiters[j.ID] = append(c.waiters[j.ID], w)
		c.lateJobs[j.ID] = !c.failed && !c.allocator.HasStarted(j.ID)
		return
	}
	now := c.cfg.Now()
	if known, ok := c.takerIncarnations[j.Taker]; ok && known != j.Incarnation {
		c.perform(c.allocator.DropTaker(now, j.Taker, j.Incarnation))
	}
	c.takerIncarnations[j.Taker] = j.Incarnation
	c.waiters[j.ID] = append(c.waiters[j.ID], w)
	c.perform(c.allocator.Submit(now, j))
}

// dropLostTakers drops the jobs of entry VMs that have not connected again in time: their clients ask again elsewhere,
// and may reach another cell.
func (c *Controller) dropLostTakers(now time.Time) {
	for taker, at := range c.dropTakerAt {
		if now.Before(at) {
			continue
		}
		delete(c.dropTakerAt, taker)
		if taker != c.cfg.Name && !c.cfg.Connected(taker) {
			for id := range c.waiters {
				c.dropWaiters(id, func(w waiter) bool { return w.taker == taker })
			}
			c.perform(c.allocator.DropTaker(now, taker, 0))
		}
	}
}

// shutDown answers the jobs that are left. It stops nothing on the workers: the next owner decides on their runs.
func (c *Controller) shutDown() {
	c.deposed = true
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	close(c.done)
	for {
		select {
		case f := <-c.mailbox:
			c.recoverable("an event", f)
			continue
		case f := <-c.overflow:
			c.recoverable("an event", f)
			continue
		default:
		}
		break
	}
	c.cfg.Log.Info("This VM no longer owns the cell.", "jobs", len(c.waiters), "failed", c.failed)
	if c.failed && c.cfg.Failed != nil {
		defer c.cfg.Failed()
	}
	if !c.failed {
		for _, claim := range c.allocator.WithdrawUnstarted(c.cfg.Now()) {
			go c.cfg.Withdraw(claim)
		}
	}
	for id, waiters := range c.waiters {
		// A job that the allocator no longer has may have ended since this owner was deposed. A job with several callers is
		// not said to be unstarted either: two entry VMs that offer it again might choose different cells.
		neverStarted := !c.failed && (c.allocator.NotStarted(id) || c.lateJobs[id]) && len(waiters) == 1
		for _, w := range waiters {
			w.reply(MovedOutcome(c.cfg.Grant, neverStarted))
		}
	}
	c.allocator.ReleaseMemory()
}

// MovedOutcome returns the outcome with which a VM answers that does not own a cell, or no longer owns it. g is the
// grant that it holds for the cell; nil when it holds none. neverStarted states that it has started no task of the job.
func MovedOutcome(g *wire.Grant, neverStarted bool) *wire.FleetOutcome {
	return &wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_MOVED, Fence: g.GetFence(), NeverStarted: neverStarted}
}

// sendHolds sends the holds of workers that are due.
func (c *Controller) sendHolds() {
	now, fence := c.cfg.Now(), c.cfg.Grant.Fence
	for _, o := range c.allocator.DueHolds(now) {
		go func() {
			l, v := allocator.Listing{}, allocator.Unknown
			c.order("a hold", func() { l, v = c.cfg.Orders.Hold(o, fence, now.Add(HoldTimeout(o))) })
			c.enqueue(func() { c.perform(c.allocator.HandleHoldResult(c.cfg.Now(), now, o, l, v)) })
		}()
	}
}

// HoldTimeout returns how long a worker may take to answer a hold or a probe.
func HoldTimeout(o allocator.HoldOrder) time.Duration {
	if o.Probe {
		return ProbeTimeout
	}
	return o.PollTime + HoldTimeoutMargin
}

// order calls a worker or another VM. After a panic the call's result stays unknown.
func (c *Controller) order(during string, call func()) { _ = recoverer.Call(c.cfg.Log, during, call) }

// perform carries out the output of the allocator. A deposed controller gives no more orders.
func (c *Controller) perform(out allocator.Output) {
	if c.deposed {
		return
	}
	fence, now := c.cfg.Grant.Fence, c.cfg.Now()
	for _, n := range out.LogEntries {
		c.cfg.Log.Info(n.Message, n.Args...)
	}
	for _, name := range out.Counts {
		c.cfg.Count(name, 1)
	}
	repeated := 0
	for _, claim := range out.Claims {
		c.cfg.Count("claims", 1)
		wait := time.Duration(0)
		if claim.Confirmed {
			wait = claimer.RepeatAfter(repeated, len(out.Claims))
			repeated++
		}
		go func() {
			time.Sleep(wait)
			r := allocator.ClaimResult{Holder: c.cell}
			c.order("a claim", func() { r = c.cfg.Claim(claim) })
			c.enqueue(func() { c.perform(c.allocator.HandleClaim(c.cfg.Now(), claim, r)) })
		}()
	}
	for _, r := range out.Rosters {
		go c.cfg.ProposeRoster(r.Number, r.Workers)
	}
	for _, claim := range out.Withdrawals {
		go c.cfg.Withdraw(claim)
	}
	for _, s := range out.Starts {
		c.cfg.Count("starts", 1)
		go func() {
			v := allocator.Unknown
			c.order("a start", func() { v = c.cfg.Orders.Start(s, fence, now.Add(OrderTimeout)) })
			c.enqueue(func() { c.perform(c.allocator.HandleStartResult(c.cfg.Now(), s, v)) })
		}()
	}
	for _, s := range out.Stops {
		c.cfg.Count("stops", 1)
		go func() {
			v := allocator.Unknown
			c.order("a stop", func() { v = c.cfg.Orders.Stop(s, fence, now.Add(OrderTimeout)) })
			c.enqueue(func() { c.perform(c.allocator.HandleStopResult(c.cfg.Now(), s, v)) })
		}()
	}
	for _, ans := range out.Answers {
		c.replyOutcome(ans)
	}
	for _, id := range out.Abandoned {
		c.replyAbandoned(id)
	}
	if out.Deposed {
		c.cfg.Log.Info("Worker has seen a higher fencing token; this owner steps down.")
		c.deposed = true
	}
}

// replyAbandoned ends the calls for an abandoned job: a call that stays open would keep its connection probed.
func (c *Controller) replyAbandoned(id string) {
	c.dropWaiters(id, func(waiter) bool { return true })
}

// dropWaiters ends the calls for a job that nobody waits for any more.
func (c *Controller) dropWaiters(id string, gone func(waiter) bool) {
	left := slices.DeleteFunc(c.waiters[id], func(w waiter) bool {
		if !gone(w) {
			return false
		}
		w.reply(&wire.FleetOutcome{Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: "nobody waits for the outcome", Fence: c.cfg.Grant.Fence})
		return true
	})
	if c.waiters[id] = left; len(left) == 0 {
		delete(c.waiters, id)
	}
}

// replyOutcome passes a job's outcome to the calls that wait for it. Only the newest caller may take the job elsewhere.
func (c *Controller) replyOutcome(ans allocator.Answer) {
	waiters := c.waiters[ans.Job.ID]
	delete(c.waiters, ans.Job.ID)
	level := slog.LevelInfo
	if ans.Kind == wire.FleetOutcome_KIND_NO_ROOM {
		// The taker logs the job's final outcome; at peak demand a job asks several cells.
		level = slog.LevelDebug
	}
	c.cfg.Log.Log(context.Background(), level, "Job has ended.", "job", ans.Job.ID, "queue", ans.Job.Queue,
		"outcome", ans.Kind.String(), "reason", ans.Reason, "took", c.cfg.Now().Sub(ans.Job.ArrivedAt), "taker", ans.Job.Taker)
	for i, w := range waiters {
		kind := ans.Kind
		if kind == wire.FleetOutcome_KIND_NO_ROOM && i < len(waiters)-1 {
			// Two entry VMs with NO_ROOM would take the job to two cells, which might both run it.
			kind = wire.FleetOutcome_KIND_GIVEN_UP
		}
		w.reply(&wire.FleetOutcome{
			Kind: kind, NeverStarted: ans.NeverStarted, HeldBy: ans.HeldBy, RetryAfterMillis: ans.RetryAfter.Milliseconds(), Reason: ans.Reason, Fence: c.cfg.Grant.Fence,
		})
	}
}
