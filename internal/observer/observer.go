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
	// firstWait is how long a voter takes at most to answer a watch before it has said so itself.
	firstWait = 200 * time.Millisecond
	// watchSlack is how much longer than a voter says its answer may take before the watch is sent again.
	watchSlack = 400 * time.Millisecond
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
	// Apply is called with each newer state, Report with each newer report of a worker, one at a time. Confirmed is called
	// when a voter confirms the state held for the first time.
	Apply     func(*wire.AgreedState)
	Report    func(*wire.WorkerReport)
	Confirmed func()
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

	mu    sync.Mutex
	state *wire.AgreedState
	// version is that of the newest configuration received.
	version uint64
	table   *registrar.Registrar
	voters  map[string]*voter
	ctx     context.Context
}

// voter is what is known of one voter.
type voter struct {
	name        string
	incarnation uint64
	sequence    uint64
	reachable   bool
	// wait is how long the voter takes at most to answer a watch.
	wait time.Duration
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

// Reports returns the newest report of each worker of this VM's failure domain. It is called from Apply, which runs under
// the lock.
func (o *Observer) Reports() []*wire.WorkerReport { return o.table.Since(0, o.cfg.FailureDomain) }

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
	v := &voter{name: name, wait: firstWait}
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
		Rooms: o.cfg.Rooms(), ConfigVersion: o.version,
	}
	e := &wire.Envelope{Body: &wire.Envelope_Watch{Watch: w}}
	deadline := o.cfg.Now().Add(v.wait + watchSlack)
	go o.cfg.Call(v.name, e, deadline, func(r *wire.Envelope, err error) { go o.replied(v, r.GetWatchReply(), err) })
}

func (o *Observer) replied(v *voter, r *wire.WatchReply, err error) {
	if err != nil || r == nil {
		o.mu.Lock()
		if v.reachable {
			o.cfg.Log.Info("Voter is lost.", "voter", v.name, "index", o.state.GetIndex(), "error", err)
		}
		v.reachable, v.wait = false, firstWait
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
	v.wait = time.Duration(r.WaitMillis) * time.Millisecond
	now := o.cfg.Now()
	for _, w := range r.Reports {
		if o.table.Report(now, w) {
			o.cfg.Report(w)
		}
	}
	o.table.Expire(now, forgetAfter)
	if r.State.GetIndex() > o.state.GetIndex() {
		o.state, o.version = r.State, max(o.version, r.State.Config.GetVersion())
		o.cfg.Apply(r.State)
	}
	o.cfg.Heard(r.Rooms)
	if r.Confirmed && o.confirmedAt.Swap(&now) == nil {
		o.cfg.Confirmed()
	}
	for _, n := range r.Voters {
		o.add(n)
	}
	o.watch(v)
}
