package configurer

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

const (
	// leaderTimeout is how long a change waits for a leader; an election takes at most about this long.
	leaderTimeout = time.Second
	// retryInterval is the pause between two attempts to reach the leader.
	retryInterval = 50 * time.Millisecond
	// callTimeout bounds one attempt; a leader decides or steps down within it.
	callTimeout = 1500 * time.Millisecond
)

// proposal is a change that an operator has submitted to this VM.
type proposal struct {
	change *wire.Change
	done   func(*wire.ChangeResult)
	// deadline ends the proposal; leaderDeadline ends the wait for a leader.
	deadline, leaderDeadline time.Time
	nextAttemptAt            time.Time
	attempts                 int
	calling, finished        bool
	// maybeProposed is true once an attempt may have reached the log. Repeating the change is then safe, because a change
	// id is applied only once; answering that it was refused is not.
	maybeProposed bool
}

// Propose submits a change. done is called once, with the result, and must not block.
func (c *Configurer) Propose(ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult)) {
	now := c.cfg.Now()
	p := &proposal{change: ch, done: done, deadline: deadline, leaderDeadline: now.Add(leaderTimeout)}
	if detail := c.checkContent(ch); detail != "" {
		c.finish(p, &wire.ChangeResult{
			Verdict: wire.ChangeResult_VERDICT_INVALID, Version: c.Current().Version, Detail: detail,
		})
		return
	}
	if !c.enqueue(func() {
		c.proposals = append(c.proposals, p)
		c.attempt(c.cfg.Now(), p)
	}) {
		c.finish(p, &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_NO_MAJORITY, Detail: "too many changes at once"})
	}
}

// checkContent returns what is wrong with the files and evacuations of a change, or "".
func (c *Configurer) checkContent(ch *wire.Change) string {
	var errs []error
	for _, e := range ch.Evacuations {
		if !slices.ContainsFunc(c.cfg.EntryVMs, func(v parser.EntryVM) bool { return v.FailureDomain == e.FailureDomain }) {
			errs = append(errs, errors.New("no entry VM is in failure domain "+strconv.Quote(e.FailureDomain)))
		}
	}
	for _, f := range ch.Files {
		if f.Service == "" {
			errs = append(errs, errors.New("a file names no service"))
		}
		if f.Removed {
			continue
		}
		t, err := parser.ParseTaskFile(f.Service, f.Content)
		if err == nil && t.Service != f.Service {
			err = errors.New(f.Service + ": the content names service " + t.Service)
		}
		errs = append(errs, err)
	}
	if err := errors.Join(errs...); err != nil {
		return err.Error()
	}
	return ""
}

// finish answers a proposal and records its refusal.
func (c *Configurer) finish(p *proposal, res *wire.ChangeResult) {
	if p.finished {
		return
	}
	p.finished = true
	c.recordRefusal(p.change, res)
	p.done(res)
}

func (c *Configurer) recordRefusal(ch *wire.Change, res *wire.ChangeResult) {
	if res.Verdict == wire.ChangeResult_VERDICT_ACCEPTED {
		return
	}
	c.cfg.Audit.RecordRefusal(replicator.NewAuditRecord(ch, res.Verdict, res.Version))
	c.cfg.Log.Info("Change was not accepted.", "id", ch.Id, "author", ch.Author, "baseVersion", ch.BaseVersion,
		"verdict", res.Verdict.String(), "version", res.Version, "detail", res.Detail)
}

func (c *Configurer) retryProposals(now time.Time) {
	for _, p := range c.proposals {
		if !p.finished && !p.calling && !now.Before(p.nextAttemptAt) {
			c.attempt(now, p)
		}
		if !p.finished && (!now.Before(p.deadline) || !p.calling && !now.Before(p.leaderDeadline)) {
			c.expire(p)
		}
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(p *proposal) bool { return p.finished })
}

func (c *Configurer) expire(p *proposal) {
	if p.maybeProposed || p.calling {
		c.finish(p, &wire.ChangeResult{
			Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "proposed, but not known to be committed: send the same id again",
		})
		return
	}
	c.finish(p, &wire.ChangeResult{
		Verdict: wire.ChangeResult_VERDICT_NO_MAJORITY, Version: c.latest.Version, Detail: "no leader with a majority of the voters is known",
	})
}

// attempt proposes a change on this VM if it leads, and otherwise forwards it to the leader or to a voter that may know
// the leader.
func (c *Configurer) attempt(now time.Time, p *proposal) {
	p.calling, p.nextAttemptAt = true, now.Add(retryInterval)
	answered := func(res *wire.ChangeResult) { c.handleAnswer(p, res) }
	if c.voter != nil && c.voter.propose(now, p.change, answered) {
		return
	}
	to := c.forwardTarget(now, p.attempts)
	p.attempts++
	if to == "" {
		p.calling = false
		return
	}
	c.call(to, p.change, earlier(p.deadline, now.Add(callTimeout)), func(res *wire.ChangeResult) {
		c.enqueue(func() { c.handleAnswer(p, res) })
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// forwardTarget returns the VM to forward a change to: the leader if this VM knows it, otherwise one voter after the
// other; "" when there is none. A VM without a vote forwards nothing while it knows of no majority: in a partition that
// drops packets, connections still look open, and a change sent on one would be neither accepted nor refused.
func (c *Configurer) forwardTarget(now time.Time, attempt int) string {
	if !c.isVoter(now) && !c.source.recentlyConfirmed(now) {
		return ""
	}
	if c.voter != nil {
		if s := c.voter.replica.Status(now); s.Leader != "" && s.Leader != c.cfg.Name {
			return s.Leader
		}
	}
	var reachable []string
	for _, v := range c.source.voters {
		if v != c.cfg.Name && c.cfg.Connected(v) {
			reachable = append(reachable, v)
		}
	}
	// The other voters would not know the leader either.
	if c.voter != nil && c.voter.replica.Status(now).Role != replicator.Learner || len(reachable) == 0 {
		return ""
	}
	return reachable[attempt%len(reachable)]
}

func (c *Configurer) call(to string, ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult)) {
	e := &wire.Envelope{Body: &wire.Envelope_Change{Change: ch}}
	c.cfg.Call(to, e, deadline, func(reply *wire.Envelope, err error) {
		switch {
		case err == nil && reply.GetChangeResult() != nil:
			done(reply.GetChangeResult())
		case errors.Is(err, messenger.ErrNotSent):
			done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_NOT_LEADER})
		default:
			done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN})
		}
	})
}

// handleAnswer handles the result of one attempt. A result without a decision leads to another attempt.
func (c *Configurer) handleAnswer(p *proposal, res *wire.ChangeResult) {
	p.calling = false
	switch res.Verdict {
	case wire.ChangeResult_VERDICT_UNKNOWN:
		if !p.maybeProposed {
			p.maybeProposed, p.leaderDeadline = true, c.cfg.Now().Add(leaderTimeout)
		}
	case wire.ChangeResult_VERDICT_NOT_LEADER, wire.ChangeResult_VERDICT_NO_MAJORITY:
	default:
		c.finish(p, res)
	}
}

// handleForwarded handles a change that another VM has forwarded. A voter that does not lead forwards it to the leader
// once, and only when it comes from a VM that is not a voter.
func (c *Configurer) handleForwarded(from string, ch *wire.Change, reply func(*wire.Envelope)) {
	now := c.cfg.Now()
	answer := func(r *wire.ChangeResult) {
		reply(&wire.Envelope{Body: &wire.Envelope_ChangeResult{ChangeResult: r}})
	}
	notLeader := &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_NOT_LEADER}
	if c.voter == nil {
		answer(notLeader)
		return
	}
	if c.voter.propose(now, ch, func(r *wire.ChangeResult) {
		c.recordRefusal(ch, r)
		answer(r)
	}) {
		return
	}
	notLeader.Leader = c.voter.replica.Status(now).Leader
	if notLeader.Leader == "" || notLeader.Leader == c.cfg.Name || slices.Contains(c.cfg.Voters, from) {
		answer(notLeader)
		return
	}
	c.call(notLeader.Leader, ch, now.Add(callTimeout), answer)
}
