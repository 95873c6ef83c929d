package controller

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

// TestAbandonedJobs guards against memory that each job takes for good whose client or entry VM has left.
func TestAbandonedJobs(t *testing.T) {
	c := New(Config{
		Name: "owner", Grant: &wire.Grant{FailureDomain: "d", Cells: 1, Fence: 1}, Lease: time.Second, Now: time.Now,
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)), Count: func(string, int64) {}, Hears: func(string) bool { return false },
	})
	for _, id := range []string{"a", "b"} {
		c.submit(&allocator.Job{
			ID: id, Taker: "taker", Incarnation: 1, Arrived: time.Now(), Steps: []allocator.Step{{Count: 1}},
		}, func(*wire.FleetOutcome) { t.Errorf("job %s is answered", id) })
	}
	c.perform(c.a.Cancel(time.Now(), "a", "taker", 1))
	c.perform(c.a.DropTaker(time.Now(), "taker", 2))
	if len(c.replies) > 0 {
		t.Fatalf("%d replies are kept for jobs that are abandoned", len(c.replies))
	}
}
