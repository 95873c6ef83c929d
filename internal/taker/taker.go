package taker

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/allocator"
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
	// retryEvery is the pause before a job is offered to an owner again.
	retryEvery = 20 * time.Millisecond
	// unownedWait is how long a job that no owner has received waits for one. A killed owner is replaced within half a
	// second, a frozen one within a second.
	unownedWait = 1500 * time.Millisecond
	// comeBackAfter is told to clients whose job no owner has received.
	comeBackAfter = time.Second
	// jobWait bounds one call to an owner. It only ends calls whose reply was lost with nobody noticing.
	jobWait = time.Minute
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
}

// Outcome is what became of a job.
type Outcome struct {
	Kind       wire.FleetOutcome_Kind
	RetryAfter time.Duration
	Reason     string
}

// New returns a Taker; Run starts it.
func New(cfg Config) *Taker {
	t := &Taker{cfg: cfg, grants: map[string]*wire.Grant{}, changed: make(chan struct{})}
	t.controller = controller.New(controller.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, FailureDomain: cfg.FailureDomain, Orders: cfg.Orders,
		Lease: cfg.Lease, StopWithin: cfg.StopWithin, Now: cfg.Now, Log: cfg.Log, Count: cfg.Count,
	})
	t.messenger = messenger.New(messenger.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: t.controller.Handle, Log: cfg.Log,
		KeepAlive: keepAlive, ProbeTimeout: probeTimeout, DialTimeout: dialTimeout,
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
	return !t.stopping.Load() && t.Configuration() != nil && t.owner().GetOwner() != ""
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
		t.cfg.Log.Info("Owner is known.", "failureDomain", g.FailureDomain, "owner", g.Owner, "fence", g.Fence, "index", s.Index)
		if g.FailureDomain == t.cfg.FailureDomain {
			t.controller.Grant(g)
			close(t.changed)
			t.changed = make(chan struct{})
		}
	}
}

func (t *Taker) owner() *wire.Grant {
	g, _ := t.ownerAndChange()
	return g
}

func (t *Taker) ownerAndChange() (*wire.Grant, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.grants[t.cfg.FailureDomain], t.changed
}

// Submit hands a job to its owner and waits for the outcome. Where the owner is lost, the next one gets the job. The
// context ends when the client leaves; the job is cancelled then.
func (t *Taker) Submit(ctx context.Context, j *allocator.Job) Outcome {
	j.Taker, j.Incarnation = t.cfg.Name, t.cfg.Incarnation
	unownedUntil := t.cfg.Now().Add(unownedWait)
	for attempt := 1; ; attempt++ {
		g, changed := t.ownerAndChange()
		if g != nil {
			o, err := t.offer(ctx, g, j)
			switch {
			case ctx.Err() != nil:
				t.cancel(g, j.ID)
				return Outcome{Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: "client has left"}
			case err == nil && o.Kind != wire.FleetOutcome_KIND_MOVED:
				return Outcome{Kind: o.Kind, RetryAfter: time.Duration(o.RetryAfterMillis) * time.Millisecond, Reason: o.Reason}
			}
			t.cfg.Count("reoffers", 1)
			t.cfg.Log.Info("Job is offered again.", "job", j.ID, "owner", g.Owner, "fence", g.Fence, "outcome", o.GetKind().String(),
				"error", err, "attempt", attempt, "mayRun", j.MayRun)
		}
		if !t.cfg.Now().Before(unownedUntil) {
			kind := wire.FleetOutcome_KIND_REFUSED
			if j.MayRun {
				kind = wire.FleetOutcome_KIND_GIVEN_UP
			}
			return Outcome{Kind: kind, RetryAfter: comeBackAfter, Reason: "no owner of the failure domain is reached"}
		}
		select {
		case <-ctx.Done():
			return Outcome{Kind: wire.FleetOutcome_KIND_GIVEN_UP, Reason: "client has left"}
		case <-changed:
		case <-time.After(retryEvery):
		}
	}
}

// offer sends the job to an owner and waits for its answer. j.MayRun is set once the job may have reached one.
func (t *Taker) offer(ctx context.Context, g *wire.Grant, j *allocator.Job) (*wire.FleetOutcome, error) {
	type result struct {
		outcome *wire.FleetOutcome
		err     error
	}
	got := make(chan result, 1)
	if g.Owner == t.cfg.Name {
		sent := *j
		t.controller.Submit(&sent, g.Fence, func(o *wire.FleetOutcome) { got <- result{outcome: o} })
	} else {
		now := t.cfg.Now()
		e := &wire.Envelope{Body: &wire.Envelope_FleetJob{FleetJob: controller.EncodeJob(j, g.Fence, now)}}
		t.messenger.Call(g.Owner, messenger.Relay, e, now.Add(jobWait), func(r *wire.Envelope, err error) {
			if err == nil && r.GetFleetOutcome() == nil {
				err = messenger.ErrLost
			}
			got <- result{r.GetFleetOutcome(), err}
		})
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case r := <-got:
		if errors.Is(r.err, messenger.ErrLost) || r.outcome.GetKind() == wire.FleetOutcome_KIND_MOVED {
			j.MayRun = true
		}
		return r.outcome, r.err
	}
}

func (t *Taker) cancel(g *wire.Grant, id string) {
	if g.Owner == t.cfg.Name {
		t.controller.Cancel(id, t.cfg.Name, t.cfg.Incarnation)
		return
	}
	sent := t.messenger.Send(g.Owner, messenger.Relay, &wire.Envelope{Body: &wire.Envelope_FleetCancellation{
		FleetCancellation: &wire.FleetCancellation{Id: id, Incarnation: t.cfg.Incarnation},
	}})
	if !sent {
		t.cfg.Log.Info("Cancellation was not sent.", "job", id, "owner", g.Owner, "fence", g.Fence)
	}
}
