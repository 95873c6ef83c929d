package configurer

import (
	"slices"
	"time"

	"clementineyard/wire"
)

const (
	// sourceTimeout is how long a source may be silent: by then two of its answers are missing.
	sourceTimeout = 2*resubscribeInterval + 100*time.Millisecond
	// confirmationTTL is how long a confirmation stays valid. A source that gives none for longer is avoided in favour of
	// the others.
	confirmationTTL = time.Second
	// avoidanceTime is how long a failed source is avoided.
	avoidanceTime = 3 * time.Second
)

// source is this VM's subscription to the updates of another VM.
type source struct {
	// voters names the other voters, those of this VM's failure domain first; candidates names the possible sources in
	// order of preference.
	voters, candidates []string
	// trusted is the number of leading candidates whose confirmations count. The others are VMs of this failure domain
	// whose names sort after this VM's: they may subscribe to this VM, and two VMs must not confirm each other.
	trusted int
	// domainPeers names the other entry VMs of this VM's failure domain.
	domainPeers []string

	name                                      string
	selectedAt, lastUpdateAt, nextSubscribeAt time.Time
	confirmedAt                               time.Time
	avoidUntil                                map[string]time.Time
}

// readiness collects the versions reported by other VMs, for a VM that has started without a stored configuration.
type readiness struct {
	// voterVersions holds the confirmed versions of the voters, by VM name.
	voterVersions map[string]uint64
	// versions holds the last version of each VM that has reported one, confirmed or not.
	versions  map[string]uint64
	nextAskAt time.Time
}

func newSource(cfg Config) source {
	s := source{avoidUntil: map[string]time.Time{}}
	domains := map[string]string{}
	for _, v := range cfg.EntryVMs {
		domains[v.Name] = v.FailureDomain
		if v.FailureDomain == cfg.FailureDomain && v.Name != cfg.Name {
			s.domainPeers = append(s.domainPeers, v.Name)
		}
	}
	var near, far, before, after []string
	for _, v := range cfg.Voters {
		switch {
		case v == cfg.Name:
		case domains[v] == cfg.FailureDomain:
			near = append(near, v)
		default:
			far = append(far, v)
		}
	}
	for _, v := range s.domainPeers {
		switch {
		case slices.Contains(cfg.Voters, v):
		case v < cfg.Name:
			before = append(before, v)
		default:
			after = append(after, v)
		}
	}
	s.voters = slices.Concat(near, far)
	s.candidates = slices.Concat(near, before, far, after)
	s.trusted = len(s.candidates) - len(after)
	return s
}

func (s *source) recentlyConfirmed(now time.Time) bool {
	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) < confirmationTTL
}

// choose returns the first candidate that is connected and not avoided; where all connected ones are avoided, the one
// whose avoidance ends first; "" where none is connected.
func (s *source) choose(now time.Time, connected func(string) bool) string {
	best := ""
	for _, v := range s.candidates {
		if !connected(v) {
			continue
		}
		if now.After(s.avoidUntil[v]) {
			return v
		}
		if best == "" || s.avoidUntil[v].Before(s.avoidUntil[best]) {
			best = v
		}
	}
	return best
}

// avoidFailed avoids the current source for a while if it is silent, or if it confirms nothing: others may be able to.
func (s *source) avoidFailed(now time.Time) {
	if s.name == "" {
		return
	}
	silent := now.Sub(s.selectedAt) > sourceTimeout && now.Sub(s.lastUpdateAt) > sourceTimeout
	unconfirmed := now.Sub(s.selectedAt) > confirmationTTL && !s.recentlyConfirmed(now)
	if silent || unconfirmed {
		s.avoidUntil[s.name] = now.Add(avoidanceTime)
	}
}

// subscribe renews this VM's subscription. While this VM is not ready, it also subscribes to all VMs whose versions count
// towards its readiness.
func (c *Configurer) subscribe(now time.Time) {
	if !c.ready.Load() && !now.Before(c.readiness.nextAskAt) {
		c.readiness.nextAskAt = now.Add(resubscribeInterval)
		for _, v := range c.source.voters {
			c.sendSubscription(v)
		}
		for _, v := range c.source.domainPeers {
			if !slices.Contains(c.source.voters, v) {
				c.sendSubscription(v)
			}
		}
	}
	if c.isVoter(now) {
		c.source.name = ""
		return
	}
	s := &c.source
	s.avoidFailed(now)
	if to := s.choose(now, c.cfg.Connected); to != s.name {
		s.name, s.selectedAt, s.nextSubscribeAt = to, now, now
	}
	if s.name != "" && !now.Before(s.nextSubscribeAt) {
		s.nextSubscribeAt = now.Add(resubscribeInterval)
		c.sendSubscription(s.name)
	}
}

func (c *Configurer) sendSubscription(to string) {
	m := &wire.ConfigSubscription{HaveVersion: c.latest.Version}
	c.cfg.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigSubscription{ConfigSubscription: m}})
}

// handleUpdate handles an update, even one from a former source: versions never decrease.
func (c *Configurer) handleUpdate(from string, u *wire.ConfigUpdate) {
	now := c.cfg.Now()
	complete := c.applyUpdate(u)
	s := &c.source
	if from == s.name {
		s.lastUpdateAt = now
		if !complete {
			s.nextSubscribeAt = now
		}
		if i := slices.Index(s.candidates, from); u.Confirmed && i >= 0 && i < s.trusted {
			s.confirmedAt = now
		}
	}
	if !c.ready.Load() {
		c.recordVersion(from, u)
	}
}

// recordVersion records the version that another VM has reported. This VM becomes ready when a majority of the voters,
// or every other entry VM of its failure domain, has reported its version, and the newest of them is known here.
func (c *Configurer) recordVersion(from string, u *wire.ConfigUpdate) {
	r := &c.readiness
	if r.versions == nil {
		r.versions = map[string]uint64{}
	}
	r.versions[from] = u.Version
	if slices.Contains(c.cfg.Voters, from) && u.Confirmed {
		r.voterVersions[from] = u.Version
	}
	newest, all := uint64(0), len(c.source.domainPeers) > 0
	for _, v := range r.versions {
		newest = max(newest, v)
	}
	for _, v := range c.source.domainPeers {
		_, ok := r.versions[v]
		all = all && ok
	}
	if c.latest.Version < newest || !all && len(r.voterVersions) <= len(c.cfg.Voters)/2 {
		return
	}
	c.cfg.Log.Info("This VM has the current configuration and is now ready.", "version", c.latest.Version, "voters", len(r.voterVersions), "ownDomain", all)
	c.ready.Store(true)
	c.activate()
}
