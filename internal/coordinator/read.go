package coordinator

import (
	"slices"
	"time"

	"clementineyard/wire"
)

// readBatchTime bounds how long a read waits for the command of others to be confirmed before it gets one of its own.
const readBatchTime = tickInterval

// pendingRead is a read that waits for a command.
type pendingRead struct {
	deadline time.Time
	done     func(*wire.AgreedResult)
}

// reader holds the reads of the agreed state. Those that arrive while a command is being confirmed share the next one, as each
// command takes an entry of the log, and on a follower a copy of the state from the leader.
type reader struct {
	pending  []pendingRead
	inFlight int
	// nextAt is when the next command starts although one is in flight.
	nextAt time.Time
}

// Read calls done once, at the deadline at the latest, with a state that is not older than any acknowledged before the call. It is
// a linearizable read.
func (c *Coordinator) Read(deadline time.Time, done func(*wire.AgreedResult)) {
	if !c.enqueue(func() {
		c.reader.pending = append(c.reader.pending, pendingRead{deadline, done})
		c.confirmReads(c.cfg.Now())
	}) {
		done(noLeader())
	}
}

// confirmReads starts a command for the pending reads, unless one that has just started is in flight.
func (c *Coordinator) confirmReads(now time.Time) {
	if len(c.reader.pending) == 0 || c.reader.inFlight > 0 && now.Before(c.reader.nextAt) {
		return
	}
	batch := c.reader.pending
	c.reader.pending, c.reader.nextAt = nil, now.Add(readBatchTime)
	c.reader.inFlight++
	first := slices.MinFunc(batch, func(a, b pendingRead) int { return a.deadline.Compare(b.deadline) })
	c.forward(&forward{cmd: &wire.AgreedCommand{}, deadline: first.deadline, done: func(res *wire.AgreedResult) {
		c.reader.inFlight--
		res = c.shareState(res)
		for _, r := range batch {
			r.done(res)
		}
		// The command may have been confirmed amid the output of the replica.
		c.enqueue(func() { c.confirmReads(c.cfg.Now()) })
	}})
}

// shareState replaces the copy of a state in a result with this voter's own where both are the same.
func (c *Coordinator) shareState(res *wire.AgreedResult) *wire.AgreedResult {
	if res.State == nil || res.State.Index != c.state.index {
		return res
	}
	return &wire.AgreedResult{Verdict: res.Verdict, State: c.state.message()}
}
