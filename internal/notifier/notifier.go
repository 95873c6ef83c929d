package notifier

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"clementineyard/internal/registrar"
	"clementineyard/wire"
)

const (
	// WatchWait is how long a watch waits for news at a voter that leads or hears no leader. It is well below AliveFor, so
	// that one lost reply ends nothing.
	WatchWait = 200 * time.Millisecond
	// followerWait is how long a watch waits at any other voter, which decides nothing on entry VMs and whose news on room
	// the leader has as well. With 200 ms there too the watches of 6 voters took half of an idle entry VM's processor time.
	followerWait = time.Second
	// AliveFor is how long an entry VM counts as alive after its last watch: three watches and a margin.
	AliveFor = 700 * time.Millisecond
	// lostGrace is how long an entry VM counts as alive after its connection ended: a reset connection is open again
	// within two attempts to connect, while the process behind an ended one may be gone.
	lostGrace = 250 * time.Millisecond
	// nearRooms and farRooms bound how many cells with room a reply names, of the entry VM's failure domain and of others.
	// With all 125 cells of a fleet of 300 VMs in each reply the traffic of a voter grew as the square of the fleet. A job
	// asks three.
	nearRooms = 16
	farRooms  = 8
	// flushEvery gathers reports into one reply. A leaving worker must get no start 2 s after its report at the latest.
	flushEvery = 25 * time.Millisecond
)

// Config constructs a Notifier.
type Config struct {
	Incarnation uint64
	// ForgetAfter is how long a worker may be silent before its report is forgotten here.
	ForgetAfter time.Duration
	Now         func() time.Time
	Log         *slog.Logger
}

// Presence is what a voter knows of an entry VM.
type Presence struct {
	Name          string
	Incarnation   uint64
	FailureDomain string
	Eligible      bool
	// Since is when this incarnation was heard first.
	Since time.Time
	Alive bool
}

// Notifier is safe for concurrent use.
type Notifier struct {
	cfg Config

	mu        sync.Mutex
	table     *registrar.Registrar
	state     *wire.AgreedState
	confirmed bool
	leads     bool
	voters    []string
	watchers  map[string]*watcher
}

type watcher struct {
	presence Presence
	heardAt  time.Time
	lostAt   time.Time
	rooms    []*wire.CellRoom
	// watch and reply belong to the open watch; reply is nil where none is open.
	watch *wire.Watch
	reply func(*wire.WatchReply)
}

// New returns a Notifier that holds nothing.
func New(cfg Config) *Notifier {
	return &Notifier{cfg: cfg, table: registrar.New(), watchers: map[string]*watcher{}}
}

// Run answers open watches until the context ends.
func (n *Notifier) Run(ctx context.Context) {
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.mu.Lock()
			n.flush()
			n.mu.Unlock()
		}
	}
}

// Watch takes in an entry VM's watch. reply is called once, unless a later watch of the same VM comes first.
func (n *Notifier) Watch(from string, w *wire.Watch, reply func(*wire.WatchReply)) {
	now := n.cfg.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	v := n.watchers[from]
	if v == nil || v.presence.Incarnation != w.Incarnation {
		v = &watcher{presence: Presence{Name: from, Incarnation: w.Incarnation, Since: now}}
		n.watchers[from] = v
		n.cfg.Log.Info("Entry VM is heard.", "name", from, "incarnation", w.Incarnation, "failureDomain", w.FailureDomain)
	}
	v.presence.FailureDomain, v.presence.Eligible = w.FailureDomain, w.Eligible
	v.heardAt, v.lostAt = now, time.Time{}
	v.watch, v.reply, v.rooms = w, reply, w.Rooms
	if n.hasNews(w) {
		n.answer(v)
	}
}

// Lost notes that the connection of an entry VM has ended.
func (n *Notifier) Lost(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if v := n.watchers[from]; v != nil {
		// The watch stays open: the VM may have connected again before this connection's end was noticed.
		v.lostAt = n.cfg.Now()
		n.cfg.Log.Info("Connection of an entry VM ended.", "name", from, "incarnation", v.presence.Incarnation)
	}
}

// Report takes in a worker's report, and tells entry VMs at once where a worker leaves. It returns false for an old one.
func (n *Notifier) Report(w *wire.WorkerReport) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.table.Sequence()
	ok := n.table.Report(n.cfg.Now(), w)
	if n.table.Sequence() != before {
		n.cfg.Log.Info("Worker report.", "id", w.Id, "born", w.Born, "sequence", w.Sequence, "address", w.Address,
			"failureDomain", w.FailureDomain, "draining", w.Draining, "gone", w.Gone)
		if w.Draining || w.Gone {
			n.flush()
		}
	}
	return ok
}

// Leave notes that a worker has ended.
func (n *Notifier) Leave(id string) {
	n.mu.Lock()
	held := n.table.Find(id)
	n.mu.Unlock()
	if held != nil && !held.Gone {
		n.Report(&wire.WorkerReport{
			Id: id, Born: held.Born, Gone: true, Service: held.Service, Address: held.Address, FailureDomain: held.FailureDomain,
		})
	}
}

// Publish replaces the agreed state. confirmed says that it is known to be the newest, and leads that this voter leads.
func (n *Notifier) Publish(state *wire.AgreedState, confirmed, leads bool, voters []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	changed := n.state.GetIndex() != state.GetIndex() || confirmed && !n.confirmed
	n.state, n.confirmed, n.leads, n.voters = state, confirmed, leads, voters
	if changed {
		n.flush()
	}
}

// Presences returns what is known of each entry VM.
func (n *Notifier) Presences() []Presence {
	now := n.cfg.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []Presence
	for _, v := range n.watchers {
		p := v.presence
		p.Alive = now.Sub(v.heardAt) < AliveFor && (v.lostAt.IsZero() || now.Sub(v.lostAt) < lostGrace)
		out = append(out, p)
	}
	return out
}

func (n *Notifier) flush() {
	now := n.cfg.Now()
	n.table.Expire(now, n.cfg.ForgetAfter)
	for _, v := range n.watchers {
		if v.reply != nil && (n.hasNews(v.watch) || now.Sub(v.heardAt) >= n.wait()) {
			n.answer(v)
		}
	}
}

// wait is how long a watch waits for news. A voter that begins to lead answers at once what has waited for longer, and so
// hears all entry VMs anew.
func (n *Notifier) wait() time.Duration {
	if n.confirmed && !n.leads {
		return followerWait
	}
	return WatchWait
}

// hasNews reports whether there is something newer than what the sender of a watch holds. Reports of other failure
// domains' workers are nothing to it.
func (n *Notifier) hasNews(w *wire.Watch) bool {
	return n.state.GetIndex() > w.Index || n.table.SequenceIn(w.FailureDomain) > n.heldReports(w)
}

// heldReports is the number of this voter's last report that the sender of a watch holds.
func (n *Notifier) heldReports(w *wire.Watch) uint64 {
	if w.VoterIncarnation != n.cfg.Incarnation {
		return 0
	}
	return w.ReportSequence
}

func (n *Notifier) answer(v *watcher) {
	r := &wire.WatchReply{
		VoterIncarnation: n.cfg.Incarnation, Confirmed: n.confirmed, ReportSequence: n.table.Sequence(),
		Reports: n.table.Since(n.heldReports(v.watch), v.watch.FailureDomain), Voters: n.voters,
		WaitMillis: uint32(n.wait().Milliseconds()),
	}
	if n.state.GetIndex() > v.watch.Index {
		r.State = n.stateSince(v.watch)
	}
	r.Rooms = n.roomsFor(v.presence.FailureDomain)
	reply := v.reply
	v.reply = nil
	reply(r)
}

// stateSince returns what the sender of a watch does not hold: the configuration where it is newer, and the grants since
// the index held. A grant's fence is the index at which it was agreed.
func (n *Notifier) stateSince(w *wire.Watch) *wire.AgreedState {
	s := &wire.AgreedState{Index: n.state.Index}
	if n.state.Config.GetVersion() > w.ConfigVersion {
		s.Config = n.state.Config
	}
	for _, g := range n.state.Grants {
		if g.Fence > w.Index {
			s.Grants = append(s.Grants, g)
		}
	}
	return s
}

// roomsFor returns cells with room for an entry VM of a failure domain. Of many it names some, others each time, as the
// watchers come in random order.
func (n *Notifier) roomsFor(failureDomain string) []*wire.CellRoom {
	now := n.cfg.Now()
	var near, far []*wire.CellRoom
	for _, v := range n.watchers {
		switch {
		case now.Sub(v.heardAt) >= 2*WatchWait:
		case v.presence.FailureDomain == failureDomain:
			near = append(near, v.rooms...)
		default:
			far = append(far, v.rooms...)
		}
	}
	return append(near[:min(len(near), nearRooms)], far[:min(len(far), farRooms)]...)
}
