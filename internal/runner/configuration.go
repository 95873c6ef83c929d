package runner

import (
	"path/filepath"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"clementineyard/internal/auditor"
	"clementineyard/internal/configurer"
	"clementineyard/internal/detector"
	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/storer"
	"clementineyard/wire"
)

const (
	// handOverEvery is how often the stop looks whether the leadership of the configuration has moved, and asks again.
	handOverEvery = 100 * time.Millisecond
	// handOverWait bounds this when no other voter can take over; an election takes over then.
	handOverWait = time.Second
)

// ConfigurationStatus is this VM's part in the configuration as the status page shows it.
type ConfigurationStatus struct {
	// Role is leader, voter, learner or subscriber.
	Role string `json:"role"`
	// Leader and Term are the newest that this VM knows; empty and 0 when it knows none.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// MajorityReachable is false while changes made here would be refused; Reason is then noMajority.
	MajorityReachable bool   `json:"majorityReachable"`
	Reason            string `json:"reason,omitempty"`
	// Source is the VM that this VM subscribes to.
	Source string `json:"source,omitempty"`
	// ConfigurationAgeMilliseconds is how old the last word from the leader is; -1 when there was none.
	ConfigurationAgeMilliseconds int64 `json:"configurationAgeMilliseconds"`
}

// Initialise creates a voter's first identity in its data folder.
func Initialise(settingsFile string, set *parser.Settings) error {
	if !slices.Contains(set.Voters, set.Name) || set.DataFolder == "" {
		return eris.Errorf("%s is not a voter with a data folder", set.Name)
	}
	return storer.Initialise(dataFolder(settingsFile, set))
}

func dataFolder(settingsFile string, set *parser.Settings) string {
	if filepath.IsAbs(set.DataFolder) {
		return set.DataFolder
	}
	return filepath.Join(filepath.Dir(settingsFile), set.DataFolder)
}

func (r *Runner) buildConfigurer() error {
	r.auditor = &auditor.Auditor{}
	log := r.log.With("part", "configurer")
	c := configurer.Config{
		Name: r.set.Name, FailureDomain: r.set.FailureDomain, EntryVMs: r.set.EntryVMs, Voters: r.set.Voters,
		ElectionTimeout: r.set.Timing.ElectionTimeout.Duration, Seed: r.incarnation, Now: time.Now,
		Send: func(peer string, e *wire.Envelope) bool { return r.messenger.Send(peer, messenger.Control, e) },
		Call: func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			r.messenger.Call(peer, messenger.Control, e, deadline, done)
		},
		Connected: r.messenger.Connected,
		Apply: func(c *configurer.Configuration) {
			r.dispatcher.Configure(c.Scheduled())
			log.Info("Configuration is in force.", "version", c.Version)
		},
		Audit: r.auditor, Log: log,
	}
	if slices.Contains(r.set.Voters, r.set.Name) {
		if r.set.DataFolder == "" {
			return eris.Errorf("voter %s needs a data folder", r.set.Name)
		}
		s, st, err := storer.Open(dataFolder(r.cfg.SettingsFile, r.set), r.log.With("part", "storer"))
		if err != nil {
			return err
		}
		c.Store, c.State = s, st
	}
	r.configurer = configurer.New(c)
	return nil
}

// propose passes a change to the leader.
func (r *Runner) propose(ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult)) {
	r.configurer.Propose(ch, deadline, done)
}

func (r *Runner) audit() any { return r.auditor.Render(r.configurer.Audit()) }

// ready answers the load balancer's question.
func (r *Runner) ready() (bool, string) {
	switch {
	case r.stopping.Load():
		return false, "stopping"
	case !r.configurer.Ready():
		return false, "configuration is not known yet"
	case !r.recordsReady():
		return false, "no owner of the failure domain accepts keys yet"
	case r.configurer.Current().Version == 0:
		return true, "no configuration yet"
	}
	return true, ""
}

// describeConfiguration fills in what this VM says of its configuration.
func (r *Runner) describeConfiguration(p *wire.Ping) {
	s := r.configurer.Status()
	p.ConfigVersion, p.Leader, p.Term = r.configurer.Current().Version, s.Leader, s.Term
	p.Ready, _ = r.ready()
}

// configurationStatus describes this VM. One without a vote knows leader and term from the pings of the voters.
func (r *Runner) configurationStatus(now time.Time, peers []detector.Peer) ConfigurationStatus {
	s := r.configurer.Status()
	out := ConfigurationStatus{
		Role: s.Role, Leader: s.Leader, Term: s.Term, MajorityReachable: s.Majority, Source: s.Source,
		ConfigurationAgeMilliseconds: -1,
	}
	if !s.HeardAt.IsZero() {
		out.ConfigurationAgeMilliseconds = now.Sub(s.HeardAt).Milliseconds()
	}
	for _, p := range peers {
		if p.Reachable && p.Last.Term > out.Term && p.Last.Leader != "" {
			out.Term, out.Leader = p.Last.Term, p.Last.Leader
		}
	}
	if !out.MajorityReachable {
		out.Reason = "noMajority"
	}
	return out
}

// roleOf tells another VM's role from its ping, which does not tell a learner from a voter.
func (r *Runner) roleOf(p detector.Peer) string {
	switch {
	case p.Last.Leader == p.Name:
		return "leader"
	case slices.Contains(r.set.Voters, p.Name):
		return "voter"
	}
	return "subscriber"
}

// handOverConfiguration gives the leadership of the configuration away before a stop, and waits for it until the
// deadline or handOverWait. A VM that does not lead returns at once.
func (r *Runner) handOverConfiguration(deadline time.Time) {
	if by := time.Now().Add(handOverWait); by.Before(deadline) {
		deadline = by
	}
	for r.configurer.Status().Role == "leader" && time.Now().Before(deadline) {
		r.configurer.HandOver()
		time.Sleep(handOverEvery)
	}
}
