package configurer

import (
	"time"

	"clementineyard/internal/parser"
	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

const (
	// recentKept is how many versions back a subscriber gets the difference; further back it gets everything.
	recentKept = 200
	// auditKept bounds the audit trail in memory, as the voters' snapshots do.
	auditKept = 10000
	// auditInSnapshot bounds the audit records in an update that holds everything.
	auditInSnapshot = 1000
	// resubscribeEvery is how often a subscriber repeats its version; each time the source answers.
	resubscribeEvery = 300 * time.Millisecond
	// settleWait is longer than an election and the catching up after it.
	settleWait = 3 * time.Second
	// subscriberLost is how long a source keeps sending to a silent subscriber.
	subscriberLost = 5 * resubscribeEvery
)

// subscriber is a VM that this VM sends updates to.
type subscriber struct {
	// have is the version that it holds once the messages sent so far have arrived.
	have    uint64
	heardAt time.Time
}

// advance takes a newer version. It reports false when the update is a difference from a version not held here. An
// update holds one audit record for each version it covers, so that its base is known.
func (c *Configurer) advance(u *wire.ConfigUpdate) bool {
	if u.Version <= c.held.Version {
		return true
	}
	if !u.Whole && c.held.Version+uint64(len(u.Audit)) < u.Version {
		return false
	}
	next := &Configuration{Version: u.Version, Services: map[string]*parser.TaskFile{}, Files: map[string][]byte{}}
	if !u.Whole {
		for s, b := range c.held.Files {
			next.Files[s], next.Services[s] = b, c.held.Services[s]
		}
	}
	for _, f := range u.Files {
		c.putFile(next, f)
	}
	c.keepRecent(u)
	c.held = next
	c.push()
	c.enforce()
	return true
}

func (c *Configurer) putFile(next *Configuration, f *wire.ServiceFile) {
	delete(next.Files, f.Service)
	delete(next.Services, f.Service)
	if f.Removed {
		return
	}
	next.Files[f.Service] = f.Content
	t, err := parser.ParseTaskFile(f.Service, f.Content)
	if err != nil {
		// Every change was checked before it was proposed; another release may have had other rules.
		c.cfg.Log.Error("Task file cannot be used.", "service", f.Service, "error", err)
		return
	}
	next.Services[f.Service] = t
}

// keepRecent remembers the update for subscribers that hold an older version.
func (c *Configurer) keepRecent(u *wire.ConfigUpdate) {
	news := u.Audit
	if over := c.held.Version + uint64(len(news)) - u.Version; !u.Whole && over > 0 {
		news = news[over:]
	}
	if u.Whole {
		c.audit = append([]*wire.AuditRecord(nil), news...)
	} else {
		c.audit = append(c.audit, news...)
	}
	c.audit = c.audit[max(0, len(c.audit)-auditKept):]
	trail := c.audit
	c.accepted.Store(&trail)
	if u.Whole || len(news) != 1 {
		// A joined update cannot be split into its versions.
		c.recent = nil
		return
	}
	c.recent = append(c.recent, &wire.ConfigUpdate{Version: u.Version, Files: u.Files, Audit: news})
	if len(c.recent) > recentKept {
		c.recent = append([]*wire.ConfigUpdate(nil), c.recent[1:]...)
	}
}

// enforce puts the held version into force once this VM is ready.
func (c *Configurer) enforce() {
	if !c.ready.Load() || c.held.Version <= c.Current().Version {
		return
	}
	c.current.Store(c.held)
	if c.running {
		c.cfg.Apply(c.held)
	}
}

// since returns the update from a version to the one held.
func (c *Configurer) since(have uint64) *wire.ConfigUpdate {
	u := &wire.ConfigUpdate{Version: c.held.Version, Confirmed: c.confirmed(c.cfg.Now())}
	if have >= c.held.Version {
		return u
	}
	behind := c.held.Version - have
	if behind > uint64(len(c.recent)) {
		u.Whole = true
		for s, b := range c.held.Files {
			u.Files = append(u.Files, &wire.ServiceFile{Service: s, Content: b})
		}
		u.Audit = c.audit[max(0, len(c.audit)-auditInSnapshot):]
		return u
	}
	at := map[string]int{}
	for _, r := range c.recent[uint64(len(c.recent))-behind:] {
		u.Audit = append(u.Audit, r.Audit...)
		for _, f := range r.Files {
			if i, ok := at[f.Service]; ok {
				u.Files[i] = f
				continue
			}
			at[f.Service] = len(u.Files)
			u.Files = append(u.Files, f)
		}
	}
	return u
}

// push sends the version held to every subscriber once.
func (c *Configurer) push() {
	if !c.ready.Load() {
		return
	}
	for name, s := range c.subscribers {
		if s.have < c.held.Version {
			c.sendUpdate(name, s)
		}
	}
}

func (c *Configurer) sendUpdate(to string, s *subscriber) {
	u := c.since(s.have)
	if c.cfg.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigUpdate{ConfigUpdate: u}}) {
		s.have = max(s.have, u.Version)
	}
}

// serve answers a subscription. A VM that is not ready says nothing: its version may be older than one in force.
func (c *Configurer) serve(from string, have uint64) {
	if !c.ready.Load() || !c.settled() {
		return
	}
	s := c.subscribers[from]
	if s == nil {
		s = &subscriber{}
		c.subscribers[from] = s
	}
	s.have, s.heardAt = have, c.cfg.Now()
	c.sendUpdate(from, s)
}

// settled reports whether this VM's word may count towards another one's readiness. A voter that has just restarted may
// hold an older version than the asking VM held before: it first catches up, or finds that no leader is there.
func (c *Configurer) settled() bool {
	now := c.cfg.Now()
	if c.voter == nil || c.caughtUp {
		return true
	}
	c.caughtUp = c.confirmed(now) || now.Sub(c.started) > settleWait
	return c.caughtUp
}

func (c *Configurer) dropSilent(now time.Time) {
	for name, s := range c.subscribers {
		if now.Sub(s.heardAt) > subscriberLost {
			delete(c.subscribers, name)
		}
	}
}

// confirmed reports whether this VM's version is known to be the newest, up to the time that messages take.
func (c *Configurer) confirmed(now time.Time) bool {
	if c.votes(now) {
		return c.voter.confirmed(now)
	}
	return c.ready.Load() && c.source.fresh(now)
}

// votes reports whether this VM gets versions from the log and not from a source.
func (c *Configurer) votes(now time.Time) bool {
	return c.voter != nil && c.voter.r.Status(now).Role != replicator.Learner
}

func (c *Configurer) updateStatus(now time.Time) {
	s := &Status{Role: "subscriber", Source: c.source.name, HeardAt: c.source.confirmedAt, Majority: c.source.fresh(now)}
	if c.voter != nil {
		r := c.voter.r.Status(now)
		s.Leader, s.Term = r.Leader, r.Term
		switch {
		case !r.Listed:
			s.Role = "learner"
		case r.Role == replicator.Leader:
			s.Role = "leader"
		default:
			s.Role = "voter"
		}
		if r.Role != replicator.Learner {
			s.Majority, s.HeardAt, s.Source = r.Majority, r.LeaderHeardAt, ""
		}
	}
	c.status.Store(s)
}
