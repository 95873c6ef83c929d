package estimator

const (
	// medianFraction and tailFraction are the quantiles tracked for run times.
	medianFraction = 0.5
	tailFraction   = 0.9
	// minStep and maxStep limit the relative step of a streaming quantile. Steps grow while the samples stay on one
	// side, so that the estimate adapts to a changed run time within tens of results.
	minStep = 0.01
	maxStep = 0.3
	// initialStep is large enough to reach the right order of magnitude when the first sample was far off.
	initialStep = 0.2
)

// Quantile estimates one quantile of a stream of positive numbers in constant memory by multiplicative steps.
type Quantile struct {
	q, value, step float64
	// above is true when the last sample was above the estimate.
	above bool
}

// NewQuantile returns an estimator of the quantile q, between 0 and 1.
func NewQuantile(q float64) Quantile { return Quantile{q: q, step: initialStep} }

// Value returns the estimate, zero before the first sample.
func (q *Quantile) Value() float64 { return q.value }

// Add updates the estimate with a positive sample.
func (q *Quantile) Add(x float64) {
	if q.value == 0 {
		q.value = x
		return
	}
	if x == q.value {
		return
	}
	above := x > q.value
	if above == q.above {
		q.step = min(q.step*1.2, maxStep)
	} else {
		q.step = max(q.step/1.5, minStep)
	}
	q.above = above
	// The two steps balance when a fraction q of the samples lies below the estimate. A step does not go past the
	// sample.
	if above {
		q.value = min(q.value*(1+q.step*q.q), max(x, q.value))
	} else {
		q.value = max(q.value/(1+q.step*(1-q.q)), min(x, q.value))
	}
}
