package observer

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"clementineyard/internal/compressor"
	"clementineyard/internal/recoverer"
	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// initialWait is the longest time to expect until a voter answers a watch, before its first reply states that time.
	initialWait = 200 * time.Millisecond
	// watchTimeoutMargin is how much longer than a voter's stated time its reply may take before the watch is sent again.
	watchTimeoutMargin = 400 * time.Millisecond
	// retryInterval is the delay before the next watch is sent to a voter that could not be reached.
	retryInterval = 50 * time.Millisecond
	// maxConfigBytes bounds the content of a configuration. Voters accept no larger ones.
	maxConfigBytes = 8 << 20
	// reportTTL is how long a worker's report is kept without being received again. It is no failure detection: owners
	// detect silent workers.
	reportTTL = 10 * time.Minute
)

// Config configures an Observer.
type Config struct {
	// Incarnation identifies this process as an owner, until RenewIncarnation.
	Incarnation   uint64
	FailureDomain string
	// Millicores is this VM's share of a processor in thousandths of a core; 0 where it is not known.
	Millicores uint32
	// Seeds holds the names of the voters to contact first.
	Seeds []string
	// Call sends an envelope to another VM and calls done once, with the reply or an error, by the deadline.
	Call func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// ApplyState is called with each newer state, and Report with each newer report of a worker, never concurrently.
	// Confirmed is called after each reply in which a voter confirms the state that is held.
	ApplyState func(*wire.AgreedState)
	Report     func(*wire.WorkerReport)
	Confirmed  func()
	// Rooms returns the free room of the cells that this VM owns. HandleRooms is called with the room that a voter reports
	// of cells that have some.
	Rooms       func() []*wire.CellRoom
	HandleRooms func([]*wire.CellRoom)
	// Surveys returns the surveys of the cells that this VM owns, and HandleSurveys is called with those that a voter passes on.
	// Both are nil where owners keep no rosters.
	Surveys       func() []*wire.CellSurvey
	HandleSurveys func([]*wire.CellSurvey)
	Now           func() time.Time
	Log           *slog.Logger
}

// Observer holds the newest agreed state and worker reports. It is safe for concurrent use.
type Observer struct {
	cfg         Config
	eligible    atomic.Bool
	incarnation atomic.Uint64
	// confirmedAt is when the last watch was sent that a voter answered with a confirmation of the state that is held; nil
	// before the first.
	confirmedAt atomic.Pointer[time.Time]
	// leaderConfirmedAt is when the last watch was sent that the leader answered with a confirmation; nil before the first.
	leaderConfirmedAt atomic.Pointer[time.Time]
	// leader is the voter that last said that it leads; nil before the first.
	leader atomic.Pointer[string]

	mu    sync.Mutex
	state *wire.AgreedState
	// configVersion is the version of the newest configuration received.
	configVersion uint64
	reports       *registrar.Registrar
	voters        map[string]*voter
	ctx           context.Context
}

// voter is the state of the watches at one voter.
type voter struct {
	name           string
	incarnation    uint64
	reportSequence uint64
	surveySequence uint64
	reachable      bool
	// maxWait is the longest time that the voter takes to answer a watch, as its last reply states.
	maxWait time.Duration
}

// New returns an Observer; Run starts it.
func New(cfg Config) *Observer {
	o := &Observer{cfg: cfg, reports: registrar.New(), voters: map[string]*voter{}}
	o.eligible.Store(true)
	o.incarnation.Store(cfg.Incarnation)
	return o
}

// Run keeps the watches open until ctx is done.
func (o *Observer) Run(ctx context.Context) {
	o.mu.Lock()
	o.ctx = ctx
	for _, s := range o.cfg.Seeds {
		o.addVoter(s)
	}
	o.mu.Unlock()
	<-ctx.Done()
}

// AddSeeds adds voters, after the settings have changed.
func (o *Observer) AddSeeds(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range names {
		o.addVoter(s)
	}
}

// Reports returns the newest report of each worker of this VM's failure domain. It may be called only from
// Config.ApplyState, which runs with o.mu held.
func (o *Observer) Reports() []*wire.WorkerReport {
	return o.reports.At(o.cfg.Now(), o.reports.ChangedSince(0, o.cfg.FailureDomain))
}

// Incarnation returns the incarnation for which the voters grant cells to this VM.
func (o *Observer) Incarnation() uint64 { return o.incarnation.Load() }

// RenewIncarnation gives up the cells that this VM owns, as a restart of the process would: the voters grant each of them
// again under a new fence.
func (o *Observer) RenewIncarnation() { o.incarnation.Add(1) }

// SetEligible sets whether this VM may own cells of its failure domain; it takes effect with the next watch.
func (o *Observer) SetEligible(eligible bool) { o.eligible.Store(eligible) }

// ConfirmedAt returns a time at which a voter confirmed the state that is held; zero before the first. Replies may be
// handled late, so it is when the voter was asked.
func (o *Observer) ConfirmedAt() time.Time {
	if t := o.confirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// LeaderConfirmedAt returns a time at which the leader of the voters confirmed the state that is held; zero before the
// first. Replies may be handled late, so it is when the leader was asked.
func (o *Observer) LeaderConfirmedAt() time.Time {
	if t := o.leaderConfirmedAt.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// Leader returns the name of the voter that last said that it leads; empty before the first.
func (o *Observer) Leader() string {
	if name := o.leader.Load(); name != nil {
		return *name
	}
	return ""
}

// addVoter starts the watches at a voter that is not known yet. The caller holds o.mu.
func (o *Observer) addVoter(name string) {
	if name == "" || o.voters[name] != nil || o.ctx == nil {
		return
	}
	v := &voter{name: name, maxWait: initialWait}
	o.voters[name] = v
	o.sendWatch(v)
}

// sendWatch sends one watch; handling its reply sends the next. The caller holds o.mu.
func (o *Observer) sendWatch(v *voter) {
	if o.ctx.Err() != nil {
		return
	}
	w := &wire.Watch{
		Incarnation: o.incarnation.Load(), FailureDomain: o.cfg.FailureDomain, Eligible: o.eligible.Load(),
		Index: o.state.GetIndex(), VoterIncarnation: v.incarnation, ReportSequence: v.reportSequence,
		Rooms: o.cfg.Rooms(), ConfigVersion: o.configVersion, AcceptsCompressed: true, Millicores: o.cfg.Millicores,
	}
	if o.cfg.Surveys != nil {
		w.KeepsRosters, w.Surveys, w.SurveySequence = true, o.cfg.Surveys(), v.surveySequence
	}
	e := &wire.Envelope{Body: &wire.Envelope_Watch{Watch: w}}
	sentAt := o.cfg.Now()
	go o.cfg.Call(v.name, e, sentAt.Add(v.maxWait+watchTimeoutMargin), func(r *wire.Envelope, err error) {
		go func() {
			if recoverer.Call(o.cfg.Log, "a reply to a watch", func() { o.handleReply(v, sentAt, r.GetWatchReply(), err) }) != nil {
				o.retryWatch(v)
			}
		}()
	})
}

// retryWatch sends the next watch to a voter after retryInterval.
func (o *Observer) retryWatch(v *voter) {
	time.AfterFunc(retryInterval, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.sendWatch(v)
	})
}

// expandConfig decompresses the content of a configuration that a voter has compressed.
func expandConfig(c *wire.FleetConfig) error {
	if len(c.GetCompressed()) == 0 {
		return nil
	}
	content, err := compressor.Decompress(c.Compressed, maxConfigBytes)
	if err != nil {
		return err
	}
	c.Content, c.Compressed = content, nil
	return nil
}

// handleReply adopts what a voter's reply to a watch contains that was sent at sentAt, and sends the next watch; after an
// error it retries later.
func (o *Observer) handleReply(v *voter, sentAt time.Time, r *wire.WatchReply, err error) {
	if err != nil || r == nil {
		o.mu.Lock()
		if v.reachable {
			o.cfg.Log.Info("Voter became unreachable.", "voter", v.name, "index", o.state.GetIndex(), "error", err)
		}
		v.reachable, v.maxWait = false, initialWait
		o.mu.Unlock()
		o.retryWatch(v)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if !v.reachable {
		o.cfg.Log.Info("Voter became reachable.", "voter", v.name, "confirmed", r.Confirmed, "index", r.State.GetIndex())
	}
	v.reachable, v.incarnation, v.reportSequence, v.surveySequence = true, r.VoterIncarnation, r.ReportSequence, r.SurveySequence
	if r.Leads {
		o.leader.Store(&v.name)
	}
	v.maxWait = time.Duration(r.WaitMillis) * time.Millisecond
	now := o.cfg.Now()
	for _, w := range r.Reports {
		if o.reports.Report(now, w) {
			o.cfg.Report(o.reports.Current(w))
		}
	}
	o.reports.Expire(now, reportTTL)
	for _, d := range r.State.GetDepartures() {
		// A departure counts whether or not the rest of the state can be adopted.
		if w := o.reports.Depart(now, d); w != nil {
			o.cfg.Report(w)
		}
	}
	if r.State.GetIndex() > o.state.GetIndex() {
		if err := expandConfig(r.State.Config); err != nil {
			// Another voter may send it undamaged. What is held stays, and so does its index.
			o.cfg.Log.Error("Entry VM could not decompress a configuration.", "voter", v.name, "version", r.State.Config.Version, "error", err)
			o.retryWatch(v)
			return
		}
		o.state, o.configVersion = r.State, max(o.configVersion, r.State.Config.GetVersion())
		o.cfg.ApplyState(r.State)
	}
	o.cfg.HandleRooms(r.Rooms)
	if o.cfg.HandleSurveys != nil && len(r.Surveys) > 0 {
		o.cfg.HandleSurveys(r.Surveys)
	}
	if r.Confirmed && r.Leads && sentAt.After(o.LeaderConfirmedAt()) {
		o.leaderConfirmedAt.Store(&sentAt)
	}
	if r.Confirmed {
		if o.confirmedAt.Load() == nil || sentAt.After(o.ConfirmedAt()) {
			o.confirmedAt.Store(&sentAt)
		}
		o.cfg.Confirmed()
	}
	for _, n := range r.Voters {
		o.addVoter(n)
	}
	o.sendWatch(v)
}
