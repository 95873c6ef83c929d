package notifier

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"clementineyard/internal/cataloger"
	"clementineyard/internal/compressor"
	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// WatchPollTime is how long a watch waits for updates at a voter that leads or knows no leader. It is well below
	// LivenessTimeout, so that an entry VM still counts as alive after one lost reply.
	WatchPollTime = 200 * time.Millisecond
	// followerWatchPollTime is how long a watch waits at any other voter. A follower does not decide on the liveness of
	// entry VMs, and the leader reports the same free room. Shorter watches at followers would take much of an idle entry
	// VM's processor time.
	followerWatchPollTime = time.Second
	// LivenessTimeout is how long an entry VM counts as alive after its last watch: three times WatchPollTime and a
	// margin.
	LivenessTimeout = 700 * time.Millisecond
	// reconnectGracePeriod is how long an entry VM counts as alive after its connection ended. A connection that was reset
	// is open again within two attempts to connect; otherwise the process may have ended.
	reconnectGracePeriod = 250 * time.Millisecond
	// maxLocalRooms and maxRemoteRooms bound how many cells with free room a reply lists, of the entry VM's failure domain
	// and of others. With all 125 cells of a fleet of 300 VMs in each reply, a voter's traffic grew with the square of the
	// fleet's size. A job is offered to three of them.
	maxLocalRooms  = 16
	maxRemoteRooms = 8
	// maxReports bounds the reports in a reply. The next watch, which is answered at once, gets further ones. A report takes
	// 5 KB at most, and a connection must carry the reply within its write timeout.
	maxReports = 1000
	// flushInterval is how long reports are batched into one reply. A worker that leaves must get no starts from 2 s after
	// its report on.
	flushInterval = 25 * time.Millisecond
	// maxPublishAge is how long a published state counts as confirmed. The voter publishes it every 25 ms, unless it waits
	// for its disk or has suspended itself; some of its usual syncs fit into this time.
	maxPublishAge = 300 * time.Millisecond
)

// Config configures a Notifier.
type Config struct {
	// Incarnation identifies this process of the voter; report sequence numbers are valid within it.
	Incarnation uint64
	// ForgetAfter is how long a worker may be silent before its report is removed.
	ForgetAfter time.Duration
	// Persist hands over the reports that were heard since its last call, for the directory on the voter's disk. It returns at
	// once; nil where there is no directory.
	Persist func([]cataloger.Entry)
	Now     func() time.Time
	Log     *slog.Logger
}

// Presence is what a voter knows of an entry VM.
type Presence struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Eligible      bool
	// Millicores is its share of a processor in thousandths of a core; 0 where it is not known.
	Millicores uint32
	// FirstSeenAt is when the first watch of this incarnation arrived.
	FirstSeenAt time.Time
	// LastSeenAt is when its last watch arrived. SilentSince is when its next one was overdue, or its connection ended.
	LastSeenAt, SilentSince time.Time
	Alive                   bool
	// KeepsRosters is true if the entry VM, as an owner, uses only workers of the roster.
	KeepsRosters bool
}

// Notifier answers the watches of entry VMs. It is safe for concurrent use.
type Notifier struct {
	cfg Config

	mu      sync.Mutex
	reports *registrar.Registrar
	state   *wire.AgreedState
	// compressed is the configuration of state in compressed form; nil until a watch asks for it.
	compressed *wire.FleetConfig
	confirmed  bool
	leads      bool
	// publishedAt is when the voter last published its state.
	publishedAt time.Time
	voters      []string
	watchers    map[string]*watcher
	// restored holds the reports from the voter's disk that are not passed on yet, and heard those for it.
	restored, heard []cataloger.Entry
	// departureIndex is the index of the last departure that was applied to reports.
	departureIndex uint64
	news           news
	surveys        surveys
}

// watcher is the state of an entry VM that has sent a watch.
type watcher struct {
	presence       Presence
	lastWatchAt    time.Time
	disconnectedAt time.Time
	rooms          []*wire.CellRoom
	// watch is the last watch, and reply answers it; reply is nil when no watch is open.
	watch *wire.Watch
	reply func(*wire.WatchReply)
}

// New returns a Notifier without a state, reports and watchers.
func New(cfg Config) *Notifier {
	return &Notifier{cfg: cfg, reports: registrar.New(), watchers: map[string]*watcher{}}
}

// Run answers open watches until ctx is done.
func (n *Notifier) Run(ctx context.Context) {
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.mu.Lock()
			n.flush()
			n.mu.Unlock()
			n.persist()
		}
	}
}

// Watch opens a watch of an entry VM. reply is called once, unless a later watch of the same VM arrives before.
func (n *Notifier) Watch(from string, w *wire.Watch, reply func(*wire.WatchReply)) {
	now := n.cfg.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.watchers[from]
	if v == nil || v.presence.Incarnation != w.Incarnation {
		v = &watcher{presence: Presence{Name: from, Incarnation: w.Incarnation, FirstSeenAt: now}}
		n.watchers[from] = v
		n.cfg.Log.Info("Entry VM started watching this voter.", "name", from, "incarnation", w.Incarnation, "failureDomain", w.FailureDomain)
	}
	v.presence.FailureDomain, v.presence.Eligible, v.presence.Millicores = w.FailureDomain, w.Eligible, w.Millicores
	v.presence.KeepsRosters = w.KeepsRosters
	n.surveys.record(w.Surveys)
	v.lastWatchAt, v.disconnectedAt = now, time.Time{}
	v.watch, v.reply, v.rooms = w, reply, w.Rooms
	if n.hasUpdates(w) {
		n.answerWatch(v)
	}
}

// PeerDisconnected records that the connection of an entry VM has ended.
func (n *Notifier) PeerDisconnected(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.watchers[from]; v != nil {
		// The watch stays open: the VM may have connected again before the end of this connection was detected.
		v.disconnectedAt = n.cfg.Now()
		n.cfg.Log.Info("Connection of an entry VM ended.", "name", from, "incarnation", v.presence.Incarnation)
	}
}

// Report records a worker's report, and answers watches at once when the worker is draining or gone. It returns false
// for an outdated report.
func (n *Notifier) Report(w *wire.WorkerReport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.reports.LastChange()
	ok := n.reports.Report(n.cfg.Now(), w)
	if ok {
		w = n.reports.Current(w)
		n.recordHeard(w)
	}
	if n.reports.LastChange() != before {
		n.cfg.Log.Info("Worker sent a new or changed report.", "id", w.Id, "born", w.Born, "sequence", w.Sequence, "address", w.Address,
			"failureDomain", w.FailureDomain, "draining", w.Draining, "gone", w.Gone)
		if w.Draining || w.Gone {
			n.flush()
		}
	}
	return ok
}

// RemoveWorker records that a worker has ended. A removal names no incarnation: one that arrives late may be of a former
// one. A worker drains before it ends, so one that does not is not the one that has ended.
func (n *Notifier) RemoveWorker(id string) {
	n.mu.Lock()
	held := n.reports.Find(id)
	n.mu.Unlock()
	for _, w := range held {
		if !w.Gone && w.Draining {
			n.Report(&wire.WorkerReport{
				Id: id, Born: w.Born, Gone: true, Service: w.Service, Address: w.Address, FailureDomain: w.FailureDomain,
			})
		}
	}
}

// Publish replaces the agreed state. confirmed states that it is known to be the newest, and leads that this voter is
// the leader.
func (n *Notifier) Publish(state *wire.AgreedState, confirmed, leads bool, voters []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := n.state.GetIndex() != state.GetIndex() || confirmed && !n.confirmed
	n.news.record(n.state, state)
	n.state, n.confirmed, n.leads, n.voters, n.publishedAt = state, confirmed, leads, voters, n.cfg.Now()
	n.applyDepartures()
	if n.stateConfirmed() {
		n.releaseRestored()
	}
	if changed {
		n.flush()
	}
}

// HasWorkers reports whether a worker of the failure domain has sent a report.
func (n *Notifier) HasWorkers(failureDomain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reports.LastChangeIn(failureDomain) > 0
}

// EntryVMs returns what is known of each entry VM, in no particular order.
func (n *Notifier) EntryVMs() []Presence {
	now := n.cfg.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Presence
	for _, v := range n.watchers {
		p := v.presence
		p.LastSeenAt, p.SilentSince = v.lastWatchAt, v.lastWatchAt.Add(LivenessTimeout/2)
		if !v.disconnectedAt.IsZero() {
			p.SilentSince = v.disconnectedAt
		}
		p.Alive = now.Sub(v.lastWatchAt) < LivenessTimeout && (v.disconnectedAt.IsZero() || now.Sub(v.disconnectedAt) < reconnectGracePeriod)
		out = append(out, p)
	}
	return out
}

// flush removes the reports of silent workers, and answers the watches for which there are updates or that have waited
// long enough. The caller holds n.mu.
func (n *Notifier) flush() {
	now := n.cfg.Now()
	n.reports.Expire(now, n.cfg.ForgetAfter)
	n.surveys.publish(now)
	for _, v := range n.watchers {
		if v.reply != nil && (n.hasUpdates(v.watch) || now.Sub(v.lastWatchAt) >= n.watchPollTime()) {
			n.answerWatch(v)
		}
	}
}

// stateConfirmed reports whether the published state is known to be the newest now.
func (n *Notifier) stateConfirmed() bool {
	return n.confirmed && n.cfg.Now().Sub(n.publishedAt) < maxPublishAge
}

// watchPollTime returns how long a watch waits for updates. A voter that becomes the leader at once answers the watches
// that have waited for longer, so that all entry VMs send new ones.
func (n *Notifier) watchPollTime() time.Duration {
	if n.confirmed && !n.leads {
		return followerWatchPollTime
	}
	return WatchPollTime
}

// hasUpdates reports whether there is something newer than what the sender of a watch holds. Reports of workers, departures
// and rosters of other failure domains do not count.
func (n *Notifier) hasUpdates(w *wire.Watch) bool {
	return n.news.index(w.FailureDomain) > w.Index || w.KeepsRosters && n.surveys.published > n.heldSurveySequence(w) || n.reports.LastChangeIn(w.FailureDomain) > n.heldReportSequence(w)
}

// heldReportSequence returns the sequence number of this voter's last report that the sender of a watch holds; 0 when
// it holds none of this incarnation.
func (n *Notifier) heldReportSequence(w *wire.Watch) uint64 {
	if w.VoterIncarnation != n.cfg.Incarnation {
		return 0
	}
	return w.ReportSequence
}

// answerWatch answers an open watch with what is new to its sender, up to maxReports reports. The caller holds n.mu.
func (n *Notifier) answerWatch(v *watcher) {
	reports, through := n.reports.FirstChangesSince(n.heldReportSequence(v.watch), v.watch.FailureDomain, maxReports)
	r := &wire.WatchReply{
		VoterIncarnation: n.cfg.Incarnation, Confirmed: n.stateConfirmed(), ReportSequence: through, Reports: n.reports.At(n.cfg.Now(), reports), Voters: n.voters,
		WaitMillis: uint32(n.watchPollTime().Milliseconds()), Leads: n.leads,
	}
	if n.state.GetIndex() > v.watch.Index {
		r.State = n.stateSince(v.watch)
	}
	r.Rooms = n.roomsFor(v.presence.FailureDomain)
	if v.watch.KeepsRosters {
		r.Surveys, r.SurveySequence = n.surveys.since(n.heldSurveySequence(v.watch)), n.surveys.published
	}
	reply := v.reply
	v.reply = nil
	reply(r)
}

// stateSince returns the part of the agreed state that the sender of a watch does not hold: the configuration if it is
// newer, and the grants and evacuations after the index that the sender holds. A grant's fence is the index at which it was agreed.
func (n *Notifier) stateSince(w *wire.Watch) *wire.AgreedState {
	s := &wire.AgreedState{Index: n.state.Index}
	if n.state.Config.GetVersion() > w.ConfigVersion {
		s.Config = n.state.Config
		if w.AcceptsCompressed {
			s.Config = n.compressedConfig()
		}
	}
	for _, g := range n.state.Grants {
		if g.Fence > w.Index {
			s.Grants = append(s.Grants, g)
		}
	}
	for _, e := range n.state.Evacuations {
		if e.Index > w.Index {
			s.Evacuations = append(s.Evacuations, e)
		}
	}
	s.Departures, s.Rosters = departuresSince(n.state, w), rostersSince(n.state, w)
	return s
}

// compressedConfig returns the configuration in force in compressed form. All voters send it to every entry VM when it
// changes: a fleet of 24 VMs with links of 2 Mbit/s was busy with that for 5 s after a dozen changes.
func (n *Notifier) compressedConfig() *wire.FleetConfig {
	held := n.state.Config
	if n.compressed != nil && n.compressed.Version == held.Version {
		return n.compressed
	}
	compressed, err := compressor.Compress(held.Content)
	if err != nil {
		n.cfg.Log.Warn("Voter could not compress the configuration; it sends it as it is.", "version", held.Version, "error", err)
		return held
	}
	n.compressed = &wire.FleetConfig{Version: held.Version, Compressed: compressed}
	return n.compressed
}

// roomsFor returns cells with free room for an entry VM of a failure domain. When there are many, it returns some of
// them, different ones each time, as the watchers are iterated in random order.
func (n *Notifier) roomsFor(failureDomain string) []*wire.CellRoom {
	now := n.cfg.Now()
	var local, remote []*wire.CellRoom
	for _, v := range n.watchers {
		switch {
		case now.Sub(v.lastWatchAt) >= 2*WatchPollTime:
		case v.presence.FailureDomain == failureDomain:
			local = append(local, v.rooms...)
		default:
			remote = append(remote, v.rooms...)
		}
	}
	return append(local[:min(len(local), maxLocalRooms)], remote[:min(len(remote), maxRemoteRooms)]...)
}
