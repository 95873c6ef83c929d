package checker

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"

	"github.com/rotisserie/eris"
)

// parallelRuns bounds the concurrent runs. Each of them starts six entry processes; the bound suits a machine with ten
// cores.
const parallelRuns = 4

// Report counts the violations that a campaign found. It is printed as the last line of the campaign.
type Report struct {
	Seed        uint64 `json:"seed"`
	Runs        int    `json:"runs"`
	Submissions int64  `json:"submissions"`
	// StartedTwice counts tasks of keyed submissions that were started more than once.
	StartedTwice int64 `json:"startedTwice"`
	// PartialAnswers counts answers that are marked complete but miss a task's answer, and answers that contain a task
	// other than the one submitted at its position.
	PartialAnswers int64 `json:"partialAnswers"`
	// FalseNotRun counts submissions and tasks that were refused as not run although a server started them.
	FalseNotRun int64 `json:"falseNotRun"`
	// NonIdempotentTwice counts the tasks of StartedTwice that are marked non-idempotent.
	NonIdempotentTwice int64 `json:"nonIdempotentTwice"`
	// LostAccepted counts answers whose work no server started or that a resubmission contradicts, and accepted
	// configuration changes that are missing at the end.
	LostAccepted int64 `json:"lostAccepted"`
	// ConfigReverts counts the times that a VM went back to an older configuration version, and the versions that were
	// seen with two contents or assigned to two changes.
	ConfigReverts int64 `json:"configReverts"`
	// InterruptedOnStop counts calls in flight that a planned stop interrupted.
	InterruptedOnStop int64 `json:"interruptedOnStop"`
}

func (r *Report) add(other Report) {
	r.Submissions += other.Submissions
	r.StartedTwice += other.StartedTwice
	r.PartialAnswers += other.PartialAnswers
	r.FalseNotRun += other.FalseNotRun
	r.NonIdempotentTwice += other.NonIdempotentTwice
	r.LostAccepted += other.LostAccepted
	r.ConfigReverts += other.ConfigReverts
	r.InterruptedOnStop += other.InterruptedOnStop
}

// HasNoViolations reports whether no violation was counted.
func (r *Report) HasNoViolations() bool {
	return r.StartedTwice+r.PartialAnswers+r.FalseNotRun+r.NonIdempotentTwice+r.LostAccepted+r.ConfigReverts+
		r.InterruptedOnStop == 0
}

// Config describes a campaign.
type Config struct {
	Seed uint64
	Runs int
	// Binary is the path of the entry daemon.
	Binary string
	// Folder receives one subfolder per run; those of failed runs are kept.
	Folder string
	// Verbose prints the faults of each run.
	Verbose bool
	// Out receives one line per run, then the report as one JSON object.
	Out io.Writer
}

// RunCampaign performs all runs and prints one line for each, then the report. It returns the error of a run that could
// not be carried out; violations are in the report and are no error.
func RunCampaign(cfg Config) (Report, error) {
	total := Report{Seed: cfg.Seed, Runs: cfg.Runs}
	var mu sync.Mutex
	var wg sync.WaitGroup
	var firstErr error
	semaphore := make(chan struct{}, parallelRuns)
	for i := range cfg.Runs {
		semaphore <- struct{}{}
		wg.Add(1)
		go func() {
			defer func() {
				<-semaphore
				wg.Done()
			}()
			r, err := runOnce(cfg, i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil && firstErr == nil {
				firstErr = eris.Wrapf(err, "run %d", i)
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
	return total, firstErr
}

// newRNG returns the random number generator of one stream of one run. Each concurrent part of a run has a stream of
// its own, so that its numbers do not depend on the order in which the parts execute.
func newRNG(seed uint64, run int, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(run)<<32|stream))
}
