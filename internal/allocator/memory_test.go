package allocator

import (
	"testing"
	"time"

	"clementineyard/wire"
)

// TestLargestJobGivesWay guards against large jobs that wait and keep small ones out, and against a refusal of one that has started.
func TestLargestJobGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	a, _, _ := newServingWorker(t, now)
	started := a.jobs["j"].size
	a.cfg.Memory = &JobMemory{Limit: started + 1000*taskBytes}
	a.cfg.Memory.used.Add(started)
	submit := func(id string, tasks int) Output {
		return a.Submit(now, &Job{
			ID: id, Service: "s", ArrivedAt: now, MaxAttempts: 4, StretchFactor: 2, TargetLatency: time.Minute,
			Steps: []Step{{Count: tasks, Ask: Resources{Millicores: 1001}, Estimate: 100 * time.Millisecond}},
		})
	}
	const unspecified, refused = wire.FleetOutcome_KIND_UNSPECIFIED, wire.FleetOutcome_KIND_REFUSED
	for _, c := range []struct {
		id              string
		tasks           int
		displaced       string
		want, wantOther wire.FleetOutcome_Kind
	}{
		{"large", 900, "", unspecified, unspecified},
		{"larger", 950, "large", refused, unspecified},
		{"small", 200, "large", unspecified, refused},
		{"last", 800, "small", refused, unspecified},
		{"huge", 2000, "j", refused, unspecified},
	} {
		out := submit(c.id, c.tasks)
		if kind, other := outcomeOf(out, c.id), outcomeOf(out, c.displaced); kind != c.want || other != c.wantOther {
			t.Errorf("job %s: %v, %s: %v; want %v and %v", c.id, kind, c.displaced, other, c.want, c.wantOther)
		}
	}
	a.ReleaseMemory()
	if used := a.cfg.Memory.Used(); used != 0 {
		t.Errorf("%d bytes are in use after the end", used)
	}
}
