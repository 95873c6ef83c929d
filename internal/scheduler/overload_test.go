package scheduler_test

import (
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// Guards against a safety margin for the predicted wait that also counts a job's own tasks: a large job that an idle
// system can finish in time must be admitted and must end in time.
func TestLargeJobIsAdmitted(t *testing.T) {
	const tasks, slots, run, timeout = 1000, 40, 50 * ms, 1600 * ms
	s := newScheduler(scheduler.Config{Seed: 1}, 5, slots/5, deskService())
	sim := newSimulation(s, func(scheduler.Start) time.Duration { return run })
	admit := func(from, n uint64, after time.Duration) *scheduler.Refusal {
		job := make([]scheduler.Task, n)
		for i := range job {
			job[i] = task(from+uint64(i), short, "a", 0)
			job[i].Deadline = sim.now.Add(after)
		}
		return s.Admit(sim.now, job)
	}
	if r := admit(0, 20, time.Second); r != nil {
		t.Fatal(r)
	}
	for range 20 { // until the run time is learned
		sim.step(10 * ms)
	}
	if r := admit(100, tasks, timeout); r != nil { // 25 rounds of 50 ms
		t.Fatalf("refused: %+v", r)
	}
	startedBefore := len(sim.started)
	for range timeout / (10 * ms) {
		sim.step(10 * ms)
	}
	if got := len(sim.started) - startedBefore; got != tasks || s.Stats().Running != 0 {
		t.Errorf("%d of %d tasks started, %d still run", got, tasks, s.Stats().Running)
	}
}

// At three times the capacity, tasks must be refused at submission and not after a wait, the slots must stay busy
// with work that ends in time, and tasks of several seconds must still start under a constant load of shorter ones.
func TestOverloadRefusesAtSubmission(t *testing.T) {
	const (
		steps, slots = 4000, 40
		step         = 5 * ms
		export       = "export"
	)
	svc := deskService()
	svc.Tasks = append(svc.Tasks, scheduler.TaskSpec{Name: export, Declared: 3 * time.Second})
	s := newScheduler(scheduler.Config{Seed: 1}, 5, slots/5, svc)
	runTime := func(st scheduler.Start) time.Duration {
		variation := time.Duration(st.Task.ID * 7919 % 1000)
		switch st.Task.Name {
		case short:
			return 50*ms + variation*ms/10
		case long:
			return 150*ms + variation*ms*85/100
		default:
			return 2*time.Second + 2*variation*ms
		}
	}
	sim := newSimulation(s, runTime)
	var usedSlotTime time.Duration
	started, refused, admitted, id := map[string]int{}, 0, 0, uint64(0)
	sim.onStart = func(st scheduler.Start) { started[st.Task.Name]++ }
	sim.onEnd = func(st scheduler.Start) scheduler.Result {
		late := sim.now.After(st.Task.Deadline)
		if !late {
			usedSlotTime += runTime(st)
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
	refusedLate := admitted - started[short] - started[long] - started[export] - s.Stats().Queued
	if refusedLate*100 > refused+refusedLate {
		t.Errorf("%d of %d refusals came after a wait, want 1%%", refusedLate, refused+refusedLate)
	}
	if utilization := usedSlotTime.Seconds() / (slots * steps * step.Seconds()); utilization < 0.95 {
		t.Errorf("%.3f of the slots' time was used for work in time, want 0.95", utilization)
	}
	if started[export] == 0 {
		t.Error("no export started")
	}
	t.Logf("started %v, refused %d, of them late %d, slot time %.3f", started, refused+refusedLate, refusedLate, usedSlotTime.Seconds()/(slots*steps*step.Seconds()))
}
