package configurer

import (
	"errors"
	"slices"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/parser"
	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

const (
	// noLeaderWait is how long a change waits for a leader; an election takes at most about this long.
	noLeaderWait = time.Second
	// retryEvery is the pause between two attempts to reach the leader.
	retryEvery = 50 * time.Millisecond
	// callWait bounds one attempt; a leader decides or steps down within it.
	callWait = 1500 * time.Millisecond
)

// proposal is a change that an operator handed to this VM.
type proposal struct {
	change *wire.Change
	done   func(*wire.ChangeResult)
	// deadline ends everything; leaderBy ends the wait for a leader.
	deadline, leaderBy time.Time
	nextAt             time.Time
	attempt            int
	calling, finished  bool
	// maybe is true once an attempt may have reached the log. Repeating it is safe, because the log takes a change id
	// once; saying that it was refused is not.
	maybe bool
}

// Propose asks for a change. done is called once and must not block.
func (c *Configurer) Propose(ch *wire.Change, deadline time.Time, done func(*wire.ChangeResult)) {
	now := c.cfg.Now()
	p := &proposal{change: ch, done: done, deadline: deadline, leaderBy: now.Add(noLeaderWait)}
	if detail := checkContent(ch); detail != "" {
		c.finish(p, &wire.ChangeResult{
			Verdict: wire.ChangeResult_VERDICT_INVALID, Version: c.Current().Version, Detail: detail,
		})
		return
	}
	if !c.put(func() {
		c.proposals = append(c.proposals, p)
		c.attempt(c.cfg.Now(), p)
	}) {
		c.finish(p, &wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_NO_MAJORITY, Detail: "too many changes at once"})
	}
}

// checkContent returns what is wrong with a change, or "".
func checkContent(ch *wire.Change) string {
	var errs []error
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

// finish gives the answer and keeps a record of a refusal.
func (c *Configurer) finish(p *proposal, res *wire.ChangeResult) {
	if p.finished {
		return
	}
	p.finished = true
	c.refused(p.change, res)
	p.done(res)
}

func (c *Configurer) refused(ch *wire.Change, res *wire.ChangeResult) {
	if res.Verdict == wire.ChangeResult_VERDICT_ACCEPTED {
		return
	}
	c.cfg.Audit.Refuse(replicator.NewAuditRecord(ch, res.Verdict, res.Version))
	c.cfg.Log.Info("Change was not accepted.", "id", ch.Id, "author", ch.Author, "baseVersion", ch.BaseVersion,
		"verdict", res.Verdict.String(), "version", res.Version, "detail", res.Detail)
}

func (c *Configurer) retryProposals(now time.Time) {
	for _, p := range c.proposals {
		if !p.finished && !p.calling && !now.Before(p.nextAt) {
			c.attempt(now, p)
		}
		if !p.finished && (!now.Before(p.deadline) || !p.calling && !now.Before(p.leaderBy)) {
			c.giveUp(p)
		}
	}
	c.proposals = slices.DeleteFunc(c.proposals, func(p *proposal) bool { return p.finished })
}

func (c *Configurer) giveUp(p *proposal) {
	if p.maybe || p.calling {
		c.finish(p, &wire.ChangeResult{
			Verdict: wire.ChangeResult_VERDICT_UNKNOWN, Detail: "proposed, but not known to be committed: send the same id again",
		})
		return
	}
	c.finish(p, &wire.ChangeResult{
		Verdict: wire.ChangeResult_VERDICT_NO_MAJORITY, Version: c.held.Version, Detail: "no leader with a majority of the voters is known",
	})
}

// attempt hands a change to the leader, or to a voter that may know it.
func (c *Configurer) attempt(now time.Time, p *proposal) {
	p.calling, p.nextAt = true, now.Add(retryEvery)
	answered := func(res *wire.ChangeResult) { c.answered(p, res) }
	if c.voter != nil && c.voter.propose(now, p.change, answered) {
		return
	}
	to := c.target(now, p.attempt)
	p.attempt++
	if to == "" {
		p.calling = false
		return
	}
	c.call(to, p.change, earlier(p.deadline, now.Add(callWait)), func(res *wire.ChangeResult) {
		c.put(func() { c.answered(p, res) })
	})
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// target returns the VM to ask: the leader if this VM knows it, else one voter after the other. A VM without a vote asks
// nobody while it hears of no majority. The links of a silent partition still look connected, and a change that went into
// one would be neither made nor refused.
func (c *Configurer) target(now time.Time, attempt int) string {
	if !c.votes(now) && !c.source.fresh(now) {
		return ""
	}
	if c.voter != nil {
		if s := c.voter.r.Status(now); s.Leader != "" && s.Leader != c.cfg.Name {
			return s.Leader
		}
	}
	var reachable []string
	for _, v := range c.source.voters {
		if v != c.cfg.Name && c.cfg.Connected(v) {
			reachable = append(reachable, v)
		}
	}
	// A voter that knows no leader would only be told the same by the others.
	if c.voter != nil && c.voter.r.Status(now).Role != replicator.Learner || len(reachable) == 0 {
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
		case errors.Is(err, messenger.ErrUnsent):
			done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_NOT_LEADER})
		default:
			done(&wire.ChangeResult{Verdict: wire.ChangeResult_VERDICT_UNKNOWN})
		}
	})
}

// answered takes the result of one attempt. Results that name no decision lead to another attempt.
func (c *Configurer) answered(p *proposal, res *wire.ChangeResult) {
	p.calling = false
	switch res.Verdict {
	case wire.ChangeResult_VERDICT_UNKNOWN:
		if !p.maybe {
			p.maybe, p.leaderBy = true, c.cfg.Now().Add(noLeaderWait)
		}
	case wire.ChangeResult_VERDICT_NOT_LEADER, wire.ChangeResult_VERDICT_NO_MAJORITY:
	default:
		c.finish(p, res)
	}
}

// forwarded handles a change that another VM passed on. A voter that does not lead passes it to the leader once, and
// only when it comes from a VM that is not a voter itself.
func (c *Configurer) forwarded(from string, ch *wire.Change, reply func(*wire.Envelope)) {
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
		c.refused(ch, r)
		answer(r)
	}) {
		return
	}
	notLeader.Leader = c.voter.r.Status(now).Leader
	if notLeader.Leader == "" || notLeader.Leader == c.cfg.Name || slices.Contains(c.cfg.Voters, from) {
		answer(notLeader)
		return
	}
	c.call(notLeader.Leader, ch, now.Add(callWait), answer)
}
