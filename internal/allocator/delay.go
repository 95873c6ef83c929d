package allocator

import (
	"time"

	"clementineyard/wire"
)

// This file refuses jobs that cannot be served in time because the fleet recovers. It answers the second or two after owners were
// lost, in which a job would otherwise wait for most of its objective before it is refused.

// HandleClaimDelay processes that no register is expected to vouch for a job before expectedAt. A job that is refused by then
// anyway is refused at once, and its client is told when service is expected.
func (a *Allocator) HandleClaimDelay(now time.Time, c Claim, expectedAt time.Time) Output {
	j := a.jobs[c.Job]
	if j == nil || !j.claiming || j.claimNumber != c.Number || !expectedAt.After(j.refuseAt) || j.started || j.MayHaveStarted || j.ranBefore || j.claimedBefore {
		return a.takeOutput()
	}
	if now.Before(a.cfg.GrantedAt.Add(warmUpPeriod)) {
		// A former owner may have started the job for another submission, and its worker has not listed its runs yet. The
		// registers may be older than this owner.
		return a.takeOutput()
	}
	a.count("refusedInRecovery")
	a.note("Owner refused a job that no register will vouch for in time.", "job", j.ID, "expectedIn", expectedAt.Sub(now), "refusedIn", j.refuseAt.Sub(now))
	// Clients are spread as those of other refused jobs are.
	wait := expectedAt.Sub(now) + retryAfter(j.ID) - minRetryAfter
	a.answerJob(now, j, Answer{Kind: wire.FleetOutcome_KIND_REFUSED, Reason: "the fleet recovers", RetryAfter: max(wait, minRetryAfter)})
	a.dispatch(now)
	return a.takeOutput()
}
