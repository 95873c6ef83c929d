package checker

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
)

// parallelRuns bounds the deployments that run at once: six processes each, on ten cores.
const parallelRuns = 4

// Report is the last line of a campaign.
type Report struct {
	Seed        uint64 `json:"seed"`
	Runs        int    `json:"runs"`
	Submissions int64  `json:"submissions"`
	// StartedTwice counts tasks of submissions with a key that a server started more than once.
	StartedTwice int64 `json:"startedTwice"`
	// PartialAnswers counts answers marked complete that were not, or that held another caller's tasks.
	PartialAnswers int64 `json:"partialAnswers"`
	// FalseNotRun counts refusals of work that ran.
	FalseNotRun int64 `json:"falseNotRun"`
	// NonIdempotentTwice counts the part of StartedTwice whose task is marked non-idempotent.
	NonIdempotentTwice int64 `json:"nonIdempotentTwice"`
	// LostAccepted counts complete answers whose work no server saw or that a resubmission contradicts, and accepted
	// changes missing at the end.
	LostAccepted int64 `json:"lostAccepted"`
	// ConfigReverts counts versions that went back on a VM, or that had two contents.
	ConfigReverts int64 `json:"configReverts"`
	// InterruptedOnStop counts calls in flight that a planned stop broke off.
	InterruptedOnStop int64 `json:"interruptedOnStop"`
}

func (r *Report) add(o Report) {
	r.Submissions += o.Submissions
	r.StartedTwice += o.StartedTwice
	r.PartialAnswers += o.PartialAnswers
	r.FalseNotRun += o.FalseNotRun
	r.NonIdempotentTwice += o.NonIdempotentTwice
	r.LostAccepted += o.LostAccepted
	r.ConfigReverts += o.ConfigReverts
	r.InterruptedOnStop += o.InterruptedOnStop
}

// Clean reports whether every count of broken promises is zero.
func (r *Report) Clean() bool {
	return r.StartedTwice+r.PartialAnswers+r.FalseNotRun+r.NonIdempotentTwice+r.LostAccepted+r.ConfigReverts+
		r.InterruptedOnStop == 0
}

// Config constructs a campaign.
type Config struct {
	Seed uint64
	Runs int
	// Binary is the path of the entry daemon.
	Binary string
	// Folder receives a folder for each run; those of failed runs are kept.
	Folder string
	// Verbose prints the faults of each run.
	Verbose bool
	Out     io.Writer
}

// Campaign performs all runs and prints a line for each, then the report.
func Campaign(cfg Config) (Report, error) {
	total := Report{Seed: cfg.Seed, Runs: cfg.Runs}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed error
	slots := make(chan struct{}, parallelRuns)
	for i := range cfg.Runs {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() {
				<-slots
				wg.Done()
			}()
			r, err := runOnce(cfg, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && failed == nil {
				failed = eris.Wrapf(err, "run %d", i)
			}
			total.add(r.Report)
			_, _ = fmt.Fprintln(cfg.Out, r)
		}()
	}
	wg.Wait()
	b, err := json.Marshal(total)
	if err != nil {
		return total, err
	}
	if _, err := fmt.Fprintln(cfg.Out, string(b)); err != nil {
		return total, err
	}
	return total, failed
}

// randomFor returns the random numbers of one part of one run; the parts do not disturb each other's sequence.
func randomFor(seed uint64, run int, part uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(run)<<32|part))
}
