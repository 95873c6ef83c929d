package runner

import (
	"slices"
	"time"

	"clementineyard/internal/elector"
	"clementineyard/internal/keeper"
	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	// memberSkew bounds the clock difference between the members of a group, which are in one region.
	memberSkew = 250 * time.Millisecond
	// lookupRetryInterval is the delay before a lookup is retried while the home has no owner.
	lookupRetryInterval = 30 * time.Millisecond
	// lookupTimeout bounds one lookup. Callers may repeat a lookup at any time.
	lookupTimeout = time.Second
)

// buildKeepers creates a keeper for each group of which this VM is a member. It always creates one for the own failure
// domain, because the dispatcher needs it; if this VM is not a member of that group, the keeper never becomes the
// owner.
func (r *Runner) buildKeepers() {
	for _, g := range r.settings.Groups {
		if slices.Contains(g.Members, r.settings.Name) || g.FailureDomain == r.settings.FailureDomain {
			r.keepers[g.FailureDomain] = r.newKeeper(g)
		}
	}
	if r.keepers[r.settings.FailureDomain] == nil {
		r.keepers[r.settings.FailureDomain] = r.newKeeper(parser.Group{FailureDomain: r.settings.FailureDomain})
	}
}

// newKeeper returns a keeper of the records of a group.
func (r *Runner) newKeeper(g parser.Group) *keeper.Keeper {
	cfg := keeper.Config{
		Name: r.settings.Name, Group: g.FailureDomain, Members: g.Members, Incarnation: r.incarnation,
		Recorder: recorder.New(recorder.Config{
			Retention: r.settings.Timing.Retention.Duration, ClockMargin: clockMargin, MemberSkew: memberSkew,
		}),
		Elector: elector.New(r.electorConfig(g)),
		Now:     time.Now, Lease: r.settings.Timing.OwnerLease.Duration,
		Datagram: func(m *wire.ElectorMessage) {
			r.pinger.Send(m.To, &wire.Datagram{Body: &wire.Datagram_Elector{Elector: m}})
		},
		Call: func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			r.messenger.Call(peer, messenger.ControlStream, e, deadline, done)
		},
		Log: r.log.With("part", "keeper"),
	}
	if g.FailureDomain == r.settings.FailureDomain {
		cfg.SetOwner = func(owner bool) { r.dispatcher.SetOwner(owner) }
	}
	return keeper.New(cfg)
}

// electorConfig returns the configuration of a group's elector. Members outside the group's failure domain are
// witnesses.
func (r *Runner) electorConfig(g parser.Group) elector.Config {
	c := elector.Config{
		Name: r.settings.Name, Group: g.FailureDomain, Incarnation: r.incarnation, Started: r.started,
		Lease: r.settings.Timing.OwnerLease.Duration, RenewInterval: r.settings.Timing.RenewEvery.Duration, Seed: r.incarnation,
	}
	domains := map[string]string{}
	for _, v := range r.settings.EntryVMs {
		domains[v.Name] = v.FailureDomain
	}
	for _, m := range g.Members {
		c.Members = append(c.Members, elector.Member{Name: m, Witness: domains[m] != g.FailureDomain})
	}
	return c
}

// ownership returns the owner of this VM's failure domain as the keeper last published it.
func (r *Runner) ownership() elector.Ownership {
	return r.keepers[r.settings.FailureDomain].State().Ownership
}

// recordsReady reports whether an owner has accepted new keys at any time since this process started. A later period
// without an owner must not remove the whole failure domain from the load balancer.
func (r *Runner) recordsReady() bool {
	if r.recordsWereReady.Load() {
		return true
	}
	if !acceptsKeys(r.keepers[r.settings.FailureDomain].State(), time.Now()) {
		return false
	}
	r.recordsWereReady.Store(true)
	return true
}

// acceptsKeys reports whether the owner accepts keys that are issued now. The first takeover of a group always sets a
// floor, so a zero floor means that the floor is not known here yet. An owner whose takeover has not ended may still
// raise it.
func acceptsKeys(p keeper.State, now time.Time) bool {
	return p.Owner != "" && (p.Active || !p.HeldHere) && !p.Floor.IsZero() && !p.Floor.After(now)
}

// resign asks the keeper to hand the ownership over for a planned stop. It waits while the keeper's queue is full.
func (r *Runner) resign() {
	for !r.keepers[r.settings.FailureDomain].Resign() {
		time.Sleep(time.Millisecond)
	}
}

// owner returns the owner of a failure domain, by this VM's keeper or else by the pings of other VMs. It reports false
// if none is known.
func (r *Runner) owner(failureDomain string) (string, bool) {
	if k := r.keepers[failureDomain]; k != nil {
		if own := k.State(); own.Owner != "" {
			return own.Owner, true
		}
	}
	r.detectorMu.Lock()
	defer r.detectorMu.Unlock()
	owner, ok := r.detector.Owner(time.Now(), failureDomain)
	if !ok || owner == r.settings.Name {
		// Other VMs may still regard this VM as the owner after its ownership has ended.
		return "", false
	}
	return owner, true
}

// quorum reports whether a majority of the own group's members is connected, this VM included.
func (r *Runner) quorum() bool {
	for _, g := range r.settings.Groups {
		if g.FailureDomain != r.settings.FailureDomain {
			continue
		}
		n := 0
		for _, m := range g.Members {
			if m == r.settings.Name || r.messenger.Connected(m) {
				n++
			}
		}
		return n > len(g.Members)/2
	}
	return false
}

// handleElector passes an elector's message to the keeper of its group.
func (r *Runner) handleElector(m *wire.ElectorMessage) {
	if k := r.keepers[m.Group]; k != nil {
		k.Datagram(m)
	}
}

// handleRecords handles record messages of other keepers, and lookups.
func (r *Runner) handleRecords(from string, e *wire.Envelope, reply func(*wire.Envelope)) {
	switch b := e.Body.(type) {
	case *wire.Envelope_RecordBatch:
		if k := r.groupKeeper(b.RecordBatch.Group, from); k != nil {
			k.HandleBatch(b.RecordBatch, reply)
		}
	case *wire.Envelope_RecordSnapshotRequest:
		if k := r.groupKeeper(b.RecordSnapshotRequest.Group, from); k != nil {
			k.HandleSnapshotRequest(b.RecordSnapshotRequest, reply)
		}
	case *wire.Envelope_Lookup:
		r.lookupLocally(b.Lookup.Key, func(a *wire.Answer) {
			reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}})
		})
	}
}

// groupKeeper returns the keeper of a group if both this VM and the sender are members of it, and nil otherwise.
func (r *Runner) groupKeeper(group, from string) *keeper.Keeper {
	for _, g := range r.settings.Groups {
		if g.FailureDomain == group && slices.Contains(g.Members, from) && slices.Contains(g.Members, r.settings.Name) {
			return r.keepers[group]
		}
	}
	r.log.Warn("This VM ignored a record message because it or the sender is not a member of the group.", "part", "keeper", "group", group, "from", from)
	return nil
}

// lookup asks the owner of the key's home for the answer to a submission, and retries until the deadline or for at most
// lookupTimeout. reply is called once.
func (r *Runner) lookup(key string, deadline time.Time, reply func(*wire.Answer)) {
	k, err := recorder.ParseKey(key)
	if err != nil || r.entryVMs[k.Home] == nil {
		reply(&wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_INVALID})
		return
	}
	if limit := time.Now().Add(lookupTimeout); limit.Before(deadline) || deadline.IsZero() {
		deadline = limit
	}
	r.tryLookup(k, deadline, reply)
}

func (r *Runner) tryLookup(k recorder.Key, deadline time.Time, reply func(*wire.Answer)) {
	key := k.String()
	answered := func(a *wire.Answer) {
		if a != nil && a.Reason != wire.Reason_REASON_NOT_OWNER {
			reply(a)
			return
		}
		if time.Until(deadline) < lookupRetryInterval {
			reply(unknownAnswer(key, wire.Reason_REASON_HOME_UNREACHABLE))
			return
		}
		time.AfterFunc(lookupRetryInterval, func() { r.tryLookup(k, deadline, reply) })
	}
	owner, ok := r.owner(k.Home)
	switch {
	case !ok:
		answered(nil)
	case owner == r.settings.Name:
		r.lookupLocally(key, answered)
	default:
		e := &wire.Envelope{Body: &wire.Envelope_Lookup{Lookup: &wire.Lookup{Key: key}}}
		r.messenger.Call(owner, messenger.RelayStream, e, deadline, func(e *wire.Envelope, err error) {
			if err != nil {
				answered(nil)
				return
			}
			answered(e.GetAnswer())
		})
	}
}

// lookupReasons holds the reasons for verdicts without a record.
var lookupReasons = map[recorder.Verdict]wire.Reason{
	recorder.VerdictNew:         wire.Reason_REASON_UNKNOWN_KEY,
	recorder.VerdictExpired:     wire.Reason_REASON_EXPIRED,
	recorder.VerdictRecordsLost: wire.Reason_REASON_RECORDS_LOST,
	recorder.VerdictNotOwner:    wire.Reason_REASON_NOT_OWNER,
}

// lookupLocally looks the key up in this VM's records. It replies with notOwner if this VM does not own the key's home.
func (r *Runner) lookupLocally(key string, reply func(*wire.Answer)) {
	k, err := recorder.ParseKey(key)
	notOwner := unknownAnswer(key, wire.Reason_REASON_NOT_OWNER)
	if err != nil || k.Home != r.settings.FailureDomain {
		reply(notOwner)
		return
	}
	queued := r.keepers[k.Home].Lookup(k, func(v recorder.Verdict, a *wire.Answer) {
		switch v {
		case recorder.VerdictFinished:
			reply(a)
		case recorder.VerdictRunning:
			reply(&wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_ACCEPTED})
		default:
			reply(unknownAnswer(key, lookupReasons[v]))
		}
	})
	if !queued {
		reply(notOwner)
	}
}

func unknownAnswer(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: reason}
}
