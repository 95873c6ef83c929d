package limiter

import "clementineyard/internal/sorter"

// Flow is one participant in a FairQueue, such as a team or a service.
type Flow[T any] struct {
	// Owner is the participant that the flow stands for.
	Owner T
	// Weight is the flow's relative share; it is positive.
	Weight float64

	// startTag is the virtual start time of the flow's next task.
	startTag float64
	// index is the flow's index in the heap, -1 while it is not waiting.
	index int
}

// NewFlow returns a Flow that is not waiting.
func NewFlow[T any](owner T, weight float64) *Flow[T] {
	return &Flow[T]{Owner: owner, Weight: weight, index: -1}
}

// Waiting reports whether the flow is waiting to be served.
func (f *Flow[T]) Waiting() bool { return f.index >= 0 }

// FairQueue is a start-time fair queue: the waiting flow with the least virtual start time is served next. A flow that
// returns resumes at the current virtual time, so the other flows get an idle flow's share and the flow does not
// accumulate credit.
type FairQueue[T any] struct {
	waitingFlows *sorter.Heap[*Flow[T]]
	// virtualTime is the largest start tag that has been served.
	virtualTime float64
	// weightSum is the sum of the weights of the waiting flows.
	weightSum float64
}

// NewFairQueue returns a FairQueue without waiting flows.
func NewFairQueue[T any]() *FairQueue[T] {
	return &FairQueue[T]{waitingFlows: sorter.New(
		func(a, b *Flow[T]) bool { return a.startTag < b.startTag },
		func(f *Flow[T], i int) { f.index = i },
	)}
}

// TotalWeight returns the sum of the weights of the waiting flows.
func (s *FairQueue[T]) TotalWeight() float64 { return s.weightSum }

// Len returns the number of waiting flows.
func (s *FairQueue[T]) Len() int { return s.waitingFlows.Len() }

// Add adds a flow to the waiting ones, unless it is already waiting.
func (s *FairQueue[T]) Add(f *Flow[T]) {
	if f.Waiting() {
		return
	}
	f.startTag = max(f.startTag, s.virtualTime)
	s.weightSum += f.Weight
	s.waitingFlows.Push(f)
}

// Remove removes a flow from the waiting ones, if it is waiting.
func (s *FairQueue[T]) Remove(f *Flow[T]) {
	if !f.Waiting() {
		return
	}
	s.weightSum -= f.Weight
	s.waitingFlows.Remove(f.index)
	if s.waitingFlows.Len() == 0 {
		s.weightSum = 0 // discards rounding errors
	}
}

// Next returns the flow to serve next, or nil when none is waiting.
func (s *FairQueue[T]) Next() *Flow[T] {
	if s.waitingFlows.Len() == 0 {
		return nil
	}
	return s.waitingFlows.Top()
}

// Charge accounts for a task of the given cost that a flow starts.
func (s *FairQueue[T]) Charge(f *Flow[T], cost float64) {
	s.virtualTime = max(s.virtualTime, f.startTag)
	f.startTag += cost / f.Weight
	if f.Waiting() {
		s.waitingFlows.Fix(f.index)
	}
}
