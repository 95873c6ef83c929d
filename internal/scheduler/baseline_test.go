package scheduler_test

import (
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// Guards against a baseline that learns: the comparison would then understate the effect of learning. A server that
// fails every task must keep its part of the work, and no task may be refused or reordered because of its run time.
func TestBaselineLearnsNothing(t *testing.T) {
	s := newScheduler(scheduler.Config{Seed: 1, Policy: scheduler.PolicyBaseline}, 10, 4, deskService())
	sim := newSimulation(s, func(scheduler.Start) time.Duration { return 20 * ms })
	isFailing := func(server string) bool { return server < "server-002" }
	onFailing, total := 0, 0
	sim.onStart = func(st scheduler.Start) {
		total++
		if isFailing(st.Server) {
			onFailing++
		}
	}
	sim.onEnd = func(st scheduler.Start) scheduler.Result { return scheduler.Result{Failed: isFailing(st.Server)} }
	for id := range uint64(8000) {
		if r := s.Admit(sim.now, []scheduler.Task{task(id, short, "a", time.Hour)}); r != nil {
			t.Fatal(r)
		}
		if id%8 == 7 {
			sim.step(10 * ms)
		}
	}
	st := s.Stats()
	if fraction := float64(onFailing) / float64(total); fraction < 0.18 || fraction > 0.22 {
		t.Errorf("%.3f of the tasks went to 2 of 10 servers, want 0.2", fraction)
	}
	if st.Quarantined != 0 || st.LearnedTaskTypes != 0 {
		t.Errorf("%d servers quarantined, %d run times learned, want none", st.Quarantined, st.LearnedTaskTypes)
	}
}
