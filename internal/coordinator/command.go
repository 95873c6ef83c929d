package coordinator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

// forward is a command that is to be forwarded to the leader.
type forward struct {
	cmd      *wire.AgreedCommand
	deadline time.Time
	done     func(*wire.AgreedResult)
	// nextAttemptAt is when the command is tried again; calling is true while an attempt awaits its answer.
	nextAttemptAt     time.Time
	calling, finished bool
	// maybeProposed is true once an attempt may have reached a log. Repeating it is safe: a configuration takes effect
	// once, and an evacuation only if no other order for its failure domain has come first.
	maybeProposed bool
	// waiting reports whether the command may be proposed again; nil if it always may.
	waiting func() bool
}

// propose appends a command to the log. It returns false, and never calls done, where this VM is not the leader.
func (c *Coordinator) propose(now time.Time, cmd *wire.AgreedCommand, done func(*wire.AgreedResult)) bool {
	if c.replica == nil || c.replica.Status(now).Role != replicator.Leader {
		return false
	}
	if cmd.Config != nil && c.state.hasVersion(cmd.Config.Version) {
		// The version never decreases, so this version or a later one is already committed.
		done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_COMMITTED})
		return true
	}
	var command []byte
	if !isRead(cmd) {
		b, err := proto.Marshal(cmd)
		if err != nil {
			c.cfg.Log.Error("Leader could not encode a proposed command.", "error", err)
			return false
		}
		command = b
	}
	out, index, term, ok := c.replica.Propose(now, &wire.Change{Command: command})
	if ok {
		c.proposals[index] = proposal{term, done}
	}
	c.addOutput(out)
	return ok
}

// isRead reports whether a command changes nothing.
func isRead(cmd *wire.AgreedCommand) bool {
	return cmd.Config == nil && cmd.Grant == nil && cmd.Departure == nil && cmd.Roster == nil && cmd.Evacuation == nil
}

func (c *Coordinator) forward(f *forward) {
	c.forwards = append(c.forwards, f)
	c.tryForward(c.cfg.Now(), f)
}

func (c *Coordinator) retryForwards(now time.Time) {
	for _, f := range c.forwards {
		if !f.finished && !now.Before(f.deadline) {
			verdict := wire.AgreedResult_VERDICT_NO_LEADER
			if f.maybeProposed {
				verdict = wire.AgreedResult_VERDICT_UNKNOWN
			}
			c.finish(f, &wire.AgreedResult{Verdict: verdict})
		}
		if !f.finished && !f.calling && f.waiting != nil && !f.waiting() {
			c.finish(f, &wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN})
		}
		if !f.finished && !f.calling && !now.Before(f.nextAttemptAt) {
			c.tryForward(now, f)
		}
	}
	c.forwards = slices.DeleteFunc(c.forwards, func(f *forward) bool { return f.finished })
}

// tryForward passes a command to the leader, if the leader is known here.
func (c *Coordinator) tryForward(now time.Time, f *forward) {
	f.nextAttemptAt = now.Add(forwardInterval)
	if c.replica == nil {
		return
	}
	f.calling = true
	answered := func(res *wire.AgreedResult) { c.handleAnswer(f, res) }
	if c.propose(now, f.cmd, answered) {
		f.maybeProposed = true
		return
	}
	leader := c.replica.Status(now).Leader
	if leader == "" || leader == c.cfg.Name {
		f.calling = false
		return
	}
	f.maybeProposed = true
	attemptDeadline := now.Add(forwardTimeout)
	if f.deadline.Before(attemptDeadline) {
		attemptDeadline = f.deadline
	}
	e := &wire.Envelope{Body: &wire.Envelope_AgreedCommand{AgreedCommand: f.cmd}}
	c.cfg.Call(leader, e, attemptDeadline, func(r *wire.Envelope, err error) {
		res := r.GetAgreedResult()
		if err != nil || res == nil {
			res = &wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN}
		}
		c.enqueue(func() { c.handleAnswer(f, res) })
	})
}

func (c *Coordinator) handleAnswer(f *forward, res *wire.AgreedResult) {
	f.calling = false
	if res.Verdict == wire.AgreedResult_VERDICT_COMMITTED || res.Verdict == wire.AgreedResult_VERDICT_CONFLICT {
		c.finish(f, res)
	}
}

func (c *Coordinator) finish(f *forward, res *wire.AgreedResult) {
	if f.finished {
		return
	}
	f.finished = true
	f.done(res)
}
