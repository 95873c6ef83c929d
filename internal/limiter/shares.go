package limiter

import "clementineyard/internal/sorter"

// Flow is one team's claim on a share.
type Flow[T any] struct {
	// Owner is what the flow stands for.
	Owner T
	// Weight is positive.
	Weight float64

	tag   float64
	index int
}

// NewFlow returns a Flow that does not wait.
func NewFlow[T any](owner T, weight float64) *Flow[T] {
	return &Flow[T]{Owner: owner, Weight: weight, index: -1}
}

// Waiting reports whether the flow takes part in the sharing.
func (f *Flow[T]) Waiting() bool { return f.index >= 0 }

// Shares is start-time fair queueing: the waiting flow with the least virtual start time is served next. A flow that
// comes back resumes at the current virtual time, so an idle share is lent and not saved up.
type Shares[T any] struct {
	waiting *sorter.Heap[*Flow[T]]
	virtual float64
	weights float64
}

// NewShares returns a Shares without flows.
func NewShares[T any]() *Shares[T] {
	return &Shares[T]{waiting: sorter.New(
		func(a, b *Flow[T]) bool { return a.tag < b.tag },
		func(f *Flow[T], i int) { f.index = i },
	)}
}

// Weights is the sum of the weights of the waiting flows.
func (s *Shares[T]) Weights() float64 { return s.weights }

// Len is the number of waiting flows.
func (s *Shares[T]) Len() int { return s.waiting.Len() }

// Join lets a flow wait.
func (s *Shares[T]) Join(f *Flow[T]) {
	if f.Waiting() {
		return
	}
	f.tag = max(f.tag, s.virtual)
	s.weights += f.Weight
	s.waiting.Push(f)
}

// Leave ends the waiting of a flow.
func (s *Shares[T]) Leave(f *Flow[T]) {
	if !f.Waiting() {
		return
	}
	s.weights -= f.Weight
	s.waiting.Remove(f.index)
	if s.waiting.Len() == 0 {
		s.weights = 0 // drops rounding errors
	}
}

// Least returns the flow to serve next, or nil.
func (s *Shares[T]) Least() *Flow[T] {
	if s.waiting.Len() == 0 {
		return nil
	}
	return s.waiting.Top()
}

// Charge accounts for a start of the given cost by a waiting flow.
func (s *Shares[T]) Charge(f *Flow[T], cost float64) {
	s.virtual = max(s.virtual, f.tag)
	f.tag += cost / f.Weight
	if f.Waiting() {
		s.waiting.Fix(f.index)
	}
}
