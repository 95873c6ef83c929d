package limiter_test

import (
	"fmt"
	"testing"

	"clementineyard/internal/limiter"
)

// TestFairQueueFollowsWeights guards against shares that do not follow the weights, and against a flow that accumulates
// credit while it is idle.
func TestFairQueueFollowsWeights(t *testing.T) {
	s := limiter.NewFairQueue[string]()
	a, b := limiter.NewFlow("a", 3), limiter.NewFlow("b", 1)
	s.Add(a)
	s.Add(b)
	serve := func(n int) map[string]int {
		got := map[string]int{}
		for range n {
			f := s.Next()
			s.Charge(f, 1)
			got[f.Owner]++
		}
		return got
	}
	if got := serve(400); got["a"] < 299 || got["a"] > 301 {
		t.Errorf("of 400 starts at weights 3 to 1: %v", got)
	}
	s.Remove(b)
	if got := serve(400); got["a"] != 400 || s.TotalWeight() != 3 {
		t.Errorf("b idle: %v, sum of weights %v", got, s.TotalWeight())
	}
	s.Add(b)
	if got := serve(400); got["a"] < 299 || got["a"] > 301 {
		t.Errorf("b back: %v", got)
	}
	s.Remove(a)
	s.Remove(b)
	if s.Next() != nil || a.Waiting() || s.TotalWeight() != 0 {
		t.Error("a flow still waits after both have left")
	}
}

// ExampleRetryBudget shows that retries are at most a tenth of the first attempts once the initial tokens are used up.
func ExampleRetryBudget() {
	b := limiter.NewRetryBudget()
	initial, later := 0, 0
	for b.TakeRetry() {
		initial++
	}
	for range 1000 {
		b.RecordFirstAttempt()
		if b.TakeRetry() {
			later++
		}
	}
	fmt.Println(initial, later)
	// Output: 10 100
}

// TestRetryBudgetIsBounded guards against a long time without retries that allows a burst of them.
func TestRetryBudgetIsBounded(t *testing.T) {
	b := limiter.NewRetryBudget()
	for range 100_000 {
		b.RecordFirstAttempt()
	}
	retries := 0
	for b.TakeRetry() {
		retries++
	}
	if retries != 100 {
		t.Errorf("%d retries accumulated, want 100", retries)
	}
}

// TestQuota guards against a negative limit that is taken as zero, and the reverse.
func TestQuota(t *testing.T) {
	for _, c := range []struct {
		limit, running int
		full           bool
	}{{-1, 1000, false}, {0, 0, true}, {2, 1, false}, {2, 2, true}, {2, 3, true}} {
		if q := (limiter.Quota{Limit: c.limit, Running: c.running}); q.Full() != c.full {
			t.Errorf("limit %d, running %d: full %t", c.limit, c.running, q.Full())
		}
	}
}
