package scheduler_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// TestMain fixes the seed of the property tests unless one is given, so that each run checks the same sequences of
// calls.
func TestMain(m *testing.M) {
	flag.Parse()
	seedGiven := false
	flag.Visit(func(f *flag.Flag) { seedGiven = seedGiven || f.Name == "rapid.seed" })
	if !seedGiven {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var epoch = time.UnixMilli(1_764_846_000_000)

const (
	ms    = time.Millisecond
	short = "short"
	long  = "long"
)

func afterEpoch(d time.Duration) time.Time { return epoch.Add(d) }

func deskService() scheduler.Service {
	return scheduler.Service{Name: "desk", Tasks: []scheduler.TaskSpec{
		{Name: short, Declared: 50 * ms}, {Name: long, Declared: 50 * ms, NonIdempotent: true},
	}}
}

func backend(i, slots int, lease time.Duration) scheduler.Announcement {
	return scheduler.Announcement{
		Name: fmt.Sprintf("server-%03d", i), Incarnation: 1, Address: "127.0.0.1:1", Services: []string{"desk"},
		Slots: slots, Connections: 64, LeaseUntil: afterEpoch(lease),
	}
}

func worker(i int, capacity scheduler.Resources, lease time.Duration) scheduler.Announcement {
	return scheduler.Announcement{
		Name: fmt.Sprintf("worker-%03d", i), Incarnation: 1, Worker: true, Capacity: capacity, LeaseUntil: afterEpoch(lease),
	}
}

// newScheduler returns a scheduler with the given service, on backend servers with the given number of slots each.
func newScheduler(cfg scheduler.Config, servers, slots int, svc scheduler.Service) *scheduler.Scheduler {
	s := scheduler.New(cfg)
	s.Configure([]scheduler.Service{svc})
	for i := range servers {
		s.Announce(epoch, backend(i, slots, time.Hour))
	}
	return s
}

func task(id uint64, name, team string, deadline time.Duration) scheduler.Task {
	return scheduler.Task{ID: id, Service: "desk", Name: name, Team: team, Deadline: afterEpoch(deadline)}
}

// simulation runs tasks in virtual time. runTime determines how long each started task runs.
type simulation struct {
	*scheduler.Scheduler
	now time.Time
	// ends holds the end of each running task by id.
	ends    map[uint64]time.Time
	started map[uint64]scheduler.Start
	runTime func(scheduler.Start) time.Duration
	onStart func(scheduler.Start)
	onEnd   func(scheduler.Start) scheduler.Result
}

func newSimulation(s *scheduler.Scheduler, runTime func(scheduler.Start) time.Duration) *simulation {
	return &simulation{
		Scheduler: s, now: epoch, ends: map[uint64]time.Time{}, started: map[uint64]scheduler.Start{}, runTime: runTime,
		onStart: func(scheduler.Start) {}, onEnd: func(scheduler.Start) scheduler.Result { return scheduler.Result{} },
	}
}

// step advances the time, finishes the tasks that have ended, in the order of their ids, and starts those that may
// start.
func (s *simulation) step(d time.Duration) {
	s.now = s.now.Add(d)
	for id := range maxID(s.ends) + 1 {
		end, ok := s.ends[id]
		if !ok || end.After(s.now) {
			continue
		}
		delete(s.ends, id)
		st := s.started[id]
		r := s.onEnd(st)
		r.RunTime = s.runTime(st)
		s.Finish(s.now, id, r)
	}
	s.Expire(s.now)
	for st, ok := s.Next(s.now); ok; st, ok = s.Next(s.now) {
		s.started[st.Task.ID] = st
		s.ends[st.Task.ID] = s.now.Add(s.runTime(st))
		s.onStart(st)
	}
}

func maxID(m map[uint64]time.Time) uint64 {
	highest := uint64(0)
	for id := range m {
		highest = max(highest, id)
	}
	return highest
}
