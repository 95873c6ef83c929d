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
	// maxHops allows one relay to an entry VM of another failure domain and one from there to the owner.
	maxHops = 2
	// retryInterval is the delay before the next attempt while a failure domain has no owner.
	retryInterval = 30 * time.Millisecond
	// answerGrace extends the deadline of a relay, so that an answer given at the deadline can still arrive.
	answerGrace = 200 * time.Millisecond
	// unreachableTimeout bounds the wait while no entry VM of another failure domain is connected. Connections are
	// dialled again every 100 ms, so the wait outlasts short interruptions.
	unreachableTimeout = time.Second
	// noQuorumTimeout bounds the wait while the own group has no majority and therefore cannot elect an owner.
	noQuorumTimeout = 200 * time.Millisecond
)

// Config holds the parameters of a Router.
type Config struct {
	// Name and FailureDomain are those of this entry VM.
	Name, FailureDomain string
	// EntryVMs lists the entry VMs of each failure domain.
	EntryVMs map[string][]string
	// Owner returns the owner of a failure domain. ok is false if none is known.
	Owner func(failureDomain string) (name string, ok bool)
	// Dispatch queues a submission at the dispatcher of this entry VM. It reports false when the queue is full.
	Dispatch func(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) bool
	// Call sends a request to a peer. It calls done once.
	Call func(peer string, s messenger.Stream, e *wire.Envelope, deadline time.Time, done func(*wire.Envelope, error))
	// MajorityReachable reports whether a majority of the own group's members is reachable.
	MajorityReachable func() bool
	// Connected reports whether a peer is connected.
	Connected func(peer string) bool
	// Evacuated reports whether a failure domain is evacuated; nil where none ever is.
	Evacuated func(failureDomain string) bool
	Now       func() time.Time
	// After calls f after d.
	After func(d time.Duration, f func())
}

// Router routes submissions to owners. It is safe for concurrent use.
type Router struct {
	cfg    Config
	closed atomic.Bool
	// homes counts the homes that were chosen in other failure domains.
	homes atomic.Uint64
}

// New returns a Router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// Close makes submissions that still wait for an owner fail at their next attempt. It is called at the end of a planned
// stop.
func (r *Router) Close() { r.closed.Store(true) }

// pendingSubmission is a submission that has not been answered.
type pendingSubmission struct {
	sub      *wire.Submission
	home     string
	deadline time.Time
	reply    func(*wire.Answer)
	// mayBeAccepted is set once a relay ended without an answer: an owner may have accepted the submission, or the
	// relay may still be in transit. From then on a refusal is never reported as "not run".
	mayBeAccepted bool
	// unreachableSince is when the home became unreachable, or the own group lost its majority; zero otherwise.
	unreachableSince time.Time
	// refusedBy holds the failure domains that have refused the submission as they are evacuated.
	refusedBy []string
}

// Submit routes a submission to its owner and calls reply once, with the answer. It retries until the deadline while no
// owner is known. reply may run on any goroutine and must not block.
func (r *Router) Submit(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) {
	if len(s.Tasks) == 0 {
		// Listeners refuse such submissions, but a peer of another version may relay one.
		reply(notRunAnswer(s.Key, wire.Reason_REASON_INVALID))
		return
	}
	p := &pendingSubmission{sub: s, home: r.cfg.FailureDomain, deadline: deadline, reply: reply}
	if s.Key != "" {
		k, err := recorder.ParseKey(s.Key)
		if err != nil || r.cfg.EntryVMs[k.Home] == nil {
			reply(notRunAnswer(s.Key, wire.Reason_REASON_INVALID))
			return
		}
		p.home = k.Home
	} else if s.Hops == 0 {
		home, ok := r.HomeForNewWork()
		if !ok {
			reply(notRunAnswer(s.Key, wire.Reason_REASON_EVACUATED))
			return
		}
		p.home = home
	}
	r.route(p)
}

// route dispatches or relays a submission, or schedules another attempt.
func (r *Router) route(p *pendingSubmission) {
	target, ok := r.nextHop(p)
	if ok && target == r.cfg.Name {
		if !r.cfg.Dispatch(p.sub, p.deadline, func(ans *wire.Answer) { r.onAnswer(p, ans) }) {
			r.giveUp(p, wire.Reason_REASON_QUEUE_FULL)
		}
		return
	}
	if p.sub.Hops >= maxHops {
		r.finish(p, notRunAnswer(p.sub.Key, wire.Reason_REASON_NOT_OWNER))
		return
	}
	if !ok {
		r.retryLater(p)
		return
	}
	r.relay(p, target)
}

// nextHop returns the home's owner or, if the home is another failure domain, any connected entry VM of it.
func (r *Router) nextHop(p *pendingSubmission) (string, bool) {
	owner, ok := r.cfg.Owner(p.home)
	if ok && (owner == r.cfg.Name || r.cfg.Connected(owner)) {
		return owner, true
	}
	if p.home == r.cfg.FailureDomain {
		return "", false
	}
	for _, m := range r.cfg.EntryVMs[p.home] {
		if r.cfg.Connected(m) {
			return m, true
		}
	}
	return "", false
}

func (r *Router) relay(p *pendingSubmission, target string) {
	s := &wire.Submission{
		Key: p.sub.Key, Team: p.sub.Team, Service: p.sub.Service, Tasks: p.sub.Tasks, Single: p.sub.Single,
		ContentHash: p.sub.ContentHash, Hops: p.sub.Hops + 1,
		TimeoutMillis: p.deadline.Sub(r.cfg.Now()).Milliseconds(),
	}
	e := &wire.Envelope{Body: &wire.Envelope_Submission{Submission: s}}
	r.cfg.Call(target, messenger.RelayStream, e, p.deadline.Add(answerGrace), func(reply *wire.Envelope, err error) {
		switch {
		case errors.Is(err, messenger.ErrNotSent):
			r.retryLater(p)
		case err != nil:
			r.onRelayLost(p)
		default:
			r.onAnswer(p, reply.GetAnswer())
		}
	})
}

// onRelayLost retries a submission that has a key, because no owner starts it twice. One without a key may have run.
func (r *Router) onRelayLost(p *pendingSubmission) {
	p.mayBeAccepted = true
	if p.sub.Key == "" {
		r.finish(p, unknownAnswer(p.sub.Key, wire.Reason_REASON_OWNER_LOST))
		return
	}
	r.retryLater(p)
}

// onAnswer passes an answer on, or retries if the entry VM that answered is not the owner.
func (r *Router) onAnswer(p *pendingSubmission, ans *wire.Answer) {
	if ans == nil {
		r.onRelayLost(p)
		return
	}
	if ans.Outcome == wire.Outcome_OUTCOME_NOT_RUN && ans.Reason == wire.Reason_REASON_NOT_OWNER && p.sub.Hops == 0 {
		r.retryLater(p)
		return
	}
	if r.routeElsewhere(p, ans) {
		return
	}
	r.finish(p, ans)
}

// retryLater schedules another attempt, unless the deadline is too near or further waiting is useless.
func (r *Router) retryLater(p *pendingSubmission) {
	if r.closed.Load() {
		r.giveUp(p, wire.Reason_REASON_STOPPING)
		return
	}
	now := r.cfg.Now()
	unreachable, limit, reason := r.unreachable(p)
	switch {
	case !unreachable:
		p.unreachableSince = time.Time{}
	case p.unreachableSince.IsZero():
		p.unreachableSince = now
	case now.Sub(p.unreachableSince) >= limit:
		r.giveUp(p, reason)
		return
	}
	if !now.Add(retryInterval).Before(p.deadline) {
		r.giveUp(p, wire.Reason_REASON_DEADLINE_PASSED)
		return
	}
	r.cfg.After(retryInterval, func() { r.route(p) })
}

// unreachable reports whether the home cannot be reached, and if so, after how long and with which reason to give up:
// no entry VM of another home is connected, or the own group has no majority that could elect an owner. A submission
// without a key waits until its deadline.
func (r *Router) unreachable(p *pendingSubmission) (bool, time.Duration, wire.Reason) {
	if p.home == r.cfg.FailureDomain {
		return p.sub.Key != "" && !r.cfg.MajorityReachable(), noQuorumTimeout, wire.Reason_REASON_NO_QUORUM
	}
	for _, m := range r.cfg.EntryVMs[p.home] {
		if r.cfg.Connected(m) {
			return false, 0, wire.Reason_REASON_NONE
		}
	}
	return true, unreachableTimeout, wire.Reason_REASON_HOME_UNREACHABLE
}

// giveUp answers a submission that reached no owner, or one whose queue is full. With a key, an earlier call may have
// reached the home through another entry VM, so the outcome is unknown. Without a key, the submission was never sent.
func (r *Router) giveUp(p *pendingSubmission, reason wire.Reason) {
	if p.sub.Key != "" {
		r.finish(p, unknownAnswer(p.sub.Key, reason))
		return
	}
	if reason == wire.Reason_REASON_DEADLINE_PASSED {
		reason = wire.Reason_REASON_NOT_OWNER
	}
	r.finish(p, notRunAnswer(p.sub.Key, reason))
}

// finish replies with the answer. It reports "not run" as unknown if an owner may have accepted the submission.
func (r *Router) finish(p *pendingSubmission, ans *wire.Answer) {
	if p.mayBeAccepted && ans.Outcome == wire.Outcome_OUTCOME_NOT_RUN {
		ans = unknownAnswer(p.sub.Key, wire.Reason_REASON_OWNER_LOST)
	}
	p.reply(ans)
}

func notRunAnswer(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_NOT_RUN, State: wire.State_STATE_FAILED, Reason: reason}
}

func unknownAnswer(key string, reason wire.Reason) *wire.Answer {
	return &wire.Answer{Key: key, Outcome: wire.Outcome_OUTCOME_UNKNOWN, State: wire.State_STATE_FAILED, Reason: reason}
}
