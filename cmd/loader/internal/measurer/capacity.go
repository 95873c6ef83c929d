package measurer

import (
	"fmt"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/internal/scheduler"
)

// capacity sends jobs of 100 tasks at increasing rates to one entry process with GOMAXPROCS=2.
func capacity(b *testbed, l *Line) (bool, error) {
	const minStartsPerSecond, maxDecisionTime = 12_000, 2 * time.Microsecond
	const run, tasksPerJob, span, window = 20 * time.Millisecond, 100, 4 * time.Second, 2 * time.Second
	job := generator.Call{Service: "bench", Task: "lookUp", Team: "runners", Keyed: true, Timeout: shortTimeout}
	for range tasksPerJob {
		job.RunTimes = append(job.RunTimes, run)
	}
	bestRate := 0.0
	var all []generator.Result
	for _, offered := range []float64{8000, 13_000, 16_000} {
		// The jobs are evenly spaced. A Poisson process has so few of them that the rate of a short window would vary by 8%.
		calls := make([]generator.Call, int(offered/tasksPerJob*span.Seconds()))
		for i := range calls {
			calls[i] = job
			calls[i].At = time.Duration(i) * span / time.Duration(len(calls))
		}
		rs := b.Client("").Run(time.Now(), calls)
		// Draining a backlog gives more answers than can be sustained, so the offered rate is the upper bound.
		sustained := min(tasksPerJob*answerRate(rs, span-window, span), offered)
		l.More[fmt.Sprintf("answeredOf%.0f", offered)], bestRate = sustained, max(bestRate, sustained)
		all = append(all, rs...)
	}
	l.addResults(b.Journal, all)
	decision := decisionTime()
	l.More["startsPerSecond"], l.More["decisionMicroseconds"] = bestRate, float64(decision.Nanoseconds())/1000
	l.addNote("GOMAXPROCS=2; load and stand-ins share the machine; decision: Finish, Admit and Next of one task with 1,000 queued")
	return bestRate >= minStartsPerSecond && decision <= maxDecisionTime, nil
}

// decisionTime measures the scheduler alone. It returns the mean time to finish, admit and place one task while 1,000
// tasks are queued for 50 servers.
func decisionTime() time.Duration {
	const rounds, queued, run = 20_000, 1000, 20 * time.Millisecond
	now := time.Now()
	s := scheduler.New(scheduler.Config{Seed: 1})
	s.Configure([]scheduler.Service{{
		Name: "bench", MaxQueued: 2 * queued, Tasks: []scheduler.TaskSpec{{Name: "lookUp", Declared: run}},
	}})
	for i := range serverCount {
		s.Announce(now, scheduler.Announcement{
			Name: fmt.Sprint("server-", i), Incarnation: 1, Address: "127.0.0.1:1", Services: []string{"bench"},
			Slots: slotsPerServer, Connections: slotsPerServer, LeaseUntil: now.Add(time.Hour),
		})
	}
	task := scheduler.Task{Service: "bench", Name: "lookUp", Team: "runners", Deadline: now.Add(time.Hour)}
	var running []uint64
	admit := func() {
		task.ID++
		s.Admit(now, []scheduler.Task{task})
		if st, ok := s.Next(now); ok {
			running = append(running, st.Task.ID)
		}
	}
	for range serverCount*slotsPerServer + queued {
		admit()
	}
	begin := time.Now()
	for range min(rounds, len(running)*rounds) {
		now = now.Add(time.Microsecond)
		s.Finish(now, running[0], scheduler.Result{RunTime: run})
		running = running[1:]
		admit()
	}
	return time.Since(begin) / rounds
}
