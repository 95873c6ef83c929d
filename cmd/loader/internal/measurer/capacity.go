package measurer

import (
	"fmt"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/internal/scheduler"
)

// capacity offers rising rates of starts, in jobs of 100 tasks, to one entry process that may use two cores.
func capacity(b *bed, l *Line) (bool, error) {
	const wanted, decisionWithin = 12_000, 2 * time.Microsecond
	const run, perJob, span, window = 20 * time.Millisecond, 100, 4 * time.Second, 2 * time.Second
	job := generator.Call{Service: "bench", Task: "lookUp", Team: "runners", Keyed: true, Timeout: shortLimit}
	for range perJob {
		job.Runs = append(job.Runs, run)
	}
	best := 0.0
	var all []generator.Result
	for _, offered := range []float64{8000, 13_000, 16_000} {
		// Evenly spaced: the few jobs of a Poisson process would make the rate of a short window uncertain by 8%.
		calls := make([]generator.Call, int(offered/perJob*span.Seconds()))
		for i := range calls {
			calls[i] = job
			calls[i].At = time.Duration(i) * span / time.Duration(len(calls))
		}
		rs := b.Callers("").Run(time.Now(), calls)
		// A backlog that drains within the window is no sustained rate.
		got := min(perJob*rate(rs, span-window, span), offered)
		l.More[fmt.Sprintf("answeredOf%.0f", offered)], best = got, max(best, got)
		all = append(all, rs...)
	}
	l.count(b.Journal, all)
	decision := decisionTime()
	l.More["startsPerSecond"], l.More["decisionMicroseconds"] = best, float64(decision.Nanoseconds())/1000
	l.note("GOMAXPROCS=2; load and stand-ins share the machine; decision: Finish, Admit and Next of one task with 1,000 queued")
	return best >= wanted && decision <= decisionWithin, nil
}

// decisionTime measures the scheduler alone: the mean time of finishing, admitting and placing one task while 1,000
// tasks wait for 50 servers.
func decisionTime() time.Duration {
	const rounds, queued, run = 20_000, 1000, 20 * time.Millisecond
	now := time.Now()
	s := scheduler.New(scheduler.Config{Seed: 1})
	s.Configure([]scheduler.Service{{
		Name: "bench", MaxQueued: 2 * queued, Tasks: []scheduler.TaskSpec{{Name: "lookUp", Declared: run}},
	}})
	for i := range serversInAll {
		s.Announce(now, scheduler.Announcement{
			Name: fmt.Sprint("server-", i), Incarnation: 1, Address: "127.0.0.1:1", Services: []string{"bench"},
			Slots: slotsEach, Connections: slotsEach, LeaseUntil: now.Add(time.Hour),
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
	for range serversInAll*slotsEach + queued {
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
