package estimator

const (
	half = 0.5
	most = 0.9
	// minStep and maxStep bound the relative step of a streaming quantile. Steps grow while the samples stay on one
	// side, so that a changed run time is followed within tens of results.
	minStep = 0.01
	maxStep = 0.3
	// firstStep finds the order of magnitude when the first sample was far off.
	firstStep = 0.2
)

// Quantile follows one quantile of a stream of positive numbers in constant memory by multiplicative steps.
type Quantile struct {
	q, value, step float64
	above          bool
}

// NewQuantile returns a Quantile of fraction q, between 0 and 1.
func NewQuantile(q float64) Quantile { return Quantile{q: q, step: firstStep} }

// Value returns the estimate, zero before the first sample.
func (q *Quantile) Value() float64 { return q.value }

// Add takes a sample.
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
	// The two steps balance when a fraction q of the samples lies below the value. A step does not pass the sample.
	if above {
		q.value = min(q.value*(1+q.step*q.q), max(x, q.value))
	} else {
		q.value = max(q.value/(1+q.step*(1-q.q)), min(x, q.value))
	}
}
