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
	// memberSkew bounds the clock difference between the members of a group, which stand in one region.
	memberSkew = 250 * time.Millisecond
	// lookupRetry is the pause before a lookup is repeated while the home has no owner.
	lookupRetry = 30 * time.Millisecond
	// lookupLimit bounds one lookup; nothing is lost by asking again.
	lookupLimit = time.Second
)

// buildKeepers makes a keeper for every group this VM is a member of, and one for its own failure domain in any case,
// because the dispatcher needs one. A keeper outside its group never owns.
func (r *Runner) buildKeepers() {
	for _, g := range r.set.Groups {
		if slices.Contains(g.Members, r.set.Name) || g.FailureDomain == r.set.FailureDomain {
			r.keepers[g.FailureDomain] = r.newKeeper(g)
		}
	}
	if r.keepers[r.set.FailureDomain] == nil {
		r.keepers[r.set.FailureDomain] = r.newKeeper(parser.Group{FailureDomain: r.set.FailureDomain})
	}
}

func (r *Runner) newKeeper(g parser.Group) *keeper.Keeper {
	cfg := keeper.Config{
		Name: r.set.Name, Group: g.FailureDomain, Members: g.Members, Incarnation: r.incarnation,
		Recorder: recorder.New(recorder.Config{
			Retention: r.set.Timing.Retention.Duration, ClockMargin: clockMargin, MemberSkew: memberSkew,
		}),
		Elector: elector.New(r.electorConfig(g)),
		Now:     time.Now, Lease: r.set.Timing.OwnerLease.Duration,
		Datagram: func(m *wire.ElectorMessage) {
			r.pinger.Send(m.To, &wire.Datagram{Body: &wire.Datagram_Elector{Elector: m}})
		},
		Call: func(peer string, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error)) {
			r.messenger.Call(peer, messenger.Control, e, deadline, done)
		},
		Log: r.log.With("part", "keeper"),
	}
	if g.FailureDomain == r.set.FailureDomain {
		cfg.SetOwner = func(owner bool) { r.dispatcher.SetOwner(owner) }
	}
	return keeper.New(cfg)
}

func (r *Runner) electorConfig(g parser.Group) elector.Config {
	c := elector.Config{
		Name: r.set.Name, Group: g.FailureDomain, Incarnation: r.incarnation, Started: r.started,
		Lease: r.set.Timing.OwnerLease.Duration, Renew: r.set.Timing.RenewEvery.Duration, Seed: r.incarnation,
	}
	domains := map[string]string{}
	for _, v := range r.set.EntryVMs {
		domains[v.Name] = v.FailureDomain
	}
	for _, m := range g.Members {
		c.Members = append(c.Members, elector.Member{Name: m, Witness: domains[m] != g.FailureDomain})
	}
	return c
}

// ownership tells who owns this VM's failure domain.
func (r *Runner) ownership() elector.Ownership {
	return r.keepers[r.set.FailureDomain].Published().Ownership
}

// recordsReady reports whether an owner has accepted new keys since this process started. A later time without an owner
// does not take the whole failure domain out of the load balancer.
func (r *Runner) recordsReady() bool {
	if r.recordsSeen.Load() {
		return true
	}
	if !acceptsKeys(r.keepers[r.set.FailureDomain].Published(), time.Now()) {
		return false
	}
	r.recordsSeen.Store(true)
	return true
}

// acceptsKeys reports whether the owner accepts keys that are issued now. The first takeover of a group always sets a
// floor, so a zero floor is one that is not known here yet; an owner that still takes over may raise it.
func acceptsKeys(p keeper.Published, now time.Time) bool {
	return p.Owner != "" && (p.Active || !p.Held) && !p.Floor.IsZero() && !p.Floor.After(now)
}

// Resign hands this VM's ownership over for a planned stop.
func (r *Runner) Resign() {
	for !r.keepers[r.set.FailureDomain].Resign() {
		time.Sleep(time.Millisecond)
	}
}

// owner returns the owner of a failure domain as far as it is known here.
func (r *Runner) owner(failureDomain string) (string, bool) {
	if k := r.keepers[failureDomain]; k != nil {
		if own := k.Published(); own.Owner != "" {
			return own.Owner, true
		}
	}
	r.state.Lock()
	defer r.state.Unlock()
	owner, ok := r.detector.Owner(time.Now(), failureDomain)
	if !ok || owner == r.set.Name {
		// An ownership of this VM that only others still believe in has ended.
		return "", false
	}
	return owner, true
}

// quorum reports whether a majority of the own group's members can be reached.
func (r *Runner) quorum() bool {
	for _, g := range r.set.Groups {
		if g.FailureDomain != r.set.FailureDomain {
			continue
		}
		n := 0
		for _, m := range g.Members {
			if m == r.set.Name || r.messenger.Connected(m) {
				n++
			}
		}
		return n > len(g.Members)/2
	}
	return false
}

// handleElector passes a datagram to the group that it names.
func (r *Runner) handleElector(m *wire.ElectorMessage) {
	if k := r.keepers[m.Group]; k != nil {
		k.Datagram(m)
	}
}

// handleRecords takes the messages of keepers and lookups.
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
		r.lookupHere(b.Lookup.Key, func(a *wire.Answer) {
			reply(&wire.Envelope{Body: &wire.Envelope_Answer{Answer: a}})
		})
	}
}

// groupKeeper returns the keeper of a group that both this VM and the sender are members of.
func (r *Runner) groupKeeper(group, from string) *keeper.Keeper {
	for _, g := range r.set.Groups {
		if g.FailureDomain == group && slices.Contains(g.Members, from) && slices.Contains(g.Members, r.set.Name) {
			return r.keepers[group]
		}
	}
	r.log.Warn("Record message of a VM that is not a member.", "part", "keeper", "group", group, "from", from)
	return nil
}

// lookup asks the owner of the key's home what became of a submission.
func (r *Runner) lookup(key string, deadline time.Time, reply func(*wire.Answer)) {
	k, err := recorder.ParseKey(key)
	if err != nil || r.members[k.Home] == nil {
		reply(&wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: wire.Reason_REASON_INVALID})
		return
	}
	if limit := time.Now().Add(lookupLimit); limit.Before(deadline) || deadline.IsZero() {
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
		if time.Until(deadline) < lookupRetry {
			reply(unknownAnswer(key, wire.Reason_REASON_HOME_UNREACHABLE))
			return
		}
		time.AfterFunc(lookupRetry, func() { r.tryLookup(k, deadline, reply) })
	}
	owner, ok := r.owner(k.Home)
	switch {
	case !ok:
		answered(nil)
	case owner == r.set.Name:
		r.lookupHere(key, answered)
	default:
		e := &wire.Envelope{Body: &wire.Envelope_Lookup{Lookup: &wire.Lookup{Key: key}}}
		r.messenger.Call(owner, messenger.Relay, e, deadline, func(e *wire.Envelope, err error) {
			if err != nil {
				answered(nil)
				return
			}
			answered(e.GetAnswer())
		})
	}
}

var lookupReasons = map[recorder.Verdict]wire.Reason{
	recorder.VerdictNew:         wire.Reason_REASON_UNKNOWN_KEY,
	recorder.VerdictExpired:     wire.Reason_REASON_EXPIRED,
	recorder.VerdictRecordsLost: wire.Reason_REASON_RECORDS_LOST,
	recorder.VerdictNotOwner:    wire.Reason_REASON_NOT_OWNER,
}

// lookupHere answers when this VM owns the key's home, else with notOwner.
func (r *Runner) lookupHere(key string, reply func(*wire.Answer)) {
	k, err := recorder.ParseKey(key)
	notOwner := unknownAnswer(key, wire.Reason_REASON_NOT_OWNER)
	if err != nil || k.Home != r.set.FailureDomain {
		reply(notOwner)
		return
	}
	asked := r.keepers[k.Home].Lookup(k, func(v recorder.Verdict, a *wire.Answer) {
		switch v {
		case recorder.VerdictFinished:
			reply(a)
		case recorder.VerdictRunning:
			reply(&wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_ACCEPTED})
		default:
			reply(unknownAnswer(key, lookupReasons[v]))
		}
	})
	if !asked {
		reply(notOwner)
	}
}

func unknownAnswer(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: reason}
}
