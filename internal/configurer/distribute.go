package configurer

import (
	"slices"
	"time"

	"clementineyard/internal/evacuator"
	"clementineyard/internal/parser"
	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

const (
	// maxRecentUpdates is how many versions a subscriber may lag behind and still get the difference. Beyond that it gets
	// the whole configuration.
	maxRecentUpdates = 200
	// maxAuditRecords bounds the audit trail in memory, as the voters' snapshots do.
	maxAuditRecords = 10000
	// maxAuditInWholeUpdate bounds the audit records in an update with the whole configuration.
	maxAuditInWholeUpdate = 1000
	// resubscribeInterval is how often a subscriber repeats its subscription; the source answers each time.
	resubscribeInterval = 300 * time.Millisecond
	// catchUpTimeout is longer than an election and the catching up after it.
	catchUpTimeout = 3 * time.Second
	// subscriberTimeout is how long a source keeps sending updates to a silent subscriber.
	subscriberTimeout = 5 * resubscribeInterval
)

// subscriber is a VM that this VM sends updates to.
type subscriber struct {
	// sentVersion is the version that it holds once the updates sent so far have arrived.
	sentVersion   uint64
	lastContactAt time.Time
}

// applyUpdate updates the latest version. It returns false when the update is a difference from a version that is not
// known here. An update holds one audit record for each version that it covers, which gives its base version.
func (c *Configurer) applyUpdate(u *wire.ConfigUpdate) bool {
	if u.Version <= c.latest.Version {
		return true
	}
	if !u.Whole && c.latest.Version+uint64(len(u.Audit)) < u.Version {
		return false
	}
	next := &Configuration{Version: u.Version, Services: map[string]*parser.TaskFile{}, Files: map[string][]byte{}}
	if !u.Whole {
		for s, b := range c.latest.Files {
			next.Files[s], next.Services[s] = b, c.latest.Services[s]
		}
		next.Evacuations = c.latest.Evacuations
	}
	next.Evacuations = evacuator.New(append(slices.Clone(next.Evacuations), u.Evacuations...)).Orders()
	for _, f := range u.Files {
		c.setFile(next, f)
	}
	c.recordUpdate(u)
	c.latest = next
	c.sendUpdates()
	c.activate()
	return true
}

func (c *Configurer) setFile(next *Configuration, f *wire.ServiceFile) {
	delete(next.Files, f.Service)
	delete(next.Services, f.Service)
	if f.Removed {
		return
	}
	next.Files[f.Service] = f.Content
	t, err := parser.ParseTaskFile(f.Service, f.Content)
	if err != nil {
		// Every change is checked before it is proposed, but possibly by a release with other rules.
		c.cfg.Log.Error("This VM could not parse a task file and disabled its service.", "service", f.Service, "error", err)
		return
	}
	next.Services[f.Service] = t
}

// recordUpdate adds an update to the audit trail, and keeps it for subscribers that hold an older version.
func (c *Configurer) recordUpdate(u *wire.ConfigUpdate) {
	records := u.Audit
	if over := c.latest.Version + uint64(len(records)) - u.Version; !u.Whole && over > 0 {
		records = records[over:]
	}
	if u.Whole {
		c.audit = append([]*wire.AuditRecord(nil), records...)
	} else {
		c.audit = append(c.audit, records...)
	}
	c.audit = c.audit[max(0, len(c.audit)-maxAuditRecords):]
	trail := c.audit
	c.auditTrail.Store(&trail)
	if u.Whole || len(records) != 1 {
		// An update that covers several versions cannot be split into them.
		c.recentUpdates = nil
		return
	}
	c.recentUpdates = append(c.recentUpdates, &wire.ConfigUpdate{Version: u.Version, Files: u.Files, Audit: records, Evacuations: u.Evacuations})
	if len(c.recentUpdates) > maxRecentUpdates {
		c.recentUpdates = append([]*wire.ConfigUpdate(nil), c.recentUpdates[1:]...)
	}
}

// activate puts the latest version into force if this VM is ready.
func (c *Configurer) activate() {
	if !c.ready.Load() || c.latest.Version <= c.Current().Version {
		return
	}
	c.current.Store(c.latest)
	if c.applying {
		c.cfg.Apply(c.latest)
	}
}

// updateSince returns the update from version have to the latest one.
func (c *Configurer) updateSince(have uint64) *wire.ConfigUpdate {
	u := &wire.ConfigUpdate{Version: c.latest.Version, Confirmed: c.confirmed(c.cfg.Now())}
	if have >= c.latest.Version {
		return u
	}
	behind := c.latest.Version - have
	if behind > uint64(len(c.recentUpdates)) {
		u.Whole = true
		for s, b := range c.latest.Files {
			u.Files = append(u.Files, &wire.ServiceFile{Service: s, Content: b})
		}
		u.Audit, u.Evacuations = c.audit[max(0, len(c.audit)-maxAuditInWholeUpdate):], c.latest.Evacuations
		return u
	}
	at := map[string]int{}
	for _, r := range c.recentUpdates[uint64(len(c.recentUpdates))-behind:] {
		u.Audit, u.Evacuations = append(u.Audit, r.Audit...), append(u.Evacuations, r.Evacuations...)
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

// sendUpdates sends the latest version to every subscriber that has not been sent it.
func (c *Configurer) sendUpdates() {
	if !c.ready.Load() {
		return
	}
	for name, s := range c.subscribers {
		if s.sentVersion < c.latest.Version {
			c.sendUpdate(name, s)
		}
	}
}

func (c *Configurer) sendUpdate(to string, s *subscriber) {
	u := c.updateSince(s.sentVersion)
	if c.cfg.Send(to, &wire.Envelope{Body: &wire.Envelope_ConfigUpdate{ConfigUpdate: u}}) {
		s.sentVersion = max(s.sentVersion, u.Version)
	}
}

// handleSubscription answers a subscription. A VM that is not ready does not answer, because its version may be older
// than one that was in force.
func (c *Configurer) handleSubscription(from string, have uint64) {
	if !c.ready.Load() || !c.mayAnswer() {
		return
	}
	s := c.subscribers[from]
	if s == nil {
		s = &subscriber{}
		c.subscribers[from] = s
	}
	s.sentVersion, s.lastContactAt = have, c.cfg.Now()
	c.sendUpdate(from, s)
}

// mayAnswer reports whether this VM's version may count towards the readiness of another VM. A voter that has just
// restarted may hold an older version than the subscriber held before: it must first catch up with a leader, or run for
// catchUpTimeout without one.
func (c *Configurer) mayAnswer() bool {
	now := c.cfg.Now()
	if c.voter == nil || c.caughtUp {
		return true
	}
	c.caughtUp = c.confirmed(now) || now.Sub(c.startedAt) > catchUpTimeout
	return c.caughtUp
}

func (c *Configurer) dropSilentSubscribers(now time.Time) {
	for name, s := range c.subscribers {
		if now.Sub(s.lastContactAt) > subscriberTimeout {
			delete(c.subscribers, name)
		}
	}
}

// confirmed reports whether this VM's version is known to be the newest, apart from message delays.
func (c *Configurer) confirmed(now time.Time) bool {
	if c.isVoter(now) {
		return c.voter.confirmed(now)
	}
	return c.ready.Load() && c.source.recentlyConfirmed(now)
}

// isVoter reports whether this VM gets its versions from the replicated log and not from a source.
func (c *Configurer) isVoter(now time.Time) bool {
	return c.voter != nil && c.voter.replica.Status(now).Role != replicator.Learner
}

func (c *Configurer) updateStatus(now time.Time) {
	s := &Status{Role: "subscriber", Source: c.source.name, ConfirmedAt: c.source.confirmedAt, MajorityReachable: c.source.recentlyConfirmed(now)}
	if c.voter != nil {
		r := c.voter.replica.Status(now)
		s.Leader, s.Term = r.Leader, r.Term
		switch {
		case !r.CommittedVoter:
			s.Role = "learner"
		case r.Role == replicator.Leader:
			s.Role = "leader"
		default:
			s.Role = "voter"
		}
		if r.Role != replicator.Learner {
			s.MajorityReachable, s.ConfirmedAt, s.Source = r.MajorityReachable, r.LeaderContactAt, ""
		}
	}
	c.status.Store(s)
}
