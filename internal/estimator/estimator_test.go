package estimator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"clementineyard/internal/estimator"
)

var start = time.UnixMilli(1_764_846_000_000)

func learn(t *estimator.TaskRunTimes, n int, runTime time.Duration) {
	for range n {
		t.Learn(start, runTime)
	}
}

func within(got, want time.Duration, tolerance float64) bool {
	return (got - want).Abs() <= time.Duration(tolerance*float64(want))
}

// TestResultsReplaceDeclaredRunTime guards against a wrong declared run time that is still used after results.
func TestResultsReplaceDeclaredRunTime(t *testing.T) {
	task := estimator.New().Task("bench", "lookUp")
	if got := task.Predict(0); got != estimator.DefaultRunTime {
		t.Errorf("without any run time: %s", got)
	}
	if got := task.Predict(5 * time.Second); got != 5*time.Second {
		t.Errorf("with only a declared run time: %s", got)
	}
	learn(task, estimator.MinSamples, 100*time.Millisecond)
	if got := task.Predict(5 * time.Second); !within(got, 100*time.Millisecond, 0.01) {
		t.Errorf("after results of 100 ms: %s", got)
	}
	learn(task, 200, 400*time.Millisecond)
	if got := task.Predict(0); !within(got, 400*time.Millisecond, 0.05) {
		t.Errorf("after the run time grew to 400 ms: %s", got)
	}
}

// TestStragglerStaysShort guards against a straggler that makes a short task count as long, and against long tasks
// that count as short.
func TestStragglerStaysShort(t *testing.T) {
	e := estimator.New()
	short, long := e.Task("bench", "short"), e.Task("bench", "long")
	learn(short, 100, 50*time.Millisecond)
	learn(long, 20, 2*time.Second)
	if short.Long() || !long.Long() {
		t.Errorf("50 ms long: %t, 2 s long: %t", short.Long(), long.Long())
	}
	learn(short, 1, time.Minute)
	if short.Long() {
		t.Errorf("one straggler made the task long, predicted %s", short.Predict(0))
	}
	learn(long, 200, 2*time.Second)
	if !long.Long() {
		t.Error("a period with only long tasks made them short")
	}
	if e.Learned() != 2 {
		t.Errorf("%d tasks are learned, want 2", e.Learned())
	}
	e.Retain(func(service string) bool { return service != "bench" })
	if e.Learned() != 0 || e.Task("bench", "short").HasResult() {
		t.Error("a service that is not configured is still known")
	}
}

// TestAllSlowerIsShortAgain guards against a service whose tasks all became slower and then all count as long for
// good.
func TestAllSlowerIsShortAgain(t *testing.T) {
	task := estimator.New().Task("bench", "lookUp")
	learn(task, 50, 10*time.Millisecond)
	learn(task, 500, time.Second)
	if task.Long() {
		t.Error("the only task of the service counts as long")
	}
}

// TestQuantileFollows guards against a streaming quantile that does not converge or does not adapt to a change.
func TestQuantileFollows(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for _, c := range []struct{ q, want float64 }{{0.5, 1}, {0.9, 1.8}} {
		q := estimator.NewQuantile(c.q)
		for _, scale := range []float64{1000, 20} {
			for range 2000 {
				q.Add(scale * 2 * rng.Float64())
			}
			if got := q.Value() / scale; got < 0.7*c.want || got > 1.3*c.want {
				t.Errorf("quantile %v of uniform numbers below %v: %v, want about %v", c.q, 2*scale, q.Value(), c.want*scale)
			}
		}
	}
}

// TestWaitErrorTellsBias guards against errors of opposite sign that cancel out in every figure, and against a bias
// that is not shown.
func TestWaitErrorTellsBias(t *testing.T) {
	var symmetric, biased estimator.WaitError
	for i := range 1000 {
		sign := time.Duration(1 - 2*(i%2))
		symmetric.Add(100*time.Millisecond, 100*time.Millisecond+sign*10*time.Millisecond)
		biased.Add(100*time.Millisecond, 150*time.Millisecond)
	}
	if symmetric.Bias.Abs() > time.Millisecond || !within(symmetric.MeanAbsolute, 10*time.Millisecond, 0.05) || !within(symmetric.P90, 10*time.Millisecond, 0.05) {
		t.Errorf("errors of 10 ms either way: %+v", symmetric)
	}
	if !within(biased.Bias, -50*time.Millisecond, -0.05) || biased.Count != 1000 {
		t.Errorf("waits predicted 50 ms too short: %+v", biased)
	}
}
