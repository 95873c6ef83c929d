package taker

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/controller"
	"clementineyard/internal/messenger"
	"clementineyard/internal/observer"
	"clementineyard/wire"
)

const (
	// keepAlive and probeTimeout find a connection that has gone silent within 0.8 s, before the leader has replaced an
	// owner that is cut off.
	keepAlive    = 300 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	dialTimeout  = 400 * time.Millisecond
	// freshFor is how long after a voter confirmed the configuration a queue that it does not name is known not to exist.
	freshFor = 2 * time.Second
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
	cfg        Config
	messenger  *messenger.Messenger
	controller *controller.Controller
	observer   *observer.Observer
	current    atomic.Pointer[Configuration]
	stopping   atomic.Bool

	mu sync.Mutex
	// grants holds the newest grant of each failure domain; changed is closed when one changes.
	grants  map[string]*wire.Grant
	changed chan struct{}
	// fullUntil is when a failure domain that had no room is asked again.
	fullUntil map[string]time.Time
}

// New returns a Taker; Run starts it.
func New(cfg Config) *Taker {
	t := &Taker{cfg: cfg, grants: map[string]*wire.Grant{}, changed: make(chan struct{}), fullUntil: map[string]time.Time{}}
	t.controller = controller.New(controller.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, Orders: cfg.Orders,
		Lease: cfg.Lease, StopWithin: cfg.StopWithin, Now: cfg.Now, Log: cfg.Log, Count: cfg.Count,
		Hears: func(name string) bool { return t.messenger.Hears(name) },
	})
	t.messenger = messenger.New(messenger.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: t.controller.Handle, Log: cfg.Log,
		Lost: t.controller.Lost, KeepAlive: keepAlive, ProbeTimeout: probeTimeout, DialTimeout: dialTimeout,
	})
	t.observer = observer.New(observer.Config{
		Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, Seeds: cfg.Seeds, Apply: t.apply,
		Report: t.controller.Report, Now: cfg.Now, Log: cfg.Log,
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			t.messenger.Call(to, messenger.Control, e, deadline, done)
		},
	})
	return t
}

// Run serves other VMs on ln until the context ends.
func (t *Taker) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { t.controller.Run(ctx) })
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
	for _, g := range s.Grants {
		if held := t.grants[g.FailureDomain]; held.GetFence() >= g.Fence {
			continue
		}
		t.grants[g.FailureDomain] = g
		// The first use of a peer connects to it, so that jobs need not wait for that.
		t.messenger.Connected(g.Owner)
		t.cfg.Log.Info("Owner is known.", "failureDomain", g.FailureDomain, "owner", g.Owner, "fence", g.Fence, "index", s.Index)
		if g.FailureDomain == t.cfg.FailureDomain {
			t.controller.Grant(g)
		}
		close(t.changed)
		t.changed = make(chan struct{})
	}
}
