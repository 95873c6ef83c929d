package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"clementineyard/internal/scheduler"
)

// The design limits one decision to 2 microseconds with 50 servers and 20,000 queued tasks.
var sizes = []struct{ servers, queued, teams int }{
	{50, 20_000, 10},
	{50, 20_000, 430},
	{200, 20_000, 430},
	{500, 20_000, 430},
	{50, 2_000, 10},
	{50, 80_000, 10},
	{500, 80_000, 430},
}

// loadedScheduler is a scheduler whose slots are full and whose queue is not empty.
type loadedScheduler struct {
	s   *scheduler.Scheduler
	now time.Time
	id  uint64
	// teams holds the team names, so that admit does not allocate them.
	teams []string
	job   []scheduler.Task
}

// newLoadedScheduler returns a scheduler whose slots are full and whose queue has the given length, and the ids of
// the running tasks. A tenth of the tasks is long.
func newLoadedScheduler(b *testing.B, servers, queued, teams int, onWorkers bool) (*loadedScheduler, []uint64) {
	b.Helper()
	svc := deskService()
	svc.QueueOnOverload, svc.OnWorkers, svc.MaxQueued = true, onWorkers, 1_000_000
	s := scheduler.New(scheduler.Config{Seed: 1})
	s.Configure([]scheduler.Service{svc})
	for i := range servers {
		if onWorkers {
			s.Announce(epoch, worker(i, scheduler.Resources{Millicores: 16_000, Memory: 32 << 30}, 1000*time.Hour))
		} else {
			s.Announce(epoch, backend(i, 8, 1000*time.Hour))
		}
	}
	l := &loadedScheduler{s: s, now: epoch, job: make([]scheduler.Task, 1)}
	for i := range teams {
		l.teams = append(l.teams, fmt.Sprintf("team-%03d", i))
	}
	for range 100 {
		l.admit()
		st, _ := s.Next(l.now)
		l.finish(st.Task.ID)
	}
	var running []uint64
	for range queued {
		l.admit()
	}
	for {
		st, ok := s.Next(l.now)
		if !ok {
			break
		}
		l.admit()
		running = append(running, st.Task.ID)
	}
	b.ReportAllocs()
	b.ResetTimer()
	return l, running
}

func (l *loadedScheduler) admit() {
	l.id++
	name := short
	if l.id%10 == 0 {
		name = long
	}
	l.job[0] = scheduler.Task{
		ID: l.id, Service: "desk", Name: name, Team: l.teams[int(l.id)%len(l.teams)], Deadline: l.now.Add(time.Hour),
	}
	if r := l.s.Admit(l.now, l.job); r != nil {
		panic(r.Reason)
	}
}

func (l *loadedScheduler) finish(id uint64) {
	runTime := 50 * ms
	if id%10 == 0 {
		runTime = 2500 * ms
	}
	l.s.Finish(l.now, id, scheduler.Result{RunTime: runTime})
}

func eachSize(b *testing.B, f func(b *testing.B, servers, queued, teams int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("servers=%d/queued=%d/teams=%d", n.servers, n.queued, n.teams), func(b *testing.B) {
			f(b, n.servers, n.queued, n.teams)
		})
	}
}

// BenchmarkNext measures Next alone; the calls of Finish and Admit that keep the load constant are not timed.
func BenchmarkNext(b *testing.B) {
	eachSize(b, func(b *testing.B, servers, queued, teams int) { benchmarkNext(b, servers, queued, teams, false) })
}

// BenchmarkNextOnWorkers is BenchmarkNext with workers, whose resources are matched, instead of backend servers.
func BenchmarkNextOnWorkers(b *testing.B) {
	eachSize(b, func(b *testing.B, servers, queued, teams int) { benchmarkNext(b, servers, queued, teams, true) })
}

func benchmarkNext(b *testing.B, servers, queued, teams int, onWorkers bool) {
	l, running := newLoadedScheduler(b, servers, queued, teams, onWorkers)
	var elapsed time.Duration
	const batch = 64 // starts between two clock readings
	for done := 0; done < b.N; done += batch {
		l.now = l.now.Add(50 * time.Microsecond)
		for i := range batch {
			j := (done + i) % len(running)
			l.finish(running[j])
			running[j] = 0
		}
		startedAt := time.Now()
		filled := 0
		var started [batch]uint64
		for filled < batch {
			st, ok := l.s.Next(l.now)
			if !ok {
				break
			}
			started[filled] = st.Task.ID
			filled++
		}
		elapsed += time.Since(startedAt)
		if filled < batch {
			b.Fatalf("%d of %d slots were filled", filled, batch)
		}
		for i := range batch {
			running[(done+i)%len(running)] = started[i]
			l.admit()
		}
	}
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64((b.N+batch-1)/batch*batch), "ns/decision")
}

// BenchmarkCycle measures the admission, start and finish of a task.
func BenchmarkCycle(b *testing.B) {
	eachSize(b, func(b *testing.B, servers, queued, teams int) {
		l, running := newLoadedScheduler(b, servers, queued, teams, false)
		for i := range b.N {
			l.now = l.now.Add(5 * time.Microsecond)
			j := i % len(running)
			l.finish(running[j])
			st, ok := l.s.Next(l.now)
			if !ok {
				b.Fatal("no start")
			}
			running[j] = st.Task.ID
			l.admit()
		}
	})
}

// BenchmarkRefuse measures the refusal of a task whose deadline cannot be met.
func BenchmarkRefuse(b *testing.B) {
	eachSize(b, func(b *testing.B, servers, queued, teams int) {
		l, _ := newLoadedScheduler(b, servers, queued, teams, false)
		svc := deskService()
		l.s.Configure([]scheduler.Service{svc})
		job := []scheduler.Task{{ID: 1 << 60, Service: "desk", Name: short, Team: l.teams[0], Deadline: l.now.Add(60 * ms)}}
		b.ResetTimer()
		for range b.N {
			if l.s.Admit(l.now, job) == nil {
				b.Fatal("admitted")
			}
		}
	})
}

// BenchmarkCancel measures one of the cancellations that empty the queue, newest task first.
func BenchmarkCancel(b *testing.B) {
	eachSize(b, func(b *testing.B, servers, queued, teams int) {
		l, _ := newLoadedScheduler(b, servers, queued, teams, false)
		for i := range b.N {
			if i%queued == 0 {
				b.StopTimer()
				for range queued {
					l.admit()
				}
				b.StartTimer()
			}
			l.s.Cancel(l.now, l.id-uint64(i%queued))
		}
	})
}

// BenchmarkAnnounce measures the renewal of an announcement by the number of servers, with full slots and tasks in the
// queue.
func BenchmarkAnnounce(b *testing.B) {
	for _, servers := range []int{50, 200, 500, 2000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			l, _ := newLoadedScheduler(b, servers, 2000, 10, true)
			for i := range b.N {
				w := worker(i%servers, scheduler.Resources{Millicores: 16_000, Memory: 32 << 30}, 1000*time.Hour)
				l.s.Announce(l.now, w)
			}
		})
	}
}

// BenchmarkConfigure applies an unchanged configuration of the given number of services.
func BenchmarkConfigure(b *testing.B) {
	for _, services := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			l, _ := newLoadedScheduler(b, 50, 2000, 10, false)
			list := []scheduler.Service{deskService()}
			for i := range services - 1 {
				svc := deskService()
				svc.Name = fmt.Sprint("service-", i)
				list = append(list, svc)
			}
			for range b.N {
				l.s.Configure(list)
			}
		})
	}
}

// BenchmarkMemory reports the heap memory that the scheduler uses for each queued task.
func BenchmarkMemory(b *testing.B) {
	for _, queued := range []int{2_000, 20_000, 80_000} {
		b.Run(fmt.Sprint(queued), func(b *testing.B) {
			for range b.N {
				l, _ := newLoadedScheduler(b, 50, 0, 10, false)
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				for range queued {
					l.admit()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(queued), "heapBytes/task")
				runtime.KeepAlive(l)
			}
		})
	}
}
