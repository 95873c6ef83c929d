package measurer

import (
	"math/rand/v2"
	"os"
	"time"

	"clementineyard/cmd/loader/internal/generator"
	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/internal/scheduler"
)

// capacity offers rising rates of starts, in jobs of 100 tasks, to one entry process that may use two cores.
func (m *Measurer) capacity(l *Line) error {
	const wanted, decisionWithin = 12_000, 2 * time.Microsecond
	const run, perJob, span, window = 20 * time.Millisecond, 100, 5 * time.Second, 3 * time.Second
	if err := os.Setenv("GOMAXPROCS", "2"); err != nil {
		return err
	}
	b, err := m.bed(l, bedConfig{domains: []launcher.Domain{{Name: "casa-a", VMs: 1}}})
	if err := os.Unsetenv("GOMAXPROCS"); err != nil {
		return err
	}
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(*rand.Rand) generator.Call {
		c := generator.Call{Service: "bench", Task: "lookUp", Team: "runners", Keyed: true, Timeout: shortLimit}
		for range perJob {
			c.Runs = append(c.Runs, run)
		}
		return c
	}
	rng, best, steps := m.rng(l), 0.0, map[string]any{}
	var all []generator.Result
	for _, step := range []struct {
		name string
		rate float64
	}{{"offered8000", 8000}, {"offered13000", 13000}, {"offered16000", 16000}} {
		phases := []generator.Phase{{Rate: step.rate / perJob, For: span}}
		rs := b.client.Run(time.Now(), generator.Arrivals(rng, phases, pick))
		rate := float64(len(doneBetween(rs, span-window, span))) * perJob / window.Seconds()
		steps[step.name], best = rate, max(best, rate)
		all = append(all, rs...)
	}
	l.count(b, all)
	decision := decisionTime()
	l.add(steps)
	l.add(map[string]any{"startsPerSecond": best, "decisionMicroseconds": float64(decision.Nanoseconds()) / 1000})
	l.Note = "GOMAXPROCS=2; load and stand-ins share the machine; decision: Admit, Next and Finish of one task with 1,000 queued"
	l.Met = best >= wanted && decision <= decisionWithin
	return nil
}

// decisionTime measures the scheduler alone: the mean time of admitting, placing and finishing one task while 1,000
// tasks wait for 50 servers.
func decisionTime() time.Duration {
	const rounds, queued = 50_000, 1000
	now := time.Now()
	s := scheduler.New(scheduler.Config{Seed: 1})
	s.Configure([]scheduler.Service{{
		Name: "bench", MaxQueued: 2 * queued, Tasks: []scheduler.TaskSpec{{Name: "lookUp", Declared: 20 * time.Millisecond}},
	}})
	for i := range serversInAll {
		s.Announce(now, scheduler.Announcement{
			Name: "server-" + string(rune('A'+i)), Incarnation: 1, Address: "127.0.0.1:1", Services: []string{"bench"},
			Slots: slotsEach, Connections: connectionsEach, LeaseUntil: now.Add(time.Hour),
		})
	}
	id := uint64(0)
	admit := func() {
		id++
		s.Admit(now, []scheduler.Task{{ID: id, Service: "bench", Name: "lookUp", Team: "runners", Deadline: now.Add(time.Hour)}})
	}
	for range slotsInAll + queued {
		admit()
	}
	var running []uint64
	for st, ok := s.Next(now); ok; st, ok = s.Next(now) {
		running = append(running, st.Task.ID)
	}
	begin := time.Now()
	for i := 0; i < rounds && len(running) > 0; i++ {
		now = now.Add(time.Microsecond)
		s.Finish(now, running[0], scheduler.Result{RunTime: 20 * time.Millisecond})
		running = running[1:]
		admit()
		if st, ok := s.Next(now); ok {
			running = append(running, st.Task.ID)
		}
	}
	return time.Since(begin) / rounds
}

// calibration checks the measuring itself: one server of 8 slots with tasks of 100 ms gives 80 answers a second.
func (m *Measurer) calibration(l *Line) error {
	const known, tolerance = 80.0, 0.05
	const offered, span, from, to = 160, 5 * time.Second, 2 * time.Second, 8 * time.Second
	b, err := m.bed(l, bedConfig{domains: []launcher.Domain{{Name: "casa-a", VMs: 1}}, servers: 1})
	if err != nil {
		return err
	}
	defer b.close()
	pick := func(*rand.Rand) generator.Call {
		return generator.Call{
			Service: "bench", Task: "lookUp", Team: "runners", Timeout: 30 * time.Second,
			Runs: []time.Duration{100 * time.Millisecond},
		}
	}
	phases := []generator.Phase{{Rate: offered, For: span}}
	rs := b.client.Run(time.Now(), generator.Arrivals(m.rng(l), phases, pick))
	l.count(b, rs)
	rate := float64(len(doneBetween(rs, from, to))) / (to - from).Seconds()
	l.add(map[string]any{"answersPerSecond": rate})
	l.Met = rate >= known*(1-tolerance) && rate <= known*(1+tolerance)
	return nil
}
