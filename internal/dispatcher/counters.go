package dispatcher

import (
	"sync/atomic"

	"clementineyard/wire"
)

// reasonCount bounds the reasons; wire.Reason values are small and dense.
const reasonCount = 64

// Counters counts since the start of the process. Its fields are safe for concurrent use.
type Counters struct {
	// Starts counts tasks sent to servers, Retries those sent again.
	Starts, Retries atomic.Int64
	// Answered, NotRun and Unknown count submissions by outcome.
	Answered, NotRun, Unknown atomic.Int64
	// CancelledQueued and CancelledRunning count tasks.
	CancelledQueued, CancelledRunning atomic.Int64
	// Refused counts submissions that did not run, by wire.Reason.
	Refused [reasonCount]atomic.Int64
}

func (c *Counters) count(a *wire.Answer) {
	switch a.Outcome {
	case wire.Outcome_OUTCOME_ANSWERED:
		c.Answered.Add(1)
	case wire.Outcome_OUTCOME_NOT_RUN:
		c.NotRun.Add(1)
		if r := int(a.Reason); r < reasonCount {
			c.Refused[r].Add(1)
		}
	default:
		c.Unknown.Add(1)
	}
}
