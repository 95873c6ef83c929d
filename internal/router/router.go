package router

import (
	"errors"
	"sync/atomic"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/recorder"
	"clementineyard/wire"
)

const (
	// maxHops allows one relay into another failure domain and one to its owner.
	maxHops = 2
	// retryEvery is the pause before a relay is repeated while a failure domain has no owner.
	retryEvery = 30 * time.Millisecond
	// answerGrace lets an answer arrive that was given at the deadline.
	answerGrace = 200 * time.Millisecond
	// unreachableLimit ends the wait for another failure domain none of whose entry VMs is connected. Connections are
	// dialled again every 100 ms, so a short interruption does not count.
	unreachableLimit = time.Second
	// noQuorumLimit ends the wait for an owner of the own failure domain that the group cannot elect.
	noQuorumLimit = 200 * time.Millisecond
)

// Config constructs a Router.
type Config struct {
	Name, FailureDomain string
	// Members lists the entry VMs of each failure domain.
	Members map[string][]string
	// Owner returns the owner of a failure domain as far as it is known.
	Owner func(failureDomain string) (name string, ok bool)
	// Dispatch hands a submission to the dispatcher of this entry VM.
	Dispatch func(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) bool
	// Call sends a request to a peer.
	Call func(peer string, s messenger.Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// Quorum reports whether a majority of the own group's members can be reached.
	Quorum func() bool
	// Connected reports whether a peer can be reached.
	Connected func(peer string) bool
	Now       func() time.Time
	// After runs f once the time has come.
	After func(d time.Duration, f func())
}

// Router is safe for concurrent use.
type Router struct {
	cfg    Config
	closed atomic.Bool
}

// New returns a Router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// Close ends the waits for an owner, at the end of a planned stop.
func (r *Router) Close() { r.closed.Store(true) }

// attempt is one submission on its way to its owner.
type attempt struct {
	sub      *wire.Submission
	home     string
	deadline time.Time
	reply    func(*wire.Answer)
	// lost is true once a relay ended without an answer: an owner may have accepted the submission, and it may still
	// be on its way. From then on no refusal is passed on as "not run".
	lost bool
	// missingSince is since when the home has been out of reach, or the own group without a majority; zero otherwise.
	missingSince time.Time
}

// Submit finds the owner and calls reply once. reply must not block.
func (r *Router) Submit(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) {
	if len(s.Tasks) == 0 {
		// Listeners refuse this; a peer of another version may not.
		reply(refusal(s.Key, wire.Reason_REASON_INVALID))
		return
	}
	a := &attempt{sub: s, home: r.cfg.FailureDomain, deadline: deadline, reply: reply}
	if s.Key != "" {
		k, err := recorder.ParseKey(s.Key)
		if err != nil || r.cfg.Members[k.Home] == nil {
			reply(refusal(s.Key, wire.Reason_REASON_INVALID))
			return
		}
		a.home = k.Home
	}
	r.try(a)
}

func (r *Router) try(a *attempt) {
	target, ok := r.target(a)
	if ok && target == r.cfg.Name {
		if !r.cfg.Dispatch(a.sub, a.deadline, func(ans *wire.Answer) { r.answered(a, ans) }) {
			r.giveUp(a, wire.Reason_REASON_QUEUE_FULL)
		}
		return
	}
	if a.sub.Hops >= maxHops {
		r.finish(a, refusal(a.sub.Key, wire.Reason_REASON_NOT_OWNER))
		return
	}
	if !ok {
		r.again(a)
		return
	}
	r.relay(a, target)
}

// target is the home's owner or, when the home is another failure domain, any of its members that can be reached.
func (r *Router) target(a *attempt) (string, bool) {
	owner, ok := r.cfg.Owner(a.home)
	if ok && (owner == r.cfg.Name || r.cfg.Connected(owner)) {
		return owner, true
	}
	if a.home == r.cfg.FailureDomain {
		return "", false
	}
	for _, m := range r.cfg.Members[a.home] {
		if r.cfg.Connected(m) {
			return m, true
		}
	}
	return "", false
}

func (r *Router) relay(a *attempt, target string) {
	s := &wire.Submission{
		Key: a.sub.Key, Team: a.sub.Team, Service: a.sub.Service, Tasks: a.sub.Tasks, Single: a.sub.Single,
		ContentHash: a.sub.ContentHash, Hops: a.sub.Hops + 1,
		TimeoutMillis: a.deadline.Sub(r.cfg.Now()).Milliseconds(),
	}
	e := &wire.Envelope{Body: &wire.Envelope_Submission{Submission: s}}
	r.cfg.Call(target, messenger.Relay, e, a.deadline.Add(answerGrace), func(reply *wire.Envelope, err error) {
		switch {
		case errors.Is(err, messenger.ErrUnsent):
			r.again(a)
		case err != nil:
			r.relayLost(a)
		default:
			r.answered(a, reply.GetAnswer())
		}
	})
}

// relayLost repeats a submission with a key, which no owner starts twice. One without a key may have run.
func (r *Router) relayLost(a *attempt) {
	a.lost = true
	if a.sub.Key == "" {
		r.finish(a, unknown(a.sub.Key, wire.Reason_REASON_OWNER_LOST))
		return
	}
	r.again(a)
}

func (r *Router) answered(a *attempt, ans *wire.Answer) {
	if ans == nil {
		r.relayLost(a)
		return
	}
	if ans.Outcome == wire.Outcome_OUTCOME_NOT_RUN && ans.Reason == wire.Reason_REASON_NOT_OWNER && a.sub.Hops == 0 {
		r.again(a)
		return
	}
	r.finish(a, ans)
}

// again repeats the attempt after a pause, until the deadline or until waiting is useless.
func (r *Router) again(a *attempt) {
	if r.closed.Load() {
		r.giveUp(a, wire.Reason_REASON_STOPPING)
		return
	}
	now := r.cfg.Now()
	missing, limit, reason := r.missing(a)
	switch {
	case !missing:
		a.missingSince = time.Time{}
	case a.missingSince.IsZero():
		a.missingSince = now
	case now.Sub(a.missingSince) >= limit:
		r.giveUp(a, reason)
		return
	}
	if !now.Add(retryEvery).Before(a.deadline) {
		r.giveUp(a, wire.Reason_REASON_DEADLINE_PASSED)
		return
	}
	r.cfg.After(retryEvery, func() { r.try(a) })
}

// missing reports what makes a further wait useless if it lasts for the limit: no entry VM of another home is
// connected, or the own group has no majority that could elect an owner. Work without a key waits for the deadline.
func (r *Router) missing(a *attempt) (bool, time.Duration, wire.Reason) {
	if a.home == r.cfg.FailureDomain {
		return a.sub.Key != "" && !r.cfg.Quorum(), noQuorumLimit, wire.Reason_REASON_NO_QUORUM
	}
	for _, m := range r.cfg.Members[a.home] {
		if r.cfg.Connected(m) {
			return false, 0, wire.Reason_REASON_NONE
		}
	}
	return true, unreachableLimit, wire.Reason_REASON_HOME_UNREACHABLE
}

// giveUp answers what has found no owner, or an owner without room. With a key an earlier call may have reached the home
// through another entry VM, so nothing can be said about it; without one the work was never sent.
func (r *Router) giveUp(a *attempt, reason wire.Reason) {
	if a.sub.Key != "" {
		r.finish(a, unknown(a.sub.Key, reason))
		return
	}
	if reason == wire.Reason_REASON_DEADLINE_PASSED {
		reason = wire.Reason_REASON_NOT_OWNER
	}
	r.finish(a, refusal(a.sub.Key, reason))
}

func (r *Router) finish(a *attempt, ans *wire.Answer) {
	if a.lost && ans.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		ans = unknown(a.sub.Key, wire.Reason_REASON_OWNER_LOST)
	}
	a.reply(ans)
}

func refusal(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: reason}
}

func unknown(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: reason}
}
