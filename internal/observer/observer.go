package observer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// watchTimeout ends a watch whose reply is overdue: the voter answers after 200 ms at the latest.
	watchTimeout = 600 * time.Millisecond
	// retryEvery is the pause before the next watch of a voter that could not be reached.
	retryEvery = 50 * time.Millisecond
	// forgetAfter is how long a worker's report is kept without a voter naming it again; silent workers are the owner's
	// affair.
	forgetAfter = 10 * time.Minute
)

// Config constructs an Observer.
type Config struct {
	Incarnation   uint64
	FailureDomain string
	// Seeds names voters to begin with.
	Seeds []string
	Call  func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Apply is called with each newer state, Report with each newer report of a worker, one at a time.
	Apply  func(*wire.AgreedState)
	Report func(*wire.WorkerReport)
	// Rooms returns the room in the cells that this VM owns; Heard is called with that of all cells that have some.
	Rooms func() []*wire.CellRoom
	Heard func([]*wire.CellRoom)
	Now   func() time.Time
	Log   *slog.Logger
}

// Observer is safe for concurrent use.
type Observer struct {
	cfg      Config
	eligible atomic.Bool
	// confirmedAt is when the state held was last confirmed, on the steady clock; nil before the first time.
	confirmedAt atomic.Pointer[time.Time]

	mu     sync.Mutex
	state  *wire.AgreedState
	table  *registrar.Registrar
	voters map[string]*voter
	ctx    context.Context
}

// voter is what is known of one voter.
type voter struct {
	name        string
	incarnation uint64
	sequence    uint64
	reachable   bool
}

// New returns an Observer; Run starts it.
func New(cfg Config) *Observer {
	o := &Observer{cfg: cfg, table: registrar.New(), voters: map[string]*voter{}}
	o.eligible.Store(true)
	return o
}

// Run keeps the watches open until the context ends.
func (o *Observer) Run(ctx context.Context) {
	o.mu.Lock()
	o.ctx = ctx
	for _, s := range o.cfg.Seeds {
		o.add(s)
	}
	o.mu.Unlock()
	<-ctx.Done()
}

// AddSeeds names further voters, after the settings have changed.
func (o *Observer) AddSeeds(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range names {
		o.add(s)
	}
}

// Reports returns the newest report of each worker. It is called from Apply, which runs under the lock.
func (o *Observer) Reports() []*wire.WorkerReport { return o.table.Since(0) }

// SetEligible says whether this VM may own its failure domain; it takes effect with the next watch.
func (o *Observer) SetEligible(yes bool) { o.eligible.Store(yes) }

// ConfirmedAt is when a voter last confirmed the state held here; zero before the first time.
func (o *Observer) ConfirmedAt() time.Time {
	if t := o.confirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// add starts the watches of a voter that is not known yet. The lock is held.
func (o *Observer) add(name string) {
	if name == "" || o.voters[name] != nil || o.ctx == nil {
		return
	}
	v := &voter{name: name}
	o.voters[name] = v
	o.watch(v)
}

// watch sends one watch; its reply sends the next. The lock is held.
func (o *Observer) watch(v *voter) {
	if o.ctx.Err() != nil {
		return
	}
	w := &wire.Watch{
		Incarnation: o.cfg.Incarnation, FailureDomain: o.cfg.FailureDomain, Eligible: o.eligible.Load(),
		Index: o.state.GetIndex(), VoterIncarnation: v.incarnation, ReportSequence: v.sequence,
		Rooms: o.cfg.Rooms(),
	}
	e := &wire.Envelope{Body: &wire.Envelope_Watch{Watch: w}}
	deadline := o.cfg.Now().Add(watchTimeout)
	go o.cfg.Call(v.name, e, deadline, func(r *wire.Envelope, err error) { go o.replied(v, r.GetWatchReply(), err) })
}

func (o *Observer) replied(v *voter, r *wire.WatchReply, err error) {
	if err != nil || r == nil {
		o.mu.Lock()
		if v.reachable {
			o.cfg.Log.Info("Voter is lost.", "voter", v.name, "index", o.state.GetIndex(), "error", err)
		}
		v.reachable = false
		o.mu.Unlock()
		time.AfterFunc(retryEvery, func() {
			o.mu.Lock()
			defer o.mu.Unlock()
			o.watch(v)
		})
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !v.reachable {
		o.cfg.Log.Info("Voter is reached.", "voter", v.name, "confirmed", r.Confirmed, "index", r.State.GetIndex())
	}
	v.reachable, v.incarnation, v.sequence = true, r.VoterIncarnation, r.ReportSequence
	now := o.cfg.Now()
	for _, w := range r.Reports {
		if o.table.Report(now, w) {
			o.cfg.Report(w)
		}
	}
	o.table.Expire(now, forgetAfter)
	if r.State.GetIndex() > o.state.GetIndex() {
		o.state = r.State
		o.cfg.Apply(r.State)
	}
	o.cfg.Heard(r.Rooms)
	if r.Confirmed {
		o.confirmedAt.Store(&now)
	}
	for _, n := range r.Voters {
		o.add(n)
	}
	o.watch(v)
}
