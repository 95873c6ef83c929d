package taker

import (
	"time"

	"clementineyard/internal/allocator"
)

// surveyGrace is how old a register may get until the surveys of all cells are no longer expected at any moment. After a loss of
// power they arrive within some 0.3 s.
const surveyGrace = 500 * time.Millisecond

// vouchExpectedAt returns when a register is expected to vouch for a job, by the ages that registers have stated; zero while that may
// be at any moment or is not known.
func (t *Taker) vouchExpectedAt(a *claimAttempt) time.Time {
	now, expected := t.cfg.Now(), time.Time{}
	if a.result.ClaimedBefore {
		// A former owner of the cell has had the job and may have started it, so that a refusal would not be true.
		return time.Time{}
	}
	for _, register := range a.owed {
		r := a.replies[register]
		if r.GetHolder() == "" {
			continue
		}
		age := time.Duration(r.AgeMillis) * time.Millisecond
		if r.Complete || age < surveyGrace {
			return time.Time{}
		}
		if at := now.Add(t.times.warmUp - age); expected.IsZero() || at.Before(expected) {
			expected = at
		}
	}
	if deadline := t.claimDeadline(a); deadline.Before(expected) {
		return deadline
	}
	return expected
}

// reportDelay tells the owner of a cell once when a register is expected to vouch for a job, so that it refuses one that cannot wait
// for that.
func (t *Taker) reportDelay(cell string, fence uint64, c allocator.Claim, a *claimAttempt) {
	if a.delayReported || c.Confirmed {
		return
	}
	expected := t.vouchExpectedAt(a)
	if owned := t.controller(cell); !expected.IsZero() && owned != nil && owned.Grant().Fence == fence {
		a.delayReported = true
		owned.ClaimDelayed(c, expected)
	}
}
