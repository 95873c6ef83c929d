package modeler

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"clementineyard/internal/parser"
	"clementineyard/wire"
)

// sizeStep is the width of the bands of sizes, as a part of a worker: four cores of 64.
const sizeStep = 1.0 / 16

// SizeResult is what the jobs of a queue got whose tasks ask for a part of a worker between From and To.
type SizeResult struct {
	Queue       string  `json:"queue"`
	From        float64 `json:"from"`
	To          float64 `json:"to"`
	Offered     int     `json:"offered"`
	InObjective float64 `json:"inObjective"`
	Refused     float64 `json:"refused"`
	// The waiting time is what a completed job took beyond its longest task: a job's tasks count only together.
	WaitP50 float64 `json:"waitP50Milliseconds"`
	WaitP90 float64 `json:"waitP90Milliseconds"`
	WaitP99 float64 `json:"waitP99Milliseconds"`
}

// sizeResults returns the results by size of the queues whose tasks differ in size.
func (m *Model) sizeResults() []SizeResult {
	var out []SizeResult
	for i := range m.cfg.Load.Queues {
		if q := &m.cfg.Load.Queues[i]; q.MillicoresSpread > 0 {
			out = append(out, m.sizeResultsOf(q)...)
		}
	}
	return out
}

func (m *Model) sizeResultsOf(q *parser.LoadQueue) []SizeResult {
	bands := make([][]*job, int(1/sizeStep)+1)
	for _, j := range m.jobs {
		if j.queue == q {
			b := int(float64(j.millicores) / float64(m.cfg.Load.WorkerMillicores) / sizeStep)
			bands[b] = append(bands[b], j)
		}
	}
	var out []SizeResult
	for b, jobs := range bands {
		if len(jobs) == 0 {
			continue
		}
		r := SizeResult{Queue: q.Name, From: float64(b) * sizeStep, To: float64(b+1) * sizeStep, Offered: len(jobs)}
		waits := hdrhistogram.New(1, maxMicros, 3)
		for _, j := range jobs {
			took := j.answered.Sub(j.arrived)
			switch j.outcome {
			case wire.FleetOutcome_KIND_COMPLETED:
				if took <= j.objective {
					r.InObjective++
				}
				// The range holds every time that a model plays.
				_ = waits.RecordValue(max((took - slices.Max(j.runTimes)).Microseconds(), 1))
			case wire.FleetOutcome_KIND_REFUSED:
				r.Refused++
			}
		}
		r.InObjective, r.Refused = r.InObjective/float64(len(jobs)), r.Refused/float64(len(jobs))
		quantile := func(percent float64) float64 {
			return float64(waits.ValueAtQuantile(percent)) * float64(time.Microsecond) / float64(time.Millisecond)
		}
		r.WaitP50, r.WaitP90, r.WaitP99 = quantile(50), quantile(90), quantile(99)
		out = append(out, r)
	}
	return out
}
