package scheduler_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// TestMain fixes the seed of the property tests unless one is given, so that each run checks the same sequences.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
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

func at(d time.Duration) time.Time { return epoch.Add(d) }

func desk() scheduler.Service {
	return scheduler.Service{Name: "desk", Tasks: []scheduler.TaskSpec{
		{Name: short, Declared: 50 * ms}, {Name: long, Declared: 50 * ms, NonIdempotent: true},
	}}
}

func backend(i, slots int, lease time.Duration) scheduler.Announcement {
	return scheduler.Announcement{
		Name: fmt.Sprintf("server-%03d", i), Incarnation: 1, Address: "127.0.0.1:1", Services: []string{"desk"},
		Slots: slots, Connections: 64, LeaseUntil: at(lease),
	}
}

func worker(i int, capacity scheduler.Resources, lease time.Duration) scheduler.Announcement {
	return scheduler.Announcement{
		Name: fmt.Sprintf("worker-%03d", i), Incarnation: 1, Worker: true, Capacity: capacity, LeaseUntil: at(lease),
	}
}

// fixture is a scheduler with the service desk on backend servers.
func fixture(cfg scheduler.Config, servers, slots int, svc scheduler.Service) *scheduler.Scheduler {
	s := scheduler.New(cfg)
	s.Configure([]scheduler.Service{svc})
	for i := range servers {
		s.Announce(epoch, backend(i, slots, time.Hour))
	}
	return s
}

func task(id uint64, name, team string, deadline time.Duration) scheduler.Task {
	return scheduler.Task{ID: id, Service: "desk", Name: name, Team: team, Deadline: at(deadline)}
}

// simulation runs tasks in virtual time; runTime decides how long each start takes.
type simulation struct {
	*scheduler.Scheduler
	now     time.Time
	ends    map[uint64]time.Time
	started map[uint64]scheduler.Start
	runTime func(scheduler.Start) time.Duration
	onStart func(scheduler.Start)
	onEnd   func(scheduler.Start) scheduler.Result
}

func simulate(s *scheduler.Scheduler, runTime func(scheduler.Start) time.Duration) *simulation {
	return &simulation{
		Scheduler: s, now: epoch, ends: map[uint64]time.Time{}, started: map[uint64]scheduler.Start{}, runTime: runTime,
		onStart: func(scheduler.Start) {}, onEnd: func(scheduler.Start) scheduler.Result { return scheduler.Result{} },
	}
}

// step ends what is due, in the order of ids, and starts what may start.
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
	top := uint64(0)
	for id := range m {
		top = max(top, id)
	}
	return top
}
