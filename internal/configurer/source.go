package configurer

import (
	"slices"
	"time"

	"clementineyard/wire"
)

const (
	// sourceLost is how long a source may be silent: two of its answers are missing then.
	sourceLost = 2*resubscribeEvery + 100*time.Millisecond
	// confirmedFor is how long a confirmation lasts; a source without one is tried in turn with the others.
	confirmedFor = time.Second
	// avoidFor is how long a source that failed is avoided.
	avoidFor = 3 * time.Second
)

// source is this VM's own subscription.
type source struct {
	// voters are the voters, those of the own failure domain first; candidates are the possible sources in order.
	voters, candidates []string
	// trusted counts the candidates whose confirmations count. The rest are VMs of the own failure domain with a later
	// name: they may subscribe here, and two VMs must not confirm each other.
	trusted int
	// domain lists the other entry VMs of the own failure domain.
	domain []string

	name                 string
	since, heardAt, next time.Time
	confirmedAt          time.Time
	avoid                map[string]time.Time
}

// readiness collects the versions that others told a VM without a synced configuration.
type readiness struct {
	// told holds the version by VM; of a voter only when confirmed.
	told map[string]uint64
	// heard holds the same for the VMs of the own failure domain, confirmed or not.
	heard map[string]uint64
	next  time.Time
}

func newSource(cfg Config) source {
	s := source{avoid: map[string]time.Time{}}
	domains := map[string]string{}
	for _, v := range cfg.EntryVMs {
		domains[v.Name] = v.FailureDomain
		if v.FailureDomain == cfg.FailureDomain && v.Name != cfg.Name {
			s.domain = append(s.domain, v.Name)
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
	for _, v := range s.domain {
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

func (s *source) fresh(now time.Time) bool {
	return !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) < confirmedFor
}

// choose returns the first candidate that is connected and not avoided.
func (s *source) choose(now time.Time, connected func(string) bool) string {
	best := ""
	for _, v := range s.candidates {
		if !connected(v) {
			continue
		}
		if now.After(s.avoid[v]) {
			return v
		}
		if best == "" || s.avoid[v].Before(s.avoid[best]) {
			best = v
		}
	}
	return best
}

// check avoids a source that is silent, or that hears no majority while others might.
func (s *source) check(now time.Time) {
	if s.name == "" {
		return
	}
	silent := now.Sub(s.since) > sourceLost && now.Sub(s.heardAt) > sourceLost
	unconfirmed := now.Sub(s.since) > confirmedFor && !s.fresh(now)
	if silent || unconfirmed {
		s.avoid[s.name] = now.Add(avoidFor)
	}
}

// subscribe keeps this VM's subscription alive, or asks everyone whose word makes this VM ready.
func (c *Configurer) subscribe(now time.Time) {
	if !c.ready.Load() && !now.Before(c.readiness.next) {
		c.readiness.next = now.Add(resubscribeEvery)
		for _, v := range c.source.voters {
			c.ask(v)
		}
		for _, v := range c.source.domain {
			if !slices.Contains(c.source.voters, v) {
				c.ask(v)
			}
		}
	}
	if c.votes(now) {
		c.source.name = ""
		return
	}
	s := &c.source
	s.check(now)
	if to := s.choose(now, c.cfg.Connected); to != s.name {
		s.name, s.since, s.next = to, now, now
	}
	if s.name != "" && !now.Before(s.next) {
		s.next = now.Add(resubscribeEvery)
		c.ask(s.name)
	}
}

func (c *Configurer) ask(to string) {
	m := &wire.ConfigSubscription{HaveVersion: c.held.Version}
	c.cfg.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigSubscription{ConfigSubscription: m}})
}

// updated takes an update, also one of a former source: versions only grow.
func (c *Configurer) updated(from string, u *wire.ConfigUpdate) {
	now := c.cfg.Now()
	complete := c.advance(u)
	s := &c.source
	if from == s.name {
		s.heardAt = now
		if !complete {
			s.next = now
		}
		if i := slices.Index(s.candidates, from); u.Confirmed && i >= 0 && i < s.trusted {
			s.confirmedAt = now
		}
	}
	if !c.ready.Load() {
		c.told(from, u)
	}
}

// told counts whose version is known. This VM is ready when a majority of the voters, or every other entry VM of its
// failure domain, has told its version and the newest of them is held here.
func (c *Configurer) told(from string, u *wire.ConfigUpdate) {
	r := &c.readiness
	if r.heard == nil {
		r.heard = map[string]uint64{}
	}
	r.heard[from] = u.Version
	if slices.Contains(c.cfg.Voters, from) && u.Confirmed {
		r.told[from] = u.Version
	}
	newest, all := uint64(0), len(c.source.domain) > 0
	for _, v := range r.heard {
		newest = max(newest, v)
	}
	for _, v := range c.source.domain {
		_, ok := r.heard[v]
		all = all && ok
	}
	if c.held.Version < newest || !all && len(r.told) <= len(c.cfg.Voters)/2 {
		return
	}
	c.cfg.Log.Info("Configuration is known.", "version", c.held.Version, "voters", len(r.told), "ownDomain", all)
	c.ready.Store(true)
	c.enforce()
}
