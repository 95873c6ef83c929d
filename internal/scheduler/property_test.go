package scheduler_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"clementineyard/internal/scheduler"
	"pgregory.net/rapid"
)

const (
	modelQuota = 3
	modelSlots = 3
)

// taskState is the state of a task in the model.
type taskState int

const (
	waiting taskState = iota
	started
	expired
	cancelled
)

// model is a simple reference for the invariants that the scheduler must keep.
type model struct {
	t       *rapid.T
	s       *scheduler.Scheduler
	now     time.Time
	nextID  uint64
	tasks   map[uint64]taskState
	held    map[uint64]bool
	teams   map[uint64]string
	running []scheduler.Start
	// placedOn is the incarnation of the server on which each running task was started.
	placedOn     map[uint64]uint64
	servers      map[string]scheduler.Announcement
	quotaApplies bool
	// unanswered counts, by server, the tasks without an answer that the server may still run.
	unanswered map[string]int
}

// TestSchedulerInvariants checks random sequences of calls against a model. It guards against an overfilled server
// or worker, tasks sent to a server that left or whose lease ended, a task that ends twice or never, the start of a
// held or cancelled task, a team above its quota, and too many quarantined servers.
func TestSchedulerInvariants(t *testing.T) {
	for _, policy := range []scheduler.Policy{scheduler.PolicyDefault, scheduler.PolicyBaseline} {
		t.Run(fmt.Sprint(policy), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, policy)
				t.Repeat(map[string]func(*rapid.T){
					"announce": m.announce, "admit": m.admit, "release": m.release, "next": m.next, "finish": m.finish,
					"cancel": m.cancel, "expire": m.expire, "advance": m.advance, "takeOver": m.takeOver,
					"": m.check,
				})
				m.drain()
			})
		})
	}
}

func newModel(t *rapid.T, policy scheduler.Policy) *model {
	m := &model{
		t: t, now: epoch, tasks: map[uint64]taskState{}, held: map[uint64]bool{}, teams: map[uint64]string{},
		placedOn: map[uint64]uint64{}, servers: map[string]scheduler.Announcement{},
		unanswered: map[string]int{},
		s:          scheduler.New(scheduler.Config{Seed: 1, Policy: policy}),
	}
	onServers, onWorkers := deskService(), deskService()
	m.quotaApplies = policy == scheduler.PolicyDefault // the baseline has no quotas
	if m.quotaApplies {
		onServers.TeamQuotas = map[string]int{"b": modelQuota}
	}
	onWorkers.Name, onWorkers.OnWorkers = "batch", true
	m.s.Configure([]scheduler.Service{onServers, onWorkers})
	return m
}

// announce sends an announcement of a random server and records it unless the scheduler must ignore it.
func (m *model) announce(t *rapid.T) {
	i := rapid.IntRange(0, 9).Draw(t, "server")
	a := backend(i, modelSlots, 0)
	if i >= 6 {
		a = worker(i, scheduler.Resources{Millicores: 4000, Memory: 8}, 0)
	}
	a.LeaseUntil = m.now.Add(rapid.SampledFrom([]time.Duration{0, 500 * ms, 2500 * ms}).Draw(t, "lease"))
	a.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
	a.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
	a.Running = rapid.IntRange(0, modelSlots).Draw(t, "running")
	m.s.Announce(m.now, a)
	old, known := m.servers[a.Name]
	if !known || a.Incarnation > old.Incarnation || (a.Incarnation == old.Incarnation && !old.Leaving) {
		m.servers[a.Name] = a
		m.recordAnnouncement(old, a)
	}
}

func (m *model) admit(t *rapid.T) {
	job := make([]scheduler.Task, rapid.IntRange(1, 6).Draw(t, "count"))
	for i := range job {
		m.nextID++
		job[i] = scheduler.Task{
			ID: m.nextID, Service: rapid.SampledFrom([]string{"desk", "batch"}).Draw(t, "service"),
			Name: rapid.SampledFrom([]string{short, long}).Draw(t, "name"),
			Team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team"),
			Held: rapid.Bool().Draw(t, "held"), Deadline: m.now.Add(rapid.SampledFrom([]time.Duration{50 * ms, time.Second, time.Minute}).Draw(t, "deadline")),
			Ask: scheduler.Resources{Millicores: rapid.Int64Range(0, 5000).Draw(t, "ask"), Memory: rapid.Int64Range(0, 9).Draw(t, "memory")},
		}
	}
	before := m.s.Stats().Queued
	if m.s.Admit(m.now, job) != nil {
		if after := m.s.Stats().Queued; after != before {
			t.Fatalf("refused job changed the queue from %d to %d", before, after)
		}
		return
	}
	for _, tk := range job {
		m.tasks[tk.ID], m.held[tk.ID], m.teams[tk.ID] = waiting, tk.Held, tk.Team
	}
}

func (m *model) drawTaskID(t *rapid.T) uint64 { return rapid.Uint64Range(1, m.nextID+1).Draw(t, "id") }

func (m *model) release(t *rapid.T) {
	id := m.drawTaskID(t)
	m.s.Release(id)
	m.held[id] = false
}

func (m *model) next(*rapid.T) {
	for st, ok := m.s.Next(m.now); ok; st, ok = m.s.Next(m.now) {
		m.recordStart(st)
	}
}

func (m *model) recordStart(st scheduler.Start) {
	id, sv := st.Task.ID, m.servers[st.Server]
	if was, ok := m.tasks[id]; !ok || was != waiting || m.held[id] {
		m.t.Fatalf("task %d started: known %v, state %v, held %v", id, ok, was, m.held[id])
	}
	if !m.now.Before(st.Task.Deadline) {
		m.t.Fatalf("task %d started after its deadline", id)
	}
	if sv.Leaving || !m.now.Before(sv.LeaseUntil) {
		m.t.Fatalf("task %d sent to %s, which is leaving or has no lease", id, st.Server)
	}
	m.tasks[id] = started
	m.placedOn[id] = sv.Incarnation
	m.running = append(m.running, st)
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	st := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	r := scheduler.Result{RunTime: time.Duration(rapid.IntRange(1, 200).Draw(t, "runTime")) * ms}
	switch rapid.IntRange(0, 3).Draw(t, "result") {
	case 0:
		r.Failed = true
	case 1:
		r.Failed, r.NotStarted = true, true
	case 2:
		r.Failed, r.MayStillRun = true, true
		if a := m.servers[st.Server]; m.placedOn[st.Task.ID] == a.Incarnation && m.leased(a) {
			m.unanswered[st.Server]++
		}
	}
	m.s.Finish(m.now, st.Task.ID, r)
	if r.NotStarted && m.s.Requeue(m.now, st.Task) {
		m.tasks[st.Task.ID], m.held[st.Task.ID] = waiting, false
	}
}

func (m *model) leased(a scheduler.Announcement) bool {
	return !a.Leaving && m.now.Before(a.LeaseUntil)
}

// recordAnnouncement discards the unanswered tasks that an announcement shows to have ended.
func (m *model) recordAnnouncement(old, a scheduler.Announcement) {
	own := 0
	for _, st := range m.running {
		if st.Server == a.Name && m.placedOn[st.Task.ID] == a.Incarnation {
			own++
		}
	}
	m.unanswered[a.Name] = min(m.unanswered[a.Name], max(a.Running-own, 0))
	if old.Incarnation != a.Incarnation || !m.leased(old) || !m.leased(a) {
		m.unanswered[a.Name] = 0
	}
}

func (m *model) cancel(t *rapid.T) {
	id := m.drawTaskID(t)
	state, ok := m.tasks[id]
	isRunning := slices.ContainsFunc(m.running, func(st scheduler.Start) bool { return st.Task.ID == id })
	want := scheduler.CancelUnknown
	switch {
	case ok && state == waiting:
		want = scheduler.CancelQueued
		m.tasks[id] = cancelled
	case isRunning:
		want = scheduler.CancelRunning
	}
	if got := m.s.Cancel(m.now, id); got != want {
		t.Fatalf("cancel of %d in state %v: %v, want %v", id, state, got, want)
	}
}

func (m *model) expire(*rapid.T) {
	for _, e := range m.s.Expire(m.now) {
		if m.tasks[e.ID] != waiting {
			m.t.Fatalf("task %d expired in state %v", e.ID, m.tasks[e.ID])
		}
		m.tasks[e.ID] = expired
	}
}

func (m *model) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * ms)
}

func (m *model) takeOver(*rapid.T) { m.s.TakeOver(m.now) }

func (m *model) check(t *rapid.T) {
	runningOn, usedOn, runningOfTeamB := map[string]int{}, map[string]scheduler.Resources{}, 0
	for _, st := range m.running {
		if st.Task.Service == "desk" && st.Task.Team == "b" {
			runningOfTeamB++
		}
		if m.placedOn[st.Task.ID] != m.servers[st.Server].Incarnation {
			continue
		}
		runningOn[st.Server]++
		u := usedOn[st.Server]
		u.Millicores += max(st.Task.Ask.Millicores, 1)
		u.Memory += st.Task.Ask.Memory
		usedOn[st.Server] = u
	}
	for name, n := range runningOn {
		a := m.servers[name]
		if !m.leased(a) {
			m.unanswered[name] = 0
		}
		if mayRun := m.unanswered[name]; !a.Worker && n+mayRun > modelSlots {
			t.Fatalf("%s runs %d tasks, and maybe %d without an answer", name, n, mayRun)
		}
		if a.Worker && (usedOn[name].Millicores > a.Capacity.Millicores || usedOn[name].Memory > a.Capacity.Memory) {
			t.Fatalf("%s uses %+v", name, usedOn[name])
		}
	}
	stats := m.s.Stats()
	if stats.Running != len(m.running) {
		t.Fatalf("%d running, want %d", stats.Running, len(m.running))
	}
	if m.quotaApplies && runningOfTeamB > modelQuota {
		t.Fatalf("team b runs %d", runningOfTeamB)
	}
	// There are at most six backend servers and four workers, which allow one quarantined server of each kind.
	if stats.Quarantined > 2 {
		t.Fatalf("%d servers are quarantined", stats.Quarantined)
	}
}

// drain finishes and expires all tasks, and checks that every admitted task has ended.
func (m *model) drain() {
	m.next(m.t)
	m.now = m.now.Add(time.Hour)
	m.expire(m.t)
	for id, state := range m.tasks {
		if state == waiting {
			m.t.Fatalf("task %d never ended", id)
		}
	}
	for _, st := range m.running {
		m.s.Finish(m.now, st.Task.ID, scheduler.Result{RunTime: ms})
	}
	if st := m.s.Stats(); st.Queued+st.QueuedShort+st.QueuedLong+st.Running != 0 {
		m.t.Fatalf("left over: %+v", st)
	}
}
