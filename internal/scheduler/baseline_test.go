package scheduler_test

import (
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// The baseline must learn nothing, or the comparison understates what learning does: a server that fails everything
// keeps its part of the work, and no task is refused or taken out of its turn for its run time.
func TestBaselineLearnsNothing(t *testing.T) {
	s := fixture(scheduler.Config{Seed: 1, Policy: scheduler.PolicyBaseline}, 10, 4, desk())
	sim := simulate(s, func(scheduler.Start) time.Duration { return 20 * ms })
	bad := func(server string) bool { return server < "server-002" }
	touched, all := 0, 0
	sim.onStart = func(st scheduler.Start) {
		all++
		if bad(st.Server) {
			touched++
		}
	}
	sim.onEnd = func(st scheduler.Start) scheduler.Result { return scheduler.Result{Failed: bad(st.Server)} }
	for id := range uint64(8000) {
		if r := s.Admit(sim.now, []scheduler.Task{task(id, short, "a", time.Hour)}); r != nil {
			t.Fatal(r)
		}
		if id%8 == 7 {
			sim.step(10 * ms)
		}
	}
	st := s.Stats()
	if part := float64(touched) / float64(all); part < 0.18 || part > 0.22 {
		t.Errorf("%.3f of the tasks went to 2 of 10 servers, want 0.2", part)
	}
	if st.Quarantined != 0 || st.Learned != 0 {
		t.Errorf("%d servers quarantined, %d run times learned, want none", st.Quarantined, st.Learned)
	}
}
