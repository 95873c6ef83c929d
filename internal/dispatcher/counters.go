package dispatcher

import (
	"sync/atomic"

	"clementineyard/wire"
)

// reasonLimit is the length of a table that is indexed by wire.Reason, whose values are small and dense.
const reasonLimit = 64

// Counters holds totals since the dispatcher was created. Its fields are safe for concurrent use.
type Counters struct {
	// Starts counts attempts sent to backend servers. Retries counts tasks that were queued again after an attempt.
	Starts, Retries atomic.Int64
	// Answered, NotRun and Unknown count submissions by wire.Outcome.
	Answered, NotRun, Unknown atomic.Int64
	// CancelledQueued and CancelledRunning count tasks by their state when the cancellation was handled.
	CancelledQueued, CancelledRunning atomic.Int64
	// Refused counts submissions that did not run, by wire.Reason.
	Refused [reasonLimit]atomic.Int64
}

func (c *Counters) count(a *wire.Answer) {
	switch a.Outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		c.Answered.Add(1)
	case wire.Outcome_OUTCOME_NOT_RUN:
		c.NotRun.Add(1)
		if r := int(a.Reason); r < reasonLimit {
			c.Refused[r].Add(1)
		}
	default:
		c.Unknown.Add(1)
	}
}
