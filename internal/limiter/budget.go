package limiter

const (
	// retryShare is what a first attempt adds: retries add at most 10% of the starts.
	retryShare = 0.1
	// maxTokens bounds the retries that a quiet time can save up.
	maxTokens = 100
	// initialTokens lets a service that has just been started, or taken over, move work away from a dead server.
	initialTokens = 10
)

// Budget is a token bucket for the retries of one service.
type Budget struct {
	tokens float64
}

// NewBudget returns the budget of a service that has not started anything yet.
func NewBudget() Budget { return Budget{tokens: initialTokens} }

// Attempt records a first attempt.
func (b *Budget) Attempt() { b.tokens = min(b.tokens+retryShare, maxTokens) }

// Take takes one retry and reports whether the budget allows it.
func (b *Budget) Take() bool {
	// Ten additions of 0.1 sum to slightly less than 1 in binary.
	const rounding = 1e-9
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// Quota caps the running tasks of one team.
type Quota struct {
	// Limit is the largest number of running tasks; negative means none.
	Limit   int
	Running int
}

// Full reports whether no more may start.
func (q *Quota) Full() bool { return q.Limit >= 0 && q.Running >= q.Limit }
