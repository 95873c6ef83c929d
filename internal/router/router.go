package router

import (
	"errors"
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
	// Connected reports whether a peer can be reached.
	Connected func(peer string) bool
	Now       func() time.Time
	// After runs f once the time has come.
	After func(d time.Duration, f func())
}

// Router is stateless and safe for concurrent use.
type Router struct{ cfg Config }

// New returns a Router.
func New(cfg Config) *Router { return &Router{cfg: cfg} }

// attempt is one submission on its way to its owner.
type attempt struct {
	sub      *wire.Submission
	home     string
	deadline time.Time
	reply    func(*wire.Answer)
	// lost is true once a relay ended without an answer: an owner may have accepted the submission, and it may still
	// be on its way. From then on no refusal is passed on as "not run".
	lost bool
}

// Submit finds the owner and calls reply once. reply must not block.
func (r *Router) Submit(s *wire.Submission, deadline time.Time, reply func(*wire.Answer)) {
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
			r.finish(a, refusal(a.sub.Key, wire.Reason_REASON_QUEUE_FULL))
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

// again repeats the attempt after a pause, until the deadline.
func (r *Router) again(a *attempt) {
	if !r.cfg.Now().Add(retryEvery).Before(a.deadline) {
		r.giveUp(a)
		return
	}
	r.cfg.After(retryEvery, func() { r.try(a) })
}

// giveUp answers at the deadline. With a key an earlier call may have reached the home through another entry VM, so
// nothing can be said about it; without one the work was never sent.
func (r *Router) giveUp(a *attempt) {
	if a.sub.Key == "" {
		r.finish(a, refusal(a.sub.Key, wire.Reason_REASON_NOT_OWNER))
		return
	}
	r.finish(a, unknown(a.sub.Key, wire.Reason_REASON_HOME_UNREACHABLE))
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
