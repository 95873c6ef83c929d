package scheduler_test

import (
	"math"
	"testing"
	"time"

	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// Guards against a refusal with a wrong reason, and against a job of which only some tasks are admitted.
func TestAdmitRefuses(t *testing.T) {
	batch := scheduler.Service{Name: "batch", OnWorkers: true, Tasks: []scheduler.TaskSpec{{Name: short}}}
	nowhere := scheduler.Service{Name: "nowhere", Tasks: []scheduler.TaskSpec{{Name: short}}}
	closed := deskService()
	closed.TeamQuotas, closed.MaxQueued = map[string]int{"none": 0}, 10
	one := func(t scheduler.Task) []scheduler.Task { return []scheduler.Task{t} }
	large := scheduler.Task{Service: "batch", Name: short, Ask: scheduler.Resources{Millicores: 3000, Accelerators: 1}}
	fits := scheduler.Task{Service: "batch", Name: short, Ask: scheduler.Resources{Millicores: 4000}}
	many := make([]scheduler.Task, 11)
	for i := range many {
		many[i] = task(uint64(i), short, "a", time.Hour)
	}
	for _, c := range []struct {
		name  string
		tasks []scheduler.Task
		want  wire.Reason
	}{
		{"service not configured", one(scheduler.Task{Service: "other", Name: short}), wire.Reason_REASON_UNKNOWN_SERVICE},
		{"task not configured", one(task(1, "other", "a", time.Hour)), wire.Reason_REASON_UNKNOWN_TASK},
		{"nothing announced", one(scheduler.Task{Service: "nowhere", Name: short}), wire.Reason_REASON_NO_SERVER},
		{"fits no single worker", one(large), wire.Reason_REASON_NEVER_FITS},
		{"fits a worker", one(fits), wire.Reason_REASON_NONE},
		{"quota of none", one(task(1, short, "none", time.Hour)), wire.Reason_REASON_QUOTA_EXCEEDED},
		{"queue bound", many, wire.Reason_REASON_QUEUE_FULL},
		{"one bad task in a job", append(one(task(1, short, "a", time.Hour)), large), wire.Reason_REASON_NEVER_FITS},
		{"deadline before the run ends", one(task(1, short, "a", 40*ms)), wire.Reason_REASON_DEADLINE_UNREACHABLE},
		{"deadline after the run ends", one(task(1, short, "a", 60*ms)), wire.Reason_REASON_NONE},
	} {
		s := newScheduler(scheduler.Config{}, 1, 4, closed)
		s.Configure([]scheduler.Service{closed, batch, nowhere})
		s.Announce(epoch, worker(1, scheduler.Resources{Millicores: 4000, Memory: 4}, time.Hour))
		s.Announce(epoch, worker(2, scheduler.Resources{Millicores: 2000, Accelerators: 2}, time.Hour))
		got := wire.Reason_REASON_NONE
		if r := s.Admit(epoch, c.tasks); r != nil {
			got = r.Reason
		}
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if queued := s.Stats().Queued; got != wire.Reason_REASON_NONE && queued != 0 {
			t.Errorf("%s: %d tasks of the refused job are queued", c.name, queued)
		}
	}
}

// Guards against an overfilled or unused server after an unanswered task, a stale announcement or the loss of the
// previous owner.
func TestAnnouncements(t *testing.T) {
	older, newer, leaving := backend(0, 1, time.Hour), backend(0, 1, time.Hour), backend(0, 1, time.Hour)
	older.Incarnation, newer.Incarnation, leaving.Leaving = 0, 2, true
	occupied, free := backend(0, 1, time.Hour), backend(0, 1, time.Hour)
	occupied.Running = 1
	start := func(s *scheduler.Scheduler) bool { _, ok := s.Next(epoch); return ok }
	loseAnswer := func(s *scheduler.Scheduler) {
		start(s)
		s.Finish(epoch, 1, scheduler.Result{Failed: true, MayStillRun: true})
	}
	for _, c := range []struct {
		name string
		do   func(s *scheduler.Scheduler)
		want bool
	}{
		{"free", func(*scheduler.Scheduler) {}, true},
		{"full", func(s *scheduler.Scheduler) { start(s) }, false},
		{"leaving", func(s *scheduler.Scheduler) { s.Announce(epoch, leaving) }, false},
		{"leaving is final", func(s *scheduler.Scheduler) { s.Announce(epoch, leaving); s.Announce(epoch, free) }, false},
		{"older ignored", func(s *scheduler.Scheduler) { start(s); s.Announce(epoch, older) }, false},
		{"restarted with empty counters", func(s *scheduler.Scheduler) { start(s); s.Announce(epoch, newer) }, true},
		{"late result of the old incarnation", func(s *scheduler.Scheduler) {
			start(s)
			s.Announce(epoch, newer)
			start(s)
			s.Finish(epoch, 1, scheduler.Result{})
		}, false},
		{"previous owner's task", func(s *scheduler.Scheduler) { s.Announce(epoch, occupied); s.TakeOver(epoch) }, false},
		{"previous owner's task ended", func(s *scheduler.Scheduler) {
			s.Announce(epoch, occupied)
			s.TakeOver(epoch)
			s.Announce(epoch, free)
		}, true},
		{"task without an answer", func(s *scheduler.Scheduler) { loseAnswer(s) }, false},
		{"task without an answer still runs", func(s *scheduler.Scheduler) { loseAnswer(s); s.Announce(epoch, occupied) }, false},
		{"task without an answer ended", func(s *scheduler.Scheduler) { loseAnswer(s); s.Announce(epoch, free) }, true},
		{"task without an answer on a server that restarted", func(s *scheduler.Scheduler) { loseAnswer(s); s.Announce(epoch, newer) }, true},
		{"own task does not count as a previous owner's", func(s *scheduler.Scheduler) {
			start(s)
			s.Announce(epoch, occupied)
			s.TakeOver(epoch)
			s.Finish(epoch, 1, scheduler.Result{})
		}, true},
	} {
		s := newScheduler(scheduler.Config{}, 1, 1, deskService())
		if r := s.Admit(epoch, []scheduler.Task{task(1, short, "a", time.Hour), task(2, short, "a", time.Hour), task(3, short, "a", time.Hour)}); r != nil {
			t.Fatal(r)
		}
		c.do(s)
		if got := start(s); got != c.want {
			t.Errorf("%s: starts %v, want %v", c.name, got, c.want)
		}
	}
}

// Shares must follow the weights while all teams have waiting tasks, and other teams must get the share of an idle
// team.
func TestSharesFollowWeights(t *testing.T) {
	svc := deskService()
	svc.TeamWeights, svc.TeamQuotas = map[string]int{"b": 3, "d": 2}, map[string]int{"d": 1}
	s := newScheduler(scheduler.Config{}, 5, 8, svc)
	id := uint64(0)
	for range 2000 {
		for _, team := range []string{"a", "b", "d"} {
			id++
			if r := s.Admit(epoch, []scheduler.Task{task(id, short, team, time.Hour)}); r != nil {
				t.Fatal(r)
			}
		}
	}
	counts, runningD := map[string]int{}, 0
	sim := newSimulation(s, func(scheduler.Start) time.Duration { return 50 * ms })
	sim.onStart = func(st scheduler.Start) {
		counts[st.Task.Team]++
		if st.Task.Team == "d" {
			runningD++
		}
		if runningD > 1 {
			t.Fatalf("team d exceeds its quota")
		}
	}
	sim.onEnd = func(st scheduler.Start) scheduler.Result {
		if st.Task.Team == "d" {
			runningD--
		}
		return scheduler.Result{}
	}
	for range 150 {
		sim.step(10 * ms)
	}
	if ratio := float64(counts["b"]) / float64(counts["a"]); math.Abs(ratio-3) > 0.15 {
		t.Errorf("starts by team %v: ratio %.2f, want 3", counts, ratio)
	}
	if total := counts["a"] + counts["b"] + counts["d"]; total < 40*29 {
		t.Errorf("only %d starts: the share of a team at its quota was not used by others", total)
	}
}

// Short tasks must not wait behind long tasks or stragglers, and long tasks must still start under a constant load
// of short ones.
func TestShortAndLongWork(t *testing.T) {
	s := newScheduler(scheduler.Config{Seed: 1}, 5, 8, deskService())
	runTime := func(st scheduler.Start) time.Duration {
		if st.Task.Name == long || st.Task.ID%1000 == 7 {
			return 2500 * ms
		}
		return 50 * ms
	}
	sim := newSimulation(s, runTime)
	var longestWait time.Duration
	longStarts, admitted := 0, map[uint64]time.Time{}
	sim.onStart = func(st scheduler.Start) {
		if st.Task.Name == long {
			longStarts++
		} else if sim.now.Sub(epoch) > 10*time.Second {
			longestWait = max(longestWait, sim.now.Sub(admitted[st.Task.ID]))
		}
	}
	id := uint64(0)
	admit := func(name string) {
		id++
		admitted[id] = sim.now
		s.Admit(sim.now, []scheduler.Task{{ID: id, Service: "desk", Name: name, Team: "a", Deadline: sim.now.Add(time.Minute)}})
	}
	const seconds = 40
	for i := range seconds * 200 {
		for range 2 { // 400 short tasks of 50 ms each second: half of the 40 slots
			admit(short)
		}
		if i%10 == 0 { // 20 long tasks each second: more than the capacity of all slots
			admit(long)
		}
		sim.step(5 * ms)
	}
	if longestWait > 50*ms {
		t.Errorf("a short task waited %v", longestWait)
	}
	// A quarter of 40 slots runs 10 tasks at a time, of 2.5 s each.
	if want := seconds * 10 * 2 / 5; longStarts < want {
		t.Errorf("%d long tasks started, want %d", longStarts, want)
	}
}

// A server that fails every task must be quarantined after its first results, be probed, and return once its tasks
// succeed.
func TestQuarantine(t *testing.T) {
	s := newScheduler(scheduler.Config{Seed: 1}, 10, 4, deskService())
	sim := newSimulation(s, func(st scheduler.Start) time.Duration { return 20 * ms })
	repaired, early, late, afterRepair := false, 0, 0, 0
	isFailing := func(server string) bool { return server < "server-002" }
	sim.onEnd = func(st scheduler.Start) scheduler.Result {
		return scheduler.Result{Failed: !repaired && isFailing(st.Server)}
	}
	sim.onStart = func(st scheduler.Start) {
		if !isFailing(st.Server) {
			return
		}
		switch since := sim.now.Sub(epoch); {
		case repaired:
			afterRepair++
		case since > 2*time.Second:
			late++
		default:
			early++
		}
	}
	id := uint64(0)
	run := func(steps int) {
		for range steps {
			for range 8 {
				id++
				s.Admit(sim.now, []scheduler.Task{{ID: id, Service: "desk", Name: short, Deadline: sim.now.Add(time.Minute)}})
			}
			sim.step(10 * ms)
		}
	}
	run(1000)
	if q := s.Stats().Quarantined; q != 2 {
		t.Errorf("%d servers quarantined, want 2", q)
	}
	if late*100 > 6400 {
		t.Errorf("%d of 6400 tasks were sent to failing servers after 2 s", late)
	}
	if early > 60 {
		t.Errorf("%d tasks were sent to failing servers in the first 2 s", early)
	}
	repaired = true
	run(3100)
	if q := s.Stats().Quarantined; q != 0 || afterRepair < 1000 {
		t.Errorf("%d servers still quarantined, %d tasks on the repaired ones", q, afterRepair)
	}
}

// Guards against a large task that never starts because small ones always fill the workers.
func TestLargeTaskStarts(t *testing.T) {
	s := scheduler.New(scheduler.Config{})
	s.Configure([]scheduler.Service{{Name: "batch", OnWorkers: true, Tasks: []scheduler.TaskSpec{{Name: short}}}})
	for i := range 4 {
		s.Announce(epoch, worker(i, scheduler.Resources{Millicores: 4000}, time.Hour))
	}
	sim := newSimulation(s, func(st scheduler.Start) time.Duration { return time.Duration(50+st.Task.ID%7) * ms })
	largeStarted := false
	sim.onStart = func(st scheduler.Start) { largeStarted = largeStarted || st.Task.Team == "large" }
	admit := func(id uint64, team string, millicores int64) {
		if r := s.Admit(sim.now, []scheduler.Task{{
			ID: id, Service: "batch", Name: short, Team: team, Ask: scheduler.Resources{Millicores: millicores}, Deadline: sim.now.Add(time.Hour),
		}}); r != nil {
			t.Fatal(r)
		}
	}
	for id := range uint64(3000) {
		admit(id+2, "small", 1000)
		if id == 50 {
			admit(1, "large", 4000)
		}
		sim.step(2 * ms)
	}
	if !largeStarted {
		t.Error("the large task did not start in 6 s")
	}
}

// Retries must not exceed a tenth of the first attempts plus the tokens that the budget starts with.
func TestRetryBudget(t *testing.T) {
	s := newScheduler(scheduler.Config{}, 4, 100, deskService())
	retries := 0
	for id := range uint64(1000) {
		s.Admit(epoch, []scheduler.Task{task(id, short, "a", time.Hour)})
		st, ok := s.Next(epoch)
		for ok {
			s.Finish(epoch, st.Task.ID, scheduler.Result{Failed: true, NotStarted: true})
			if ok = s.Requeue(epoch, st.Task); ok {
				retries++
				st, ok = s.Next(epoch)
			}
		}
	}
	// A tenth of the first attempts, and the ten initial tokens.
	if retries != 110 {
		t.Errorf("%d retries for 1000 first attempts, want 110", retries)
	}
}

// Guards against a predicted wait that is far from the actual one, which would refuse tasks that could end in time
// and admit tasks that cannot.
func TestWaitPrediction(t *testing.T) {
	s := newScheduler(scheduler.Config{Seed: 1}, 5, 8, deskService())
	sim := newSimulation(s, func(st scheduler.Start) time.Duration { return time.Duration(30+st.Task.ID%41) * ms })
	id, refused := uint64(0), 0
	var late int
	deadlines := map[uint64]time.Time{}
	sim.onEnd = func(st scheduler.Start) scheduler.Result {
		if sim.now.After(deadlines[st.Task.ID]) {
			late++
		}
		return scheduler.Result{}
	}
	const steps = 2000
	for range steps {
		for range 8 { // twice the capacity: 1,600 tasks a second on 40 slots of 50 ms
			id++
			deadlines[id] = sim.now.Add(500 * ms)
			if r := s.Admit(sim.now, []scheduler.Task{{ID: id, Service: "desk", Name: short, Deadline: deadlines[id]}}); r != nil {
				refused++
			}
		}
		sim.step(5 * ms)
	}
	w := s.Stats().WaitError
	if w.MeanAbsolute > 100*ms {
		t.Errorf("wait is off by %v on average (bias %v), want at most a fifth of the deadline", w.MeanAbsolute, w.Bias)
	}
	inTime := int(id) - refused - late - s.Stats().Queued - s.Stats().Running
	if capacity := steps * 4; inTime*100 < capacity*95 {
		t.Errorf("%d tasks in time, want 95%% of %d; %d refused, %d late", inTime, capacity, refused, late)
	}
	t.Logf("wait error %+v; %d in time, %d refused, %d late", w, inTime, refused, late)
}

// Long tasks must leave a quarter of the slots free for short tasks that may arrive, and must keep a quarter when
// many short tasks wait.
func TestSlotsOfTheClasses(t *testing.T) {
	for _, c := range []struct {
		name      string
		shortLoad bool
		low, high int
	}{
		{"only long work waits", false, 30, 30},
		{"short work fills all slots", true, 10, 12},
	} {
		s := newScheduler(scheduler.Config{Seed: 1}, 5, 8, deskService())
		sim := newSimulation(s, func(st scheduler.Start) time.Duration {
			if st.Task.Name == long {
				return time.Second
			}
			return 50 * ms
		})
		runningLong := 0
		sim.onStart = func(st scheduler.Start) {
			if st.Task.Name == long {
				runningLong++
			}
		}
		sim.onEnd = func(st scheduler.Start) scheduler.Result {
			if st.Task.Name == long {
				runningLong--
			}
			return scheduler.Result{}
		}
		id := uint64(0)
		admit := func(taskName string, n int) {
			for range n {
				id++
				if r := s.Admit(sim.now, []scheduler.Task{task(id, taskName, "a", time.Hour)}); r != nil {
					t.Fatal(r)
				}
			}
		}
		admit(short, 20)
		admit(long, 10)
		for range 130 { // until both run times are learned
			sim.step(10 * ms)
		}
		admit(long, 1000)
		if c.shortLoad {
			admit(short, 10_000)
		}
		for i := range 400 {
			sim.step(10 * ms)
			if i > 200 && (runningLong < c.low || runningLong > c.high) {
				t.Errorf("%s: %d of 40 slots run long work, want %d to %d", c.name, runningLong, c.low, c.high)
				break
			}
		}
	}
}
