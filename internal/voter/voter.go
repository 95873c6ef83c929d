package voter

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"time"

	"clementineyard/internal/coordinator"
	"clementineyard/internal/messenger"
	"clementineyard/internal/notifier"
	"clementineyard/wire"
)

const (
	// electionTimeout allows for ten times the slowest usual sync (9 ms) and several round trips between failure domains.
	electionTimeout = 500 * time.Millisecond
	// maxReplaceAfter bounds how long a voter may be silent before a learner replaces it. A frozen or restarted voter is
	// usually back within this time.
	maxReplaceAfter = 6 * time.Second
	// reportIntervalsKept is for how many report intervals the last report of a silent worker is kept.
	reportIntervalsKept = 4
)

// Config holds the parameters of a Voter.
type Config struct {
	// Name is this VM's name: its IP address.
	Name        string
	Incarnation uint64
	// Seeds names the founders at the first start of the fleet, and any voters later.
	Seeds []string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	DataFolder string
	// FailureDomains names the failure domains that the settings state; none where they state none.
	FailureDomains []string
	// TargetVoters is the target number of voters.
	TargetVoters int
	// CatchUpTime is how long after its start a new VM must count as a voter in place of one that is gone, so that another
	// VM may be lost; 0 when none is stated.
	CatchUpTime time.Duration
	// ReportInterval is the interval between two reports of a worker.
	ReportInterval time.Duration
	// Resolve returns the address (IP:port) of another VM's messenger.
	Resolve func(name string) string
	Now     func() time.Time
	Log     *slog.Logger
	// Count adds delta to the counter with the given name; it may be nil.
	Count func(name string, delta int64)
}

// Voter is one voter of a fleet. It is safe for concurrent use.
type Voter struct {
	cfg         Config
	messenger   *messenger.Messenger
	notifier    *notifier.Notifier
	coordinator *coordinator.Coordinator
	directory   *directory
}

// New returns a Voter; Run starts it.
func New(cfg Config) *Voter {
	if cfg.Count == nil {
		cfg.Count = func(string, int64) {}
	}
	v := &Voter{cfg: cfg}
	directory, restored := openDirectory(cfg.DataFolder, cfg.Log, cfg.Count)
	v.directory = directory
	v.notifier = notifier.New(notifier.Config{
		Incarnation: cfg.Incarnation, ForgetAfter: reportIntervalsKept * cfg.ReportInterval, Persist: directory.record, Now: cfg.Now, Log: cfg.Log,
	})
	v.notifier.Restore(restored)
	v.messenger = messenger.New(messenger.Config{
		Now: cfg.Now, Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: v.handle, Log: cfg.Log,
		PeerDisconnected: v.notifier.PeerDisconnected, Count: cfg.Count,
	})
	mayFound := false
	for _, s := range cfg.Seeds {
		mayFound = mayFound || cfg.FirstStart && s == cfg.Name
	}
	v.coordinator = coordinator.New(coordinator.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Founders: cfg.Seeds, MayBootstrap: mayFound, DataFolder: cfg.DataFolder, FailureDomains: cfg.FailureDomains,
		TargetVoters: cfg.TargetVoters, ElectionTimeout: electionTimeout, ReplaceAfter: replaceAfter(cfg.CatchUpTime), Notifier: v.notifier,
		Now: cfg.Now, Log: cfg.Log,
		Send: func(to string, e *wire.Envelope) { v.messenger.Send(to, messenger.ControlStream, e) },
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			v.messenger.Call(to, messenger.RelayStream, e, deadline, done)
		},
	})
	return v
}

// replaceAfter returns how long a voter may be silent before a learner replaces it: half of the time that the settings
// state for a new VM. The other half is for the election of a leader, where the former one is gone, and for the change.
func replaceAfter(catchUpTime time.Duration) time.Duration {
	if catchUpTime <= 0 {
		return maxReplaceAfter
	}
	return min(catchUpTime/2, maxReplaceAfter)
}

// Run serves other VMs on ln until the context ends.
func (v *Voter) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { v.notifier.Run(ctx) })
	wg.Go(func() { v.directory.run(ctx) })
	wg.Go(func() { v.coordinator.Run(ctx) })
	wg.Go(func() { v.messenger.Run(ctx, ln) })
	wg.Wait()
}

// SetSeeds replaces the names of further VMs that may be voters, after the settings have changed.
func (v *Voter) SetSeeds(names []string) { v.coordinator.SetContacts(names) }

// Report passes a worker's report to the notifier. It returns false when the report is outdated.
func (v *Voter) Report(w *wire.WorkerReport) bool { return v.notifier.Report(w) }

// RemoveWorker records that a worker has ended.
func (v *Voter) RemoveWorker(id string) { v.notifier.RemoveWorker(id) }

// Propose replicates a command among the voters. done is called once, at the deadline at the latest.
func (v *Voter) Propose(c *wire.AgreedCommand, deadline time.Time, done func(*wire.AgreedResult)) {
	v.coordinator.Propose(c, deadline, done)
}

// Read reads the agreed state. done is called once, at the deadline at the latest.
func (v *Voter) Read(deadline time.Time, done func(*wire.AgreedResult)) {
	v.coordinator.Read(deadline, done)
}

// Evacuate proposes an operator's order to begin or end the evacuation of a failure domain.
func (v *Voter) Evacuate(o coordinator.EvacuationOrder) { v.coordinator.Evacuate(o) }

// TransferLeadership prepares a planned stop: it starts a transfer of the leadership to another voter.
func (v *Voter) TransferLeadership() { v.coordinator.TransferLeadership() }

func (v *Voter) handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	if w := e.GetWatch(); w != nil {
		v.notifier.Watch(from, w, func(r *wire.WatchReply) {
			reply(&wire.Envelope{Body: &wire.Envelope_WatchReply{WatchReply: r}})
		})
		return
	}
	v.coordinator.Handle(from, e, reply)
}
