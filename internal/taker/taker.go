package taker

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/claimer"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
	"clementineyard/internal/evacuator"
	"clementineyard/internal/messenger"
	"clementineyard/internal/observer"
	"clementineyard/internal/spreader"
	"clementineyard/wire"
)

const (
	// maxConfirmationAge is how long after a voter confirmed the configuration a queue that is not in it is known not to
	// exist.
	maxConfirmationAge = 2 * time.Second
	// confirmTimeout is how long a request waits for the first confirmed configuration. After all VMs have lost power, the
	// voters elect a leader within 0.6 s of the start of the processes, and a client that is refused does not ask again.
	confirmTimeout = 700 * time.Millisecond
	// reportIntervalsKept is for how many report intervals a worker is kept that a voter has read from its disk and that gives
	// no sign of life.
	reportIntervalsKept = 4
)

// Config configures a Taker.
type Config struct {
	// Name is this VM's name: its IP address.
	Name          string
	Incarnation   uint64
	FailureDomain string
	// Millicores is this VM's share of a processor in thousandths of a core; 0 where it is not known.
	Millicores uint32
	// Seeds holds the names of the voters to contact first.
	Seeds []string
	// Resolve returns the address of another VM's messenger.
	Resolve func(name string) string
	Orders  controller.Orders
	// Decode decodes the content of an agreed configuration.
	Decode func(content []byte) (*Configuration, error)
	// Memory bounds what the jobs of the cells that this process owns take in memory; nil where nothing does.
	Memory *allocator.JobMemory
	// MaxLease is the longest lease that workers grant, and MaxStopTime the longest time that they take to stop a run.
	MaxLease, MaxStopTime time.Duration
	// ReportInterval is the interval between two reports of a worker; 0 where none is stated.
	ReportInterval time.Duration
	Now            func() time.Time
	// ResumedAt returns when this process last resumed after a pause, zero before the first; nil where nothing detects that.
	ResumedAt func() time.Time
	Log       *slog.Logger
	Count     func(name string, delta int64)
}

// Taker is the part of an entry VM that submits jobs to owners, and runs the controllers of the cells that this VM
// owns. It is safe for concurrent use.
type Taker struct {
	cfg            Config
	messenger      *messenger.Messenger
	observer       *observer.Observer
	configuration  atomic.Pointer[Configuration]
	stopping       atomic.Bool
	confirmTimeout time.Duration

	mu sync.Mutex
	// confirmed is closed, and replaced, when a voter confirms the state that is held here.
	confirmed chan struct{}
	// ctx is the context of Run, which ends the controllers; nil before Run.
	ctx context.Context
	// grants holds the newest grant of each cell; grantsChanged is closed, and replaced, when one changes.
	grants        map[string]*wire.Grant
	grantsChanged chan struct{}
	// owned holds the controllers of the cells that this VM owns, and cancelOwned the functions that end them, by cell.
	owned       map[string]*controller.Controller
	cancelOwned map[string]context.CancelFunc
	spreader    *spreader.Spreader
	// evacuations holds which failure domains are evacuated.
	evacuations evacuator.Evacuator
	// register holds the claims of owners at this VM. silentUntil holds, by VM, until when no job waits for its answer, as it
	// has not answered one in time. grantedAt holds when this VM was granted cells, by cell.
	register               claimer.Register
	silentUntil, grantedAt map[string]time.Time
	// unreachable holds the registers that have not answered the last claim, and times what follows from the longest lease.
	unreachable map[string]unreachableRegister
	times       claimTimes
	// formerOwners holds the VM that owned a cell before this one was granted it, by cell.
	formerOwners map[string]string
	// learnedAt holds when this VM learned the newest grant of each cell, and agedFence the fence of the last grant under which a
	// register has said that it knows all claims by its age, by cell. stateIndex is that of the agreed state.
	learnedAt  map[string]time.Time
	agedFence  map[string]uint64
	stateIndex uint64
	// rosters holds the roster of each cell of this failure domain, and surveys the newest survey of each cell, by cell.
	rosters map[string]*wire.CellRoster
	surveys map[string]claimer.Survey
	// waiting holds the requests at this VM that wait for the outcome of a job, by the job's id.
	waiting map[string][]*submission
	// peerLostAt holds when the last connection of a peer ended, zero while there is one. rejoinedAt is when an owner of a cell
	// last came back that was out of reach.
	peerLostAt map[string]time.Time
	rejoinedAt time.Time
	// peerIncarnations holds the incarnation of each peer that has connected.
	peerIncarnations map[string]uint64
	// handedOver holds, by cell that this VM no longer owns, whether it knew all claims of which the cell is the register.
	handedOver map[string]bool
	// submissions counts the requests that were submitted.
	submissions atomic.Uint64
	// services holds the services that any configuration has named. Reports of workers of other services are not passed on:
	// they may come from anybody, and nothing may be sent to the addresses in them.
	services map[string]bool
}

// New returns a Taker; Run starts it.
func New(cfg Config) *Taker {
	t := &Taker{
		cfg: cfg, confirmed: make(chan struct{}), confirmTimeout: confirmTimeout, grants: map[string]*wire.Grant{}, grantsChanged: make(chan struct{}), spreader: spreader.New(rand.New(rand.NewPCG(cfg.Incarnation, 0))),
		owned: map[string]*controller.Controller{}, cancelOwned: map[string]context.CancelFunc{}, services: map[string]bool{}, silentUntil: map[string]time.Time{}, grantedAt: map[string]time.Time{}, formerOwners: map[string]string{},
		learnedAt: map[string]time.Time{}, agedFence: map[string]uint64{}, rosters: map[string]*wire.CellRoster{}, surveys: map[string]claimer.Survey{},
		waiting: map[string][]*submission{}, peerLostAt: map[string]time.Time{}, peerIncarnations: map[string]uint64{}, handedOver: map[string]bool{}, unreachable: map[string]unreachableRegister{}, times: newClaimTimes(cfg.MaxLease),
	}
	t.messenger = messenger.New(messenger.Config{
		Now: cfg.Now, Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: t.handleMessage, Log: cfg.Log, PeerDisconnected: t.handlePeerDisconnected,
		PeerConnected: t.handlePeerConnected, Count: cfg.Count,
	})
	t.observer = observer.New(observer.Config{
		Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, Millicores: cfg.Millicores, Seeds: cfg.Seeds, ApplyState: t.applyState,
		Report: t.handleReport, Confirmed: t.announceConfirmation, Rooms: t.ownRooms, HandleRooms: t.recordRooms,
		Surveys: t.ownSurveys, HandleSurveys: t.recordSurveys, Now: cfg.Now, Log: cfg.Log,
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			t.messenger.Call(to, messenger.ControlStream, e, deadline, done)
		},
	})
	return t
}

// Run serves other VMs on ln until ctx is done.
func (t *Taker) Run(ctx context.Context, ln net.Listener) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { t.messenger.Run(ctx, ln) })
	wg.Go(func() { t.observer.Run(ctx) })
	wg.Wait()
}

// AddSeeds adds voters to contact.
func (t *Taker) AddSeeds(names []string) { t.observer.AddSeeds(names) }

// BeginStop begins a planned stop: this VM is no longer ready or eligible as an owner, so that its cells go to other
// entry VMs. It still serves the requests that arrive.
func (t *Taker) BeginStop() {
	t.stopping.Store(true)
	t.observer.SetEligible(false)
}

// OwnsCell reports whether this VM owns a cell.
func (t *Taker) OwnsCell() bool { return len(t.controllers()) > 0 }

// Stopping reports whether a planned stop has begun.
func (t *Taker) Stopping() bool { return t.stopping.Load() }

// Ready reports whether clients may be directed to this VM.
func (t *Taker) Ready() bool {
	return !t.stopping.Load() && t.Configuration() != nil && t.Owner() != ""
}

// Configuration returns the configuration in force; nil until a voter has confirmed one in this incarnation.
func (t *Taker) Configuration() *Configuration {
	if t.observer.ConfirmedAt().IsZero() {
		return nil
	}
	return t.configuration.Load()
}

// AwaitConfiguration returns the configuration in force. It waits for a voter to confirm one after the start of this
// process, and after a pause, in which the one held here may have been replaced: up to confirmTimeout, or until ctx is
// done. After that it returns nil at the start, and the held one after a pause, as a failure domain without voters goes on.
func (t *Taker) AwaitConfiguration(ctx context.Context) *Configuration {
	var resumedAt time.Time
	if t.cfg.ResumedAt != nil {
		resumedAt = t.cfg.ResumedAt()
	}
	if c := t.configurationSince(resumedAt); c != nil {
		return c
	}
	wait := t.confirmTimeout
	if !resumedAt.IsZero() && t.Configuration() != nil {
		wait -= t.cfg.Now().Sub(resumedAt)
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		t.mu.Lock()
		confirmed := t.confirmed
		t.mu.Unlock()
		if c := t.configurationSince(resumedAt); c != nil {
			return c
		}
		select {
		case <-confirmed:
			continue
		case <-timeout.C:
		case <-ctx.Done():
		}
		return t.Configuration()
	}
}

// configurationSince returns the configuration in force if a voter has confirmed it since the given time; nil otherwise.
func (t *Taker) configurationSince(at time.Time) *Configuration {
	if t.observer.ConfirmedAt().Before(at) {
		return nil
	}
	return t.Configuration()
}

// announceConfirmation wakes the requests that wait for a voter to confirm the state that is held here.
func (t *Taker) announceConfirmation() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.confirmed)
	t.confirmed = make(chan struct{})
}

// ConfigurationFresh reports whether the configuration was confirmed as the newest so recently that a queue that is not
// in it does not exist.
func (t *Taker) ConfigurationFresh() bool {
	return t.cfg.Now().Sub(t.observer.ConfirmedAt()) < maxConfirmationAge
}

// applyState adopts a newer agreed state.
func (t *Taker) applyState(s *wire.AgreedState) {
	if held := t.configuration.Load(); s.Config != nil && (held == nil || s.Config.Version > held.Version) {
		c, err := t.cfg.Decode(s.Config.Content)
		if err != nil {
			t.cfg.Log.Error("This VM could not decode the committed configuration.", "version", s.Config.Version, "error", err)
		} else {
			t.configuration.Store(c)
			t.addServices(c)
			t.cfg.Log.Info("This VM applied the configuration.", "version", c.Version, "queues", len(c.Queues), "index", s.Index)
		}
	}
	t.applyEvacuations(s)
	t.applyRosters(s)
	if changed := t.applyGrants(s); len(changed) > 0 {
		go t.claimAgain(changed)
	}
}

// applyGrants adopts newer grants, and returns their cells.
func (t *Taker) applyGrants(s *wire.AgreedState) (changed []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stateIndex = max(t.stateIndex, s.Index)
	for _, g := range s.Grants {
		cell := divider.CellName(g.FailureDomain, g.Cell)
		held := t.grants[cell]
		if held.GetFence() >= g.Fence {
			continue
		}
		t.grants[cell], changed = g, append(changed, cell)
		t.learnedAt[cell] = t.cfg.Now()
		if delete(t.formerOwners, cell); held.GetOwner() != t.cfg.Name && g.Owner == t.cfg.Name {
			t.formerOwners[cell] = held.GetOwner()
		}
		if g.FailureDomain == t.cfg.FailureDomain || t.evacuations.Evacuated(t.cfg.FailureDomain) {
			// The first use of a peer connects to it, so that jobs need not wait for the connection.
			t.messenger.Connected(g.Owner)
		}
		t.cfg.Log.Info("This VM learned the owner of the cell.", "cell", cell, "cells", g.Cells, "owner", g.Owner, "fence", g.Fence, "index", s.Index)
		t.changeOwner(cell, g)
	}
	if len(changed) > 0 {
		close(t.grantsChanged)
		t.grantsChanged = make(chan struct{})
	}
	return changed
}

// changeOwner ends this VM's former ownership of a cell, and starts a controller if the grant names this incarnation.
// The caller holds t.mu.
func (t *Taker) changeOwner(cell string, g *wire.Grant) {
	if cancelFormer := t.cancelOwned[cell]; cancelFormer != nil {
		cancelFormer()
		t.handedOver[cell] = t.registerAge(cell) >= t.times.warmUp
		delete(t.cancelOwned, cell)
		delete(t.owned, cell)
	}
	if g.Owner != t.cfg.Name || g.Incarnation != t.observer.Incarnation() || t.ctx == nil {
		return
	}
	c := controller.New(controller.Config{
		Name: t.cfg.Name, Grant: g, Orders: t.cfg.Orders, MaxLease: t.cfg.MaxLease, MaxStopTime: t.cfg.MaxStopTime, Now: t.cfg.Now,
		Log: t.cfg.Log, Count: t.cfg.Count, Connected: t.messenger.HasInboundStream, ConfirmedAt: t.observer.LeaderConfirmedAt, StateConfirmedAt: t.startsConfirmedAt,
		Evacuated: t.evacuations.Evacuated(g.FailureDomain), Memory: t.cfg.Memory,
		Roster: t.rosterAt(cell, g), ProposeRoster: func(number uint64, workers []string) { t.proposeRoster(g, number, workers) },
		ForgetRestored: reportIntervalsKept * t.cfg.ReportInterval,
		Failed:         t.observer.RenewIncarnation, Claim: func(c allocator.Claim) allocator.ClaimResult { return t.claim(cell, g.Fence, c) },
		Withdraw: func(c allocator.Claim) { t.withdraw(cell, g.Fence, c, "") },
	})
	ctx, cancel := context.WithCancel(t.ctx)
	t.owned[cell], t.cancelOwned[cell], t.grantedAt[cell] = c, cancel, t.cfg.Now()
	go c.Run(ctx)
	go t.surveyCell(ctx, cell, c)
	for _, w := range t.observer.Reports() {
		if t.services[w.Service] {
			c.Report(w)
		}
	}
}

// addServices adds the services that a configuration names, and passes on the reports of their workers that have arrived
// before it. Only applyState calls it.
func (t *Taker) addServices(c *Configuration) {
	added := map[string]bool{}
	t.mu.Lock()
	for _, q := range c.Queues {
		if !t.services[q.Service] {
			t.services[q.Service], added[q.Service] = true, true
		}
	}
	t.mu.Unlock()
	if len(added) == 0 {
		return
	}
	for _, w := range t.observer.Reports() {
		if added[w.Service] {
			t.handleReport(w)
		}
	}
}

// controllers returns the controllers of the cells that this VM owns.
func (t *Taker) controllers() []*controller.Controller {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*controller.Controller, 0, len(t.owned))
	for _, c := range t.owned {
		out = append(out, c)
	}
	return out
}

// ownRooms returns the room of the cells that this VM owns and that have some.
func (t *Taker) ownRooms() []*wire.CellRoom {
	var out []*wire.CellRoom
	for _, c := range t.controllers() {
		if r := c.Room(); r.Millicores > 0 {
			out = append(out, r)
		}
	}
	return out
}

// recordRooms records the room that voters report of cells.
func (t *Taker) recordRooms(rooms []*wire.CellRoom) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.spreader.Record(t.cfg.Now(), rooms)
}

// handleReport passes a worker's report to the controllers of this VM, each of which selects the workers of its cell.
func (t *Taker) handleReport(w *wire.WorkerReport) {
	t.mu.Lock()
	named := t.services[w.Service]
	t.mu.Unlock()
	if !named {
		return
	}
	for _, c := range t.controllers() {
		c.Report(w)
	}
}

// handlePeerConnected records that a peer has connected. One that owns a cell and was out of reach before has claims that this
// VM has not received.
func (t *Taker) handlePeerConnected(peer string, incarnation uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	lostAt, former := t.peerLostAt[peer], t.peerIncarnations[peer]
	t.peerLostAt[peer], t.peerIncarnations[peer] = time.Time{}, incarnation
	// A process that has started again has no claims from before. While the former connection counts as open it was silent.
	interrupted := former == incarnation && (lostAt.IsZero() || now.Sub(lostAt) >= minInterruption)
	if !interrupted {
		return
	}
	for cell, g := range t.grants {
		if g.Owner == peer {
			t.rejoinedAt = now
			t.cfg.Log.Info("Owner of a cell is back; registers here wait for its claims.", "owner", peer, "cell", cell, "lostAt", lostAt)
			return
		}
	}
}

// handlePeerDisconnected tells the controllers of this VM that the connection to a peer has ended.
func (t *Taker) handlePeerDisconnected(peer string) {
	t.mu.Lock()
	t.peerLostAt[peer] = t.cfg.Now()
	t.mu.Unlock()
	for _, c := range t.controllers() {
		c.PeerDisconnected(peer)
	}
}

// handleMessage processes a message from another entry VM.
func (t *Taker) handleMessage(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_FleetJob:
		j, err := controller.DecodeJob(from, b.FleetJob, t.cfg.Now())
		if err != nil {
			t.cfg.Log.Warn("Owner could not decode the job of another entry VM.", "job", b.FleetJob.Id, "from", from, "error", err)
			reply(&wire.Envelope{Body: &wire.Envelope_FleetOutcome{FleetOutcome: &wire.FleetOutcome{
				Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: "the owner cannot decode the job",
			}}})
			return
		}
		t.submitOwned(j, b.FleetJob.Cell, b.FleetJob.Fence, func(o *wire.FleetOutcome) {
			reply(&wire.Envelope{Body: &wire.Envelope_FleetOutcome{FleetOutcome: o}})
		})
	case *wire.Envelope_FleetCancellation:
		c := b.FleetCancellation
		if c.ByClient {
			t.cancelOwnedJob(c, func(r *wire.FleetCancellation) {
				reply(&wire.Envelope{Body: &wire.Envelope_FleetCancellation{FleetCancellation: r}})
			})
			return
		}
		if owned := t.controller(c.Cell); owned != nil {
			owned.Cancel(c.Id, from, c.Incarnation, c.Submission)
		}
		reply(&wire.Envelope{Body: &wire.Envelope_FleetCancellation{FleetCancellation: c}})
	case *wire.Envelope_FleetClaim:
		t.handleClaim(b.FleetClaim, func(r *wire.FleetClaimReply) {
			reply(&wire.Envelope{Body: &wire.Envelope_FleetClaimReply{FleetClaimReply: r}})
		})
	}
}

// controller returns the controller of a cell; nil when this VM does not own the cell.
func (t *Taker) controller(cell string) *controller.Controller {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owned[cell]
}

// submitOwned submits a job to the controller of a cell that this VM owns under the given fencing token, and answers
// MOVED if there is none. A taker may learn of a grant before its owner does, and the other way round; it then offers
// the job again.
func (t *Taker) submitOwned(j *allocator.Job, cell string, fence uint64, reply func(*wire.FleetOutcome)) {
	c := t.controller(cell)
	if c == nil || c.Grant().Fence != fence {
		reply(controller.MovedOutcome(c.Grant(), true))
		return
	}
	c.Submit(j, reply)
}
