package coordinator

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

// forward is a command that waits for a leader.
type forward struct {
	cmd      *wire.AgreedCommand
	deadline time.Time
	done     func(*wire.AgreedResult)
	// nextAt is when the command is offered again; calling is true while a leader has it.
	nextAt            time.Time
	calling, finished bool
	// maybe is true once an attempt may have reached a log. Commands may be repeated: a configuration takes effect once.
	maybe bool
}

// propose appends a command to the log. It reports false where this VM does not lead; done is not called then.
func (c *Coordinator) propose(now time.Time, cmd *wire.AgreedCommand, done func(*wire.AgreedResult)) bool {
	if c.r == nil || c.r.Status(now).Role != replicator.Leader {
		return false
	}
	if cmd.Config != nil && c.state.holds(cmd.Config.Version) {
		// The state never goes back, so this needs no new entry.
		done(&wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_COMMITTED})
		return true
	}
	var command []byte
	if cmd.Config != nil || cmd.Grant != nil {
		b, err := proto.Marshal(cmd)
		if err != nil {
			c.cfg.Log.Error("Command cannot be encoded.", "error", err)
			return false
		}
		command = b
	}
	out, index, term, ok := c.r.Propose(now, &wire.Change{Command: command})
	if ok {
		c.waiting[index] = waiter{term, done}
	}
	c.take(out)
	return ok
}

func (c *Coordinator) forward(f *forward) {
	c.forwards = append(c.forwards, f)
	c.offer(c.cfg.Now(), f)
}

func (c *Coordinator) retryForwards(now time.Time) {
	for _, f := range c.forwards {
		if !f.finished && !now.Before(f.deadline) {
			verdict := wire.AgreedResult_VERDICT_NO_LEADER
			if f.maybe {
				verdict = wire.AgreedResult_VERDICT_UNKNOWN
			}
			c.finish(f, &wire.AgreedResult{Verdict: verdict})
		}
		if !f.finished && !f.calling && !now.Before(f.nextAt) {
			c.offer(now, f)
		}
	}
	c.forwards = slices.DeleteFunc(c.forwards, func(f *forward) bool { return f.finished })
}

// offer hands a command to the leader as far as it is known here.
func (c *Coordinator) offer(now time.Time, f *forward) {
	f.nextAt = now.Add(forwardEvery)
	if c.r == nil {
		return
	}
	f.calling = true
	answered := func(res *wire.AgreedResult) { c.answered(f, res) }
	if c.propose(now, f.cmd, answered) {
		f.maybe = true
		return
	}
	leader := c.r.Status(now).Leader
	if leader == "" || leader == c.cfg.Name {
		f.calling = false
		return
	}
	f.maybe = true
	by := now.Add(forwardWait)
	if f.deadline.Before(by) {
		by = f.deadline
	}
	e := &wire.Envelope{Body: &wire.Envelope_AgreedCommand{AgreedCommand: f.cmd}}
	c.cfg.Call(leader, e, by, func(r *wire.Envelope, err error) {
		res := r.GetAgreedResult()
		if err != nil || res == nil {
			res = &wire.AgreedResult{Verdict: wire.AgreedResult_VERDICT_UNKNOWN}
		}
		c.put(func() { c.answered(f, res) })
	})
}

func (c *Coordinator) answered(f *forward, res *wire.AgreedResult) {
	f.calling = false
	if res.Verdict == wire.AgreedResult_VERDICT_COMMITTED {
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
