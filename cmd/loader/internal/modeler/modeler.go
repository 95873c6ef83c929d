package modeler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"clementineyard/internal/admitter"
	"clementineyard/internal/allocator"
	"clementineyard/internal/divider"
	"clementineyard/internal/imitator"
	"clementineyard/internal/parser"
	"clementineyard/internal/spreader"
	"clementineyard/wire"
)

const (
	// roomInterval is how often entry VMs hear of the free room of cells.
	roomInterval = 200 * time.Millisecond
	// settleTime is how long the model plays on after the last arrival.
	settleTime = 5 * time.Second
	// warmUp is how long the owners hold their workers before the first job arrives.
	warmUp = time.Second
)

// Config configures a Model.
type Config struct {
	Load *parser.Load
	Seed uint64
	// Admission configures the owners' decisions under overload. The zero value stands for the default.
	Admission admitter.Config
	// WithoutBound leaves out Result.Bound, which takes longer than the play under long overload.
	WithoutBound bool
	// BestFitOnly places one task at a time, as allocator.Config.BestFitOnly says.
	BestFitOnly bool
}

// Model plays one load. Play may be called once.
type Model struct {
	clock
	cfg Config
	// arrivals draws the demand, so that it is the same whatever the dispatcher decides, and rng the disruptions.
	arrivals, rng *rand.Rand
	cells         map[string]*cell
	names         []string
	spreader      *spreader.Spreader
	// began is when the first job may arrive, and end when the model ends.
	began, end time.Time
	jobs       []*job
	byID       map[string]*job
	starts     int
	lateRate   float64
}

// job is a client's job and what became of it.
type job struct {
	id      string
	queue   *parser.LoadQueue
	domain  string
	arrived time.Time
	// millicores is what each of the job's tasks asks for.
	millicores int64
	runTimes   []time.Duration
	// objective is what the job's own run times allow.
	objective time.Duration
	answered  time.Time
	outcome   wire.FleetOutcome_Kind
	coreTime  time.Duration
}

// New returns a Model of a load that parser.ParseLoad has checked.
func New(cfg Config) *Model {
	m := &Model{cfg: cfg, cells: map[string]*cell{}, byID: map[string]*job{}}
	m.arrivals, m.rng = rand.New(rand.NewPCG(cfg.Seed, 1)), rand.New(rand.NewPCG(cfg.Seed, 2))
	m.spreader = spreader.New(rand.New(rand.NewPCG(cfg.Seed, 3)))
	m.now = time.Unix(1_700_000_000, 0)
	m.began = m.now.Add(warmUp)
	m.end = m.began.Add(cfg.Load.Duration.Duration + settleTime)
	return m
}

// Play plays the load and returns what its callers got.
func (m *Model) Play() *Result {
	l := m.cfg.Load
	for d := range l.FailureDomains {
		for n := range l.CellsPerDomain {
			m.addCell(fmt.Sprintf("d%d", d), uint32(n))
		}
	}
	for _, name := range m.names {
		m.cells[name].grant(func() time.Duration { return 0 })
	}
	m.shareRooms()
	for i := range l.Events {
		m.scheduleEvent(&l.Events[i])
	}
	for i := range l.Queues {
		for d := range l.FailureDomains {
			m.scheduleArrival(&l.Queues[i], d, m.began)
		}
	}
	m.run(m.end)
	return m.result()
}

func (m *Model) addCell(domain string, number uint32) {
	c := &cell{m: m, name: divider.CellName(domain, number), domain: domain, byID: map[string]*worker{}, waiting: map[string]*submission{}}
	l := m.cfg.Load
	count := l.WorkersPerCell
	if cells := l.FailureDomains * l.CellsPerDomain; len(m.names) < l.Workers-cells*count {
		count++
	}
	for i := range count {
		speed := 1.0
		if v := l.WorkerSpeeds; len(v) == 2 {
			speed = v[0] + (v[1]-v[0])*m.rng.Float64()
		}
		id := fmt.Sprintf("%s-%d", c.name, i)
		w := &worker{
			Worker: imitator.New(m.now, 1, maxLease, maxStopTime), slowdown: 1, speed: speed, runs: map[string]*taskRun{}, report: &wire.WorkerReport{
				Id: id, Born: 1, Sequence: 1, Service: serviceName, Address: id, FailureDomain: domain, Millicores: int64(m.cfg.Load.WorkerMillicores), MemoryMb: 1 << 20,
			},
		}
		c.workers, c.byID[id] = append(c.workers, w), w
	}
	m.cells[c.name], m.names = c, append(m.names, c.name)
}

// shareRooms lets the entry VMs hear of the free room of all cells.
func (m *Model) shareRooms() {
	var rooms []*wire.CellRoom
	for _, name := range m.names {
		if c := m.cells[name]; c.owner != nil {
			if free := c.owner.FreeMillicores(m.now); free > 0 {
				rooms = append(rooms, &wire.CellRoom{Cell: name, Millicores: free})
			}
		}
	}
	m.spreader.Record(m.now, rooms)
	m.after(roomInterval, m.shareRooms)
}

// scheduleArrival schedules the next job of a queue in a failure domain, by thinning the arrivals at the highest rate.
func (m *Model) scheduleArrival(q *parser.LoadQueue, domain int, from time.Time) {
	l := m.cfg.Load
	highest := q.PerSecond * domainShare(l, domain) * (1 + l.Swing)
	for _, e := range l.Events {
		if e.Kind == parser.LoadBurst && (e.Queue == "" || e.Queue == q.Name) {
			highest *= max(e.Factor, 1)
		}
	}
	if highest <= 0 {
		return
	}
	at := from.Add(time.Duration(m.arrivals.ExpFloat64() / highest * float64(time.Second)))
	if at.Sub(m.began) > l.Duration.Duration {
		return
	}
	m.at(at, func() {
		if m.arrivals.Float64()*highest < m.demand(q, domain) {
			m.arrive(q, fmt.Sprintf("d%d", domain))
		}
		m.scheduleArrival(q, domain, m.now)
	})
}

// domainShare returns the share of the demand that arrives in a failure domain.
func domainShare(l *parser.Load, domain int) float64 {
	if len(l.DomainWeights) == 0 {
		return 1 / float64(l.FailureDomains)
	}
	sum := 0.0
	for _, w := range l.DomainWeights {
		sum += w
	}
	return l.DomainWeights[domain] / sum
}

// demand returns the jobs a second of a queue that arrive in a failure domain now.
func (m *Model) demand(q *parser.LoadQueue, domain int) float64 {
	l, at := m.cfg.Load, m.now.Sub(m.began)
	rate := q.PerSecond * domainShare(l, domain)
	if l.Swing > 0 {
		phase := float64(domain) / float64(l.FailureDomains) / 2
		rate *= 1 + l.Swing*math.Sin(2*math.Pi*(at.Seconds()/l.Period.Seconds()+phase))
	}
	for _, e := range l.Events {
		if e.Kind == parser.LoadBurst && (e.Queue == "" || e.Queue == q.Name) && at >= e.At.Duration && at < e.At.Duration+e.For.Duration {
			rate *= e.Factor
		}
	}
	return rate
}

// arrive lets a client submit a job.
func (m *Model) arrive(q *parser.LoadQueue, domain string) {
	j := &job{id: fmt.Sprintf("%016x", m.arrivals.Uint64()), queue: q, domain: domain, arrived: m.now}
	j.millicores = m.drawMillicores(q)
	longest := time.Duration(0)
	for range q.Tasks {
		// The mean of the logarithmic normal distribution is RunTime.
		d := time.Duration(float64(q.RunTime.Duration) * math.Exp(q.Spread*m.arrivals.NormFloat64()-q.Spread*q.Spread/2))
		if q.Stragglers > 0 && m.arrivals.Float64() < q.Stragglers {
			d = time.Duration(float64(d) * q.StragglerFactor)
		}
		j.runTimes = append(j.runTimes, d)
		longest = max(longest, d)
	}
	j.objective = time.Duration(q.StretchFactor*float64(longest)) + q.TargetLatency.Duration
	m.jobs, m.byID[j.id] = append(m.jobs, j), j
	s := &submission{m: m, job: j, arrived: m.now}
	s.submit()
}

// drawMillicores returns what each task of a job asks for. A queue without a spread draws nothing, so that the demand of the load
// files without one stays the same.
func (m *Model) drawMillicores(q *parser.LoadQueue) int64 {
	mean := float64(q.Millicores)
	switch {
	case q.MillicoresSpread == 0:
		return int64(q.Millicores)
	case q.MaxMillicores == 0:
		return int64(mean * (1 + q.MillicoresSpread*(2*m.arrivals.Float64()-1)))
	}
	return min(int64(mean*math.Exp(q.MillicoresSpread*m.arrivals.NormFloat64())), int64(q.MaxMillicores))
}

// startTask starts a task on a worker, for as long as the task takes there.
func (m *Model) startTask(c *cell, w *worker, fence uint64, s allocator.StartOrder) allocator.Verdict {
	if w.dark {
		return allocator.Unknown
	}
	id, suffix, _ := strings.Cut(s.Task, ".0.0.")
	index, err := strconv.Atoi(suffix)
	if err != nil {
		return allocator.Invalid
	}
	j := m.byID[id]
	takes := time.Duration(float64(j.runTimes[index]) * w.slowdown / w.speed)
	fails := m.rng.Float64() < w.failRate
	if fails {
		takes = min(takes, 5*time.Millisecond)
	}
	v := w.Start(m.now, fence, s.LeaseEnd, imitator.Run{
		Task: s.Task, Attempt: s.Attempt, Ask: allocator.Resources{Millicores: j.millicores}, EndsAt: m.now.Add(takes), Fails: fails,
	})
	if v == allocator.Done && w.runs[s.Task] == nil {
		w.runs[s.Task] = &taskRun{j, m.now}
		m.after(takes, func() { c.advance(w) })
	}
	return v
}
