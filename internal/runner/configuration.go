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
	// handOverInterval is the interval at which a stopping leader of the configuration asks another voter to take over.
	handOverInterval = 100 * time.Millisecond
	// handOverTimeout bounds the hand-over. If no voter has taken over by then, an election follows.
	handOverTimeout = time.Second
)

// ConfigurationStatus is this VM's view of the configuration service, as shown on the status page.
type ConfigurationStatus struct {
	// Role is leader, voter, learner or subscriber.
	Role string `json:"role"`
	// Leader and Term are the latest that this VM knows, or "" and 0.
	Leader string `json:"leader"`
	Term   uint64 `json:"term"`
	// MajorityReachable is false while a change proposed here would be refused. Reason is noMajority then.
	MajorityReachable bool   `json:"majorityReachable"`
	Reason            string `json:"reason,omitempty"`
	// Source is the VM from which this VM gets configurations as a subscriber.
	Source string `json:"source,omitempty"`
	// ConfigurationAgeMilliseconds is the time since the last message from the leader, or -1 if there was none.
	ConfigurationAgeMilliseconds int64 `json:"configurationAgeMilliseconds"`
}

// Initialise creates the identity of a new voter in its data folder. It returns an error if this VM is not a voter or
// has no data folder.
func Initialise(settingsFile string, settings *parser.Settings) error {
	if !slices.Contains(settings.Voters, settings.Name) || settings.DataFolder == "" {
		return eris.Errorf("initialise voter: %s is not a voter with a data folder", settings.Name)
	}
	return storer.Initialise(dataFolder(settingsFile, settings))
}

// dataFolder returns the path of the data folder. A relative one is relative to the folder of the settings file.
func dataFolder(settingsFile string, settings *parser.Settings) string {
	if filepath.IsAbs(settings.DataFolder) {
		return settings.DataFolder
	}
	return filepath.Join(filepath.Dir(settingsFile), settings.DataFolder)
}

func (r *Runner) buildConfigurer() error {
	r.auditor = &auditor.Auditor{}
	log := r.log.With("part", "configurer")
	c := configurer.Config{
		Name: r.settings.Name, FailureDomain: r.settings.FailureDomain, EntryVMs: r.settings.EntryVMs, Voters: r.settings.Voters,
		ElectionTimeout: r.settings.Timing.ElectionTimeout.Duration, Seed: r.incarnation, Now: time.Now,
		Send: func(peer string, e *wire.Envelope) bool { return r.messenger.Send(peer, messenger.ControlStream, e) },
		Call: func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			r.messenger.Call(peer, messenger.ControlStream, e, deadline, done)
		},
		Connected: r.messenger.Connected,
		Apply: func(c *configurer.Configuration) {
			r.dispatcher.SetEvacuated(c.Evacuated(r.settings.FailureDomain))
			r.dispatcher.Configure(c.SchedulerServices())
			log.Info("This VM applied the configuration.", "version", c.Version, "evacuated", c.EvacuatedDomains())
		},
		Audit: r.auditor, Log: log,
	}
	if slices.Contains(r.settings.Voters, r.settings.Name) {
		if r.settings.DataFolder == "" {
			return eris.Errorf("voter %s needs a data folder", r.settings.Name)
		}
		s, st, err := storer.Open(dataFolder(r.cfg.SettingsFile, r.settings), r.log.With("part", "storer"))
		if err != nil {
			return err
		}
		c.Store, c.State = s, st
	}
	r.configurer = configurer.New(c)
	return nil
}

// propose passes a change to the configurer, which sends it to the leader.
func (r *Runner) propose(ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult)) {
	r.configurer.Propose(ch, deadline, done)
}

// evacuated reports whether a failure domain is evacuated by the configuration in force.
func (r *Runner) evacuated(failureDomain string) bool {
	return r.configurer.Current().Evacuated(failureDomain)
}

// keyHome returns the failure domain that new keys name. While all failure domains are evacuated it is the own one, whose owner
// refuses the submissions.
func (r *Runner) keyHome() string {
	if home, ok := r.router.HomeForNewWork(); ok {
		return home
	}
	return r.settings.FailureDomain
}

func (r *Runner) audit() any { return r.auditor.Trail(r.configurer.Audit()) }

// ready reports whether the load balancer may send requests to this VM, and the reason or a remark.
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

// addConfigurationToPing sets the fields of a ping about the configuration.
func (r *Runner) addConfigurationToPing(p *wire.Ping) {
	s := r.configurer.Status()
	p.ConfigVersion, p.Leader, p.Term = r.configurer.Current().Version, s.Leader, s.Term
	p.Ready, _ = r.ready()
}

// configurationStatus returns this VM's view. A VM that is not a voter knows leader and term from the pings of voters.
func (r *Runner) configurationStatus(now time.Time, peers []detector.Peer) ConfigurationStatus {
	s := r.configurer.Status()
	out := ConfigurationStatus{
		Role: s.Role, Leader: s.Leader, Term: s.Term, MajorityReachable: s.MajorityReachable, Source: s.Source,
		ConfigurationAgeMilliseconds: -1,
	}
	if !s.ConfirmedAt.IsZero() {
		out.ConfigurationAgeMilliseconds = now.Sub(s.ConfirmedAt).Milliseconds()
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

// peerRole returns the role of another VM by its ping, which does not distinguish a learner from a voter.
func (r *Runner) peerRole(p detector.Peer) string {
	switch {
	case p.Last.Leader == p.Name:
		return "leader"
	case slices.Contains(r.settings.Voters, p.Name):
		return "voter"
	}
	return "subscriber"
}

// handOverConfiguration hands the leadership of the configuration over to another voter before a stop. It waits until
// the deadline or for handOverTimeout, and returns at once if this VM is not the leader.
func (r *Runner) handOverConfiguration(deadline time.Time) {
	if limit := time.Now().Add(handOverTimeout); limit.Before(deadline) {
		deadline = limit
	}
	for r.configurer.Status().Role == "leader" && time.Now().Before(deadline) {
		r.configurer.TransferLeadership()
		time.Sleep(handOverInterval)
	}
}
