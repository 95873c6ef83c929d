package taker

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/internal/controller"
	"clementineyard/internal/divider"
	"clementineyard/internal/messenger"
	"clementineyard/internal/observer"
	"clementineyard/wire"
)

const (
	// freshFor is how long after a voter confirmed the configuration a queue that it does not name is known not to exist.
	freshFor = 2 * time.Second
	// confirmWait is how long a request waits for the first configuration. After a loss of power of all VMs the voters have
	// a leader 0.6 s after the processes start, and a client that is refused does not ask again.
	confirmWait = 700 * time.Millisecond
)

// Config constructs a Taker.
type Config struct {
	// Name is this VM's name: its IP address.
	Name          string
	Incarnation   uint64
	FailureDomain string
	// Seeds names voters to begin with.
	Seeds []string
	// Resolve returns the address of another VM's messenger.
	Resolve func(name string) string
	Orders  controller.Orders
	// Decode reads a configuration's content.
	Decode            func(content []byte) (*Configuration, error)
	Lease, StopWithin time.Duration
	Now               func() time.Time
	Log               *slog.Logger
	Count             func(name string, delta int64)
}

// Taker is safe for concurrent use.
type Taker struct {
	cfg       Config
	messenger *messenger.Messenger
	observer  *observer.Observer
	current   atomic.Pointer[Configuration]
	stopping  atomic.Bool
	// confirmed is closed when a voter has confirmed the state held here for the first time.
	confirmed   chan struct{}
	confirmWait time.Duration

	mu sync.Mutex
	// ctx ends the controllers; nil before Run.
	ctx context.Context
	// grants holds the newest grant of each cell; changed is closed when one changes.
	grants  map[string]*wire.Grant
	changed chan struct{}
	// owned holds the controllers of the cells that this VM owns, and end what ends each.
	owned map[string]*controller.Controller
	end   map[string]context.CancelFunc
	// rooms holds what was heard of other cells' room.
	rooms map[string]room
}

// room is how many millicores a cell had free when it was heard.
type room struct {
	millicores int64
	heardAt    time.Time
}

// New returns a Taker; Run starts it.
func New(cfg Config) *Taker {
	t := &Taker{
		cfg: cfg, confirmed: make(chan struct{}), confirmWait: confirmWait, grants: map[string]*wire.Grant{}, changed: make(chan struct{}), rooms: map[string]room{},
		owned: map[string]*controller.Controller{}, end: map[string]context.CancelFunc{},
	}
	t.messenger = messenger.New(messenger.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: t.handle, Log: cfg.Log, Lost: t.lost,
	})
	t.observer = observer.New(observer.Config{
		Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, Seeds: cfg.Seeds, Apply: t.apply,
		Report: t.report, Confirmed: func() { close(t.confirmed) }, Rooms: t.ownRooms, Heard: t.heardRooms, Now: cfg.Now, Log: cfg.Log,
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			t.messenger.Call(to, messenger.Control, e, deadline, done)
		},
	})
	return t
}

// Run serves other VMs on ln until the context ends.
func (t *Taker) Run(ctx context.Context, ln net.Listener) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { t.messenger.Run(ctx, ln) })
	wg.Go(func() { t.observer.Run(ctx) })
	wg.Wait()
}

// AddSeeds names further voters.
func (t *Taker) AddSeeds(names []string) { t.observer.AddSeeds(names) }

// Stop begins a planned stop: this VM is not ready any more and hands its failure domain to another entry VM. It goes on
// serving what arrives.
func (t *Taker) Stop() {
	t.stopping.Store(true)
	t.observer.SetEligible(false)
}

// Owns reports whether this VM owns a cell.
func (t *Taker) Owns() bool { return len(t.controllers()) > 0 }

// Stopping reports whether a planned stop has begun.
func (t *Taker) Stopping() bool { return t.stopping.Load() }

// Ready reports whether clients are to be sent here.
func (t *Taker) Ready() bool {
	return !t.stopping.Load() && t.Configuration() != nil && t.Owner() != ""
}

// Configuration returns what is in force here; nil before a voter has confirmed one in this run.
func (t *Taker) Configuration() *Configuration {
	if t.observer.ConfirmedAt().IsZero() {
		return nil
	}
	return t.current.Load()
}

// AwaitConfiguration returns what is in force here, and waits for it after the start of this process. It returns nil where
// no voter has confirmed one within confirmWait or before the context ends.
func (t *Taker) AwaitConfiguration(ctx context.Context) *Configuration {
	if c := t.Configuration(); c != nil {
		return c
	}
	limit := time.NewTimer(t.confirmWait)
	defer limit.Stop()
	select {
	case <-t.confirmed:
	case <-limit.C:
	case <-ctx.Done():
	}
	return t.Configuration()
}

// Fresh reports whether the configuration is known to be the newest, so that what it does not name does not exist.
func (t *Taker) Fresh() bool { return t.cfg.Now().Sub(t.observer.ConfirmedAt()) < freshFor }

// apply takes over a newer agreed state.
func (t *Taker) apply(s *wire.AgreedState) {
	if held := t.current.Load(); s.Config != nil && (held == nil || s.Config.Version > held.Version) {
		c, err := t.cfg.Decode(s.Config.Content)
		if err != nil {
			t.cfg.Log.Error("Agreed configuration cannot be read.", "version", s.Config.Version, "error", err)
		} else {
			t.current.Store(c)
			t.cfg.Log.Info("Configuration is in force.", "version", c.Version, "queues", len(c.Queues), "index", s.Index)
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, g := range s.Grants {
		cell := divider.Name(g.FailureDomain, g.Cell)
		if held := t.grants[cell]; held.GetFence() >= g.Fence {
			continue
		}
		t.grants[cell], changed = g, true
		if g.FailureDomain == t.cfg.FailureDomain {
			// The first use of a peer connects to it, so that jobs need not wait for that.
			t.messenger.Connected(g.Owner)
		}
		t.cfg.Log.Info("Owner is known.", "cell", cell, "cells", g.Cells, "owner", g.Owner, "fence", g.Fence, "index", s.Index)
		t.takeOver(cell, g)
	}
	if changed {
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// takeOver ends this VM's former ownership of a cell, and begins one where the grant names this run. The lock is held.
func (t *Taker) takeOver(cell string, g *wire.Grant) {
	if end := t.end[cell]; end != nil {
		end()
		delete(t.end, cell)
		delete(t.owned, cell)
	}
	if g.Owner != t.cfg.Name || g.Incarnation != t.cfg.Incarnation || t.ctx == nil {
		return
	}
	c := controller.New(controller.Config{
		Name: t.cfg.Name, Grant: g, Orders: t.cfg.Orders, Lease: t.cfg.Lease, StopWithin: t.cfg.StopWithin, Now: t.cfg.Now,
		Log: t.cfg.Log, Count: t.cfg.Count, Hears: t.messenger.Hears,
	})
	ctx, cancel := context.WithCancel(t.ctx)
	t.owned[cell], t.end[cell] = c, cancel
	go c.Run(ctx)
	for _, w := range t.observer.Reports() {
		c.Report(w)
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

func (t *Taker) ownRooms() []*wire.CellRoom {
	var out []*wire.CellRoom
	for _, c := range t.controllers() {
		if r := c.Room(); r.Millicores > 0 {
			out = append(out, r)
		}
	}
	return out
}

func (t *Taker) heardRooms(rooms []*wire.CellRoom) {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range rooms {
		if now.After(t.rooms[r.Cell].heardAt) {
			t.rooms[r.Cell] = room{r.Millicores, now}
		}
	}
}

func (t *Taker) report(w *wire.WorkerReport) {
	for _, c := range t.controllers() {
		c.Report(w)
	}
}

func (t *Taker) lost(peer string) {
	for _, c := range t.controllers() {
		c.Lost(peer)
	}
}

// handle takes a message of another entry VM.
func (t *Taker) handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_FleetJob:
		j := controller.DecodeJob(from, b.FleetJob, t.cfg.Now())
		t.submitOwned(j, b.FleetJob.Cell, b.FleetJob.Fence, func(o *wire.FleetOutcome) {
			reply(&wire.Envelope{Body: &wire.Envelope_FleetOutcome{FleetOutcome: o}})
		})
	case *wire.Envelope_FleetCancellation:
		c := b.FleetCancellation
		if owned := t.controller(c.Cell); owned != nil {
			owned.Cancel(c.Id, from, c.Incarnation)
		}
		reply(&wire.Envelope{Body: &wire.Envelope_FleetCancellation{FleetCancellation: c}})
	}
}

func (t *Taker) controller(cell string) *controller.Controller {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owned[cell]
}

// submitOwned hands a job to the controller of a cell. A taker may know of a grant before its owner does, and the other
// way round; it offers the job again then.
func (t *Taker) submitOwned(j *allocator.Job, cell string, fence uint64, reply func(*wire.FleetOutcome)) {
	c := t.controller(cell)
	if c == nil || c.Grant().Fence != fence {
		reply(controller.Moved(c.Grant(), true))
		return
	}
	c.Submit(j, reply)
}
