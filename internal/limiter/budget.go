package limiter

const (
	// tokensPerAttempt is what a first attempt adds: retries are at most 10% of the first attempts.
	tokensPerAttempt = 0.1
	// maxTokens limits the retries that can accumulate while none are needed.
	maxTokens = 100
	// initialTokens allows a service that has just been started, or whose owner has changed, to move tasks away from
	// a dead server.
	initialTokens = 10
)

// RetryBudget is a token bucket that limits the retries of one service.
type RetryBudget struct {
	tokens float64
}

// NewRetryBudget returns the budget of a service that has not started any task yet.
func NewRetryBudget() RetryBudget { return RetryBudget{tokens: initialTokens} }

// RecordFirstAttempt records a first attempt, which adds to the budget.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(b.tokens+tokensPerAttempt, maxTokens) }

// TakeRetry takes the token for one retry and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	// Ten additions of 0.1 sum to slightly less than 1 in binary floating point.
	const tolerance = 1e-9
	if b.tokens < 1-tolerance {
		return false
	}
	b.tokens--
	return true
}

// Quota limits the running tasks of one team.
type Quota struct {
	// Limit is the maximum number of running tasks; negative means no limit.
	Limit int
	// Running is the number of running tasks.
	Running int
}

// Full reports whether no further task may start.
func (q *Quota) Full() bool { return q.Limit >= 0 && q.Running >= q.Limit }
