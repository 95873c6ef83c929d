package scheduler_test

import (
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// At three times the capacity, refusals must come at submission and not after a wait, the slots must stay busy with work
// that ends in time, and work of several seconds must go on behind a constant load of shorter work.
func TestOverloadRefusesAtSubmission(t *testing.T) {
	const (
		steps, slots = 4000, 40
		step         = 5 * ms
		export       = "export"
	)
	svc := desk()
	svc.Tasks = append(svc.Tasks, scheduler.TaskSpec{Name: export, Declared: 3 * time.Second})
	s := fixture(scheduler.Config{Seed: 1}, 5, slots/5, svc)
	runTime := func(st scheduler.Start) time.Duration {
		vary := time.Duration(st.Task.ID * 7919 % 1000)
		switch st.Task.Name {
		case short:
			return 50*ms + vary*ms/10
		case long:
			return 150*ms + vary*ms*85/100
		default:
			return 2*time.Second + 2*vary*ms
		}
	}
	sim := simulate(s, runTime)
	var used time.Duration
	started, refused, admitted, id := map[string]int{}, 0, 0, uint64(0)
	sim.onStart = func(st scheduler.Start) { started[st.Task.Name]++ }
	sim.onEnd = func(st scheduler.Start) scheduler.Result {
		late := sim.now.After(st.Task.Deadline)
		if !late {
			used += runTime(st)
		}
		return scheduler.Result{Failed: late}
	}
	for range steps {
		for range 2 { // 400 tasks a second of 0.3 s on average: three times what 40 slots can do
			id++
			tk := task(id, short, "a", 0)
			tk.Deadline = sim.now.Add(2 * time.Second)
			switch {
			case id%100 == 0:
				tk.Name, tk.Deadline = export, sim.now.Add(6*time.Second)
			case id%3 == 0:
				tk.Name = long
			}
			if s.Admit(sim.now, []scheduler.Task{tk}) != nil {
				refused++
			} else {
				admitted++
			}
		}
		sim.step(step)
	}
	late := admitted - started[short] - started[long] - started[export] - s.Stats().Queued
	if late*100 > refused+late {
		t.Errorf("%d of %d refusals came after a wait, want 1%%", late, refused+late)
	}
	if share := used.Seconds() / (slots * steps * step.Seconds()); share < 0.95 {
		t.Errorf("%.3f of the slots' time was used for work in time, want 0.95", share)
	}
	if started[export] == 0 {
		t.Error("no export started")
	}
	t.Logf("started %v, refused %d, of them late %d, slot time %.3f", started, refused+late, late, used.Seconds()/(slots*steps*step.Seconds()))
}
