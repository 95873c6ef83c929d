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
	// electionTimeout is ten times the slowest usual sync (9 ms) and several round trips between failure domains.
	electionTimeout = 500 * time.Millisecond
	// replaceAfter is how long a voter may be silent before a learner takes its place. A frozen or restarted voter is
	// usually back within this time.
	replaceAfter = 6 * time.Second
	// reportsKept times the interval of reports is how long a silent worker's report is kept.
	reportsKept = 4
)

// Config constructs a Voter.
type Config struct {
	// Name is this VM's name: its IP address.
	Name        string
	Incarnation uint64
	// Seeds names the voters of the first start, and later any voters.
	Seeds []string
	// FirstStart is true when the whole fleet starts for the first time.
	FirstStart bool
	Folder     string
	// Wanted is the number of voters to reach.
	Wanted int
	// ReportEvery is the interval of workers' reports.
	ReportEvery time.Duration
	// Resolve returns the address of another VM's messenger.
	Resolve func(name string) string
	Now     func() time.Time
	Log     *slog.Logger
}

// Voter is safe for concurrent use.
type Voter struct {
	cfg         Config
	messenger   *messenger.Messenger
	notifier    *notifier.Notifier
	coordinator *coordinator.Coordinator
}

// New returns a Voter; Run starts it.
func New(cfg Config) *Voter {
	v := &Voter{cfg: cfg}
	v.notifier = notifier.New(notifier.Config{
		Incarnation: cfg.Incarnation, ForgetAfter: reportsKept * cfg.ReportEvery, Now: cfg.Now, Log: cfg.Log,
	})
	v.messenger = messenger.New(messenger.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Resolve: cfg.Resolve, Handle: v.handle, Log: cfg.Log,
		Lost: v.notifier.Lost,
	})
	found := false
	for _, s := range cfg.Seeds {
		found = found || cfg.FirstStart && s == cfg.Name
	}
	v.coordinator = coordinator.New(coordinator.Config{
		Name: cfg.Name, Incarnation: cfg.Incarnation, Founders: cfg.Seeds, Found: found, Folder: cfg.Folder,
		Wanted: cfg.Wanted, ElectionTimeout: electionTimeout, ReplaceAfter: replaceAfter, Notifier: v.notifier,
		Now: cfg.Now, Log: cfg.Log,
		Send: func(to string, e *wire.Envelope) { v.messenger.Send(to, messenger.Control, e) },
		Call: func(to string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			v.messenger.Call(to, messenger.Relay, e, deadline, done)
		},
	})
	return v
}

// Run serves other VMs on ln until the context ends.
func (v *Voter) Run(ctx context.Context, ln net.Listener) {
	var wg sync.WaitGroup
	wg.Go(func() { v.notifier.Run(ctx) })
	wg.Go(func() { v.coordinator.Run(ctx) })
	wg.Go(func() { v.messenger.Run(ctx, ln) })
	wg.Wait()
}

// AddSeeds names VMs that may be voters, after the settings have changed.
func (v *Voter) AddSeeds(names []string) { v.coordinator.SetContacts(names) }

// Report takes in a worker's report.
func (v *Voter) Report(w *wire.WorkerReport) bool { return v.notifier.Report(w) }

// Leave notes that a worker has ended.
func (v *Voter) Leave(id string) { v.notifier.Leave(id) }

// Propose asks the voters to agree on a command; done is called once, at the deadline at the latest.
func (v *Voter) Propose(c *wire.AgreedCommand, deadline time.Time, done func(*wire.AgreedResult)) {
	v.coordinator.Propose(c, deadline, done)
}

// Stop begins a planned stop: another voter is to lead.
func (v *Voter) Stop() { v.coordinator.HandOver() }

func (v *Voter) handle(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	if w := e.GetWatch(); w != nil {
		v.notifier.Watch(from, w, func(r *wire.WatchReply) {
			reply(&wire.Envelope{Body: &wire.Envelope_WatchReply{WatchReply: r}})
		})
		return
	}
	v.coordinator.Handle(from, e, reply)
}
