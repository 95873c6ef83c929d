package allocator

import (
	"testing"
	"time"
)

// TestOrdersInFlight guards against a job whose tasks request no resources and that takes an order for each at once, to start them
// and to stop them, and against orders that are left out.
func TestOrdersInFlight(t *testing.T) {
	const tasks = 3*maxOrdersInFlight + 1
	now := time.Unix(1000, 0)
	a, _, _ := newServingWorker(t, now)
	out := a.Submit(now, &Job{
		ID: "free", Service: "s", ArrivedAt: now, MaxAttempts: 1, StretchFactor: 2, TargetLatency: time.Minute,
		Steps: []Step{{Count: tasks, Estimate: time.Second}},
	})
	started := 0
	for starts := out.Starts; len(starts) > 0; started++ {
		if len(starts) > maxOrdersInFlight {
			t.Fatalf("%d starts at once, want at most %d", len(starts), maxOrdersInFlight)
		}
		starts = append(starts[1:], a.HandleStartResult(now, starts[0], Done).Starts...)
	}
	if started != tasks {
		t.Errorf("%d starts, want %d", started, tasks)
	}
	stopped := 0
	for stops := a.Cancel(now, "free", "", 0, 0).Stops; len(stops) > 0; stops = a.Tick(now).Stops {
		if len(stops) > maxOrdersInFlight {
			t.Fatalf("%d stops at once, want at most %d", len(stops), maxOrdersInFlight)
		}
		for _, s := range stops {
			a.HandleStopResult(now, s, Done)
		}
		stopped += len(stops)
	}
	if stopped != tasks {
		t.Errorf("%d stops, want %d", stopped, tasks)
	}
}
