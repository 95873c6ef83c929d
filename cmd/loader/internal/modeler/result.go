package modeler

import (
	"fmt"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

const (
	// lateFactor times its objective after its arrival a job's answer is worth nothing.
	lateFactor = 3
	// boundStep is the grid of the windows in which the bound looks for demand above the capacity.
	boundStep = 250 * time.Millisecond
	// maxWindow bounds a window of the bound in steps of boundStep: longer ones average peaks away.
	maxWindow = 24
	// maxMicros is the longest time that the histograms hold.
	maxMicros = int64(time.Hour / time.Microsecond)
)

// Result is what callers got. Shares are of the jobs offered, and times in milliseconds.
type Result struct {
	Queues []QueueResult `json:"queues"`
	// Domains holds the worth that the jobs of each failure domain earned.
	Domains []DomainResult `json:"domains"`
	// InObjective is the share of all jobs that were answered within their objective.
	InObjective float64 `json:"inObjective"`
	// Sizes holds what jobs got by the size of their tasks; empty where all tasks of each queue ask for the same.
	Sizes []SizeResult `json:"sizes,omitempty"`
	// Worth is what was earned of what could have been if each job had been alone, and WorstSecond the lowest share of any
	// second by arrival.
	Worth       float64 `json:"worth"`
	WorstSecond float64 `json:"worstSecond"`
	// Bound is an upper bound of Worth: at least so much is lost by demand above the capacity, even to a scheduler that
	// knows all run times. Workers that are lost or slow are not taken into account.
	Bound float64 `json:"bound"`
	// Starts is the number of starts, and WastedCoreSeconds what jobs used that did not complete.
	Starts            int     `json:"starts"`
	WastedCoreSeconds float64 `json:"wastedCoreSeconds"`
	// Seconds holds the share of the worth that was earned by the jobs that arrived in each second.
	Seconds []float64 `json:"seconds"`
}

// DomainResult is what the callers of one failure domain got.
type DomainResult struct {
	Name        string  `json:"name"`
	Offered     int     `json:"offered"`
	InObjective float64 `json:"inObjective"`
	Worth       float64 `json:"worth"`
}

// QueueResult is what the callers of one queue got.
type QueueResult struct {
	Name        string  `json:"name"`
	Offered     int     `json:"offered"`
	InObjective float64 `json:"inObjective"`
	Late        float64 `json:"late"`
	Refused     float64 `json:"refused"`
	GivenUp     float64 `json:"givenUp"`
	Failed      float64 `json:"failed"`
	P50         float64 `json:"p50Milliseconds"`
	P99         float64 `json:"p99Milliseconds"`
	RefusedP50  float64 `json:"refusedP50Milliseconds"`
	RefusedP99  float64 `json:"refusedP99Milliseconds"`
}

// earned returns what a job has earned.
func (j *job) earned() float64 {
	took := j.answered.Sub(j.arrived)
	switch {
	case j.outcome != wire.FleetOutcome_KIND_COMPLETED || took > lateFactor*j.objective:
		return 0
	case took > j.objective:
		return j.queue.LateWorth
	}
	return j.queue.Worth
}

func (m *Model) result() *Result {
	r := &Result{Starts: m.starts}
	for i := range m.cfg.Load.Queues {
		r.Queues = append(r.Queues, m.queueResult(&m.cfg.Load.Queues[i]))
	}
	r.Sizes = m.sizeResults()
	seconds := int(m.cfg.Load.Duration.Seconds()) + 1
	earned, owed := make([]float64, seconds), make([]float64, seconds)
	sumEarned, sumOwed := 0.0, 0.0
	for _, j := range m.jobs {
		s := int(j.arrived.Sub(m.began) / time.Second)
		earned[s] += j.earned()
		owed[s] += j.queue.Worth
		sumEarned, sumOwed = sumEarned+j.earned(), sumOwed+j.queue.Worth
		if j.outcome != wire.FleetOutcome_KIND_COMPLETED {
			r.WastedCoreSeconds += j.coreTime.Seconds()
		}
	}
	r.Domains, r.InObjective = m.domainResults()
	r.WorstSecond = 1
	for s := range seconds {
		if owed[s] > 0 {
			r.Seconds = append(r.Seconds, earned[s]/owed[s])
			r.WorstSecond = min(r.WorstSecond, earned[s]/owed[s])
		}
	}
	if sumOwed > 0 {
		r.Worth = sumEarned / sumOwed
		if !m.cfg.WithoutBound {
			r.Bound = 1 - m.unavoidableLoss()/sumOwed
		}
	}
	return r
}

// domainResults returns what the callers of each failure domain got, and the share of all jobs within their objective.
func (m *Model) domainResults() (domains []DomainResult, inObjective float64) {
	for d := range m.cfg.Load.FailureDomains {
		r := DomainResult{Name: fmt.Sprintf("d%d", d)}
		earned, owed, met := 0.0, 0.0, 0
		for _, j := range m.jobs {
			if j.domain != r.Name {
				continue
			}
			r.Offered++
			earned, owed = earned+j.earned(), owed+j.queue.Worth
			if j.outcome == wire.FleetOutcome_KIND_COMPLETED && j.answered.Sub(j.arrived) <= j.objective {
				met++
			}
		}
		if owed > 0 {
			r.InObjective, r.Worth = float64(met)/float64(r.Offered), earned/owed
		}
		domains, inObjective = append(domains, r), inObjective+float64(met)/float64(len(m.jobs))
	}
	return domains, inObjective
}

func (m *Model) queueResult(q *parser.LoadQueue) QueueResult {
	r := QueueResult{Name: q.Name}
	completed, refused := hdrhistogram.New(1, maxMicros, 3), hdrhistogram.New(1, maxMicros, 3)
	record := func(h *hdrhistogram.Histogram, d time.Duration) {
		// The range holds every time that a model plays.
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
	counts := map[string]int{}
	for _, j := range m.jobs {
		if j.queue != q {
			continue
		}
		r.Offered++
		took := j.answered.Sub(j.arrived)
		switch j.outcome {
		case wire.FleetOutcome_KIND_COMPLETED:
			record(completed, took)
			if took <= j.objective {
				counts["inObjective"]++
			} else {
				counts["late"]++
			}
		case wire.FleetOutcome_KIND_REFUSED:
			record(refused, took)
			counts["refused"]++
		case wire.FleetOutcome_KIND_FAILED:
			counts["failed"]++
		default:
			counts["givenUp"]++
		}
	}
	share := func(name string) float64 { return float64(counts[name]) / float64(max(r.Offered, 1)) }
	quantile := func(h *hdrhistogram.Histogram, percent float64) float64 {
		return float64(h.ValueAtQuantile(percent)) / 1000
	}
	r.InObjective, r.Late, r.Refused = share("inObjective"), share("late"), share("refused")
	r.GivenUp, r.Failed = share("givenUp"), share("failed")
	r.P50, r.P99 = quantile(completed, 50), quantile(completed, 99)
	r.RefusedP50, r.RefusedP99 = quantile(refused, 50), quantile(refused, 99)
	return r
}

// demand is what a job asks for, in core-seconds, and what it earns; end is the step of boundStep by which it must be done.
type demand struct {
	work, worth float64
	end         int
}

// unavoidableLoss returns a lower bound of the worth that any scheduler loses. All work of a job must be done between its
// arrival and three times its objective. Where the jobs of a window ask for more than the workers can do in it, those are
// lost that earn the least for their work; an answer beyond the objective counts as one within it. The bound is the
// largest sum over windows that do not overlap.
func (m *Model) unavoidableLoss() float64 {
	steps := int(m.end.Sub(m.began)/boundStep) + 1
	cores := 0.0
	for _, name := range m.names {
		for _, w := range m.cells[name].workers {
			cores += float64(w.report.Millicores) / 1000 * w.speed
		}
	}
	byStart := make([][]demand, steps)
	for _, j := range m.jobs {
		work := 0.0
		for _, d := range j.runTimes {
			work += d.Seconds() * float64(j.millicores) / 1000
		}
		from := int(j.arrived.Sub(m.began) / boundStep)
		to := int(j.arrived.Add(lateFactor*j.objective).Sub(m.began)/boundStep) + 1
		if to < steps {
			byStart[from] = append(byStart[from], demand{work, j.queue.Worth, to})
		}
	}
	loss := make([]float64, steps+1)
	for end := 1; end <= steps; end++ {
		loss[end] = loss[end-1]
		for start := max(0, end-maxWindow); start < end; start++ {
			var inside []demand
			total := 0.0
			for s := start; s < end; s++ {
				for _, d := range byStart[s] {
					if d.end <= end {
						inside = append(inside, d)
						total += d.work
					}
				}
			}
			excess := total - cores*float64(end-start)*boundStep.Seconds()
			if excess <= 0 {
				continue
			}
			slices.SortFunc(inside, func(a, b demand) int {
				if a.worth*b.work < b.worth*a.work {
					return -1
				}
				return 1
			})
			lost := 0.0
			for _, d := range inside {
				if d.work >= excess {
					lost += d.worth * excess / d.work
					break
				}
				lost, excess = lost+d.worth, excess-d.work
			}
			loss[end] = max(loss[end], loss[start]+lost)
		}
	}
	return loss[steps]
}
