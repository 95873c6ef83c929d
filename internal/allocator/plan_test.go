package allocator

import (
	"testing"
	"time"

	"clementineyard/wire"
)

// TestDeadlines guards against a job that is kept long after it should have been refused, and against an expected run
// time that counts only the longest step of a chain.
func TestDeadlines(t *testing.T) {
	now := time.Unix(1000, 0)
	step := Step{Count: 1, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}
	second, third, side := step, step, step
	second.DependsOn, third.DependsOn = []int{0}, []int{1}
	for name, c := range map[string]struct {
		steps    []Step
		expected time.Duration
	}{
		"one step":         {[]Step{step}, 100 * time.Millisecond},
		"chain":            {[]Step{step, second, third}, 300 * time.Millisecond},
		"independent":      {[]Step{step, side, side}, 100 * time.Millisecond},
		"chain and a side": {[]Step{step, second, side}, 200 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(Config{MaxLease: time.Second, GrantedAt: now})
			a.Submit(now, &Job{ID: "j", Queue: "q", Service: "s", Steps: c.steps, ArrivedAt: now, MaxAttempts: 1, StretchFactor: 2, TargetLatency: 100 * time.Millisecond})
			objective := 2*c.expected + 100*time.Millisecond
			j := a.jobs["j"]
			if j.expectedRunTime != c.expected || !j.latestStart.Equal(now.Add(objective-c.expected)) {
				t.Fatalf("expected %v, latest start after %v", j.expectedRunTime, j.latestStart.Sub(now))
			}
			j.spilloverAt = now.Add(time.Hour)
			if out := a.Tick(now.Add(objective * 13 / 10)); len(out.Answers) > 0 {
				t.Fatalf("answered early: %+v", out.Answers[0])
			}
			out := a.Tick(now.Add(objective * 3 / 2))
			if len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_REFUSED || out.Answers[0].RetryAfter <= 0 {
				t.Fatalf("answers %+v", out.Answers)
			}
		})
	}
}

// TestWarmUp guards against a new owner that refuses jobs before its workers have reported, and against one that keeps
// jobs that can earn nothing any more.
func TestWarmUp(t *testing.T) {
	granted := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		// waited is how long before the grant the job arrived, and refused how long after the grant it is refused. Its
		// objective is 300 ms, so it is normally refused 420 ms, and worthless 800 ms, after its arrival.
		waited, refused time.Duration
	}{
		"new":                {0, 420 * time.Millisecond},
		"past its objective": {350 * time.Millisecond, warmUpPeriod},
		"soon worthless":     {600 * time.Millisecond, 200 * time.Millisecond},
		"worthless":          {900 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(Config{MaxLease: time.Second, GrantedAt: granted})
			a.Submit(granted, &Job{
				ID: "j", Service: "s", ArrivedAt: granted.Add(-c.waited), MaxAttempts: 1, StretchFactor: 2, TargetLatency: 100 * time.Millisecond,
				Steps: []Step{{Count: 1, Ask: Resources{Millicores: 1000}, Estimate: 100 * time.Millisecond}},
			})
			a.jobs["j"].spilloverAt = granted.Add(time.Hour)
			for after := time.Duration(0); ; after += 10 * time.Millisecond {
				out := a.Tick(granted.Add(after + 1))
				if len(out.Answers) == 0 && after < time.Second {
					continue
				}
				if len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_REFUSED || after != c.refused {
					t.Fatalf("after %v: %+v, want a refusal after %v", after, out.Answers, c.refused)
				}
				return
			}
		})
	}
}

// TestRoomWhileStepsWait guards against a cell that reports no free room while its pending tasks wait only for earlier
// steps.
func TestRoomWhileStepsWait(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(Config{MaxLease: time.Second, GrantedAt: now})
	a.Report(now, &wire.WorkerReport{Id: "w", Service: "s", Millicores: 16000})
	a.DueHolds(now)
	a.HandleListing(now, now, "w", Listing{Clock: 1})
	a.DueHolds(now)
	first := Step{Count: 1, Ask: Resources{Millicores: 5000}, Estimate: 100 * time.Millisecond}
	second := first
	second.DependsOn = []int{0}
	job := func(id string) *Job {
		return &Job{ID: id, Queue: "q", Service: "s", Steps: []Step{first, second}, ArrivedAt: now, MaxAttempts: 1, StretchFactor: 2, RejectIfFull: true}
	}
	for i, id := range []string{"a", "b", "c"} {
		if room := a.FreeMillicores(now); room != 16000-int64(i)*5000 {
			t.Fatalf("%d millicores are free beside %d jobs", room, i)
		}
		if out := a.Submit(now, job(id)); len(out.Starts) != 1 || len(out.Answers) > 0 {
			t.Fatalf("job %s: %+v", id, out)
		}
	}
	if out := a.Submit(now, job("d")); len(out.Answers) != 1 || out.Answers[0].Kind != wire.FleetOutcome_KIND_NO_ROOM {
		t.Fatalf("a fourth job: %+v", out)
	}
}

// TestUnknownWorker guards against a second start of a task whose run continues on a worker that has not reported to
// the new owner yet (found by day owners.toml on svcrc-rally, seed 659851643857).
func TestUnknownWorker(t *testing.T) {
	now := time.Unix(1000, 0)
	a := New(Config{MaxLease: time.Second, GrantedAt: now})
	a.Report(now, &wire.WorkerReport{Id: "known", Service: "s", Millicores: 16000})
	a.DueHolds(now)
	a.HandleListing(now, now, "known", Listing{Clock: 1})
	a.DueHolds(now)
	j := &Job{
		ID: "j", Queue: "q", Service: "s", Steps: []Step{{Count: 1, Ask: Resources{Millicores: 5000}, Estimate: time.Second}},
		ArrivedAt: now, MaxAttempts: 1, StretchFactor: 2, MayHaveStarted: true,
	}
	if out := a.Submit(now, j); len(out.Starts) > 0 {
		t.Fatalf("started at once: %+v", out.Starts)
	}
	a.Report(now, &wire.WorkerReport{Id: "heard later", Service: "s", Millicores: 16000})
	a.DueHolds(now)
	running := Listing{Clock: 1, Running: []ListedRun{{Task: "j.0.0.0", Attempt: 1}}}
	if out := a.HandleListing(now.Add(100*time.Millisecond), now, "heard later", running); len(out.Starts) > 0 || a.jobs["j"].tasks[0].run == nil {
		t.Fatalf("the run is not adopted: %+v", out)
	}
}
