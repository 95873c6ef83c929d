package modeler

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"clementineyard/internal/parser"
)

func play(t *testing.T, name string, seed uint64) *Result {
	t.Helper()
	path := filepath.Join("../../../../deploy/loads", name+".json")
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	l, err := parser.ParseLoad(path, b)
	if err != nil {
		t.Fatal(err)
	}
	return New(Config{Load: l, Seed: seed}).Play()
}

// TestLoads guards against callers that get less than the targets ask for under the loads that the decisions answer: a
// worth of 0.95, worst seconds of 0.80, and the widest jobs within 0.02 of the worth. A loss of power of all VMs
// costs the seconds in which there is no owner.
func TestLoads(t *testing.T) {
	for name, target := range map[string]struct{ worth, worstSecond, belowWorth float64 }{
		"calm":         {0.95, 0.80, 0.02},
		"lost-answers": {0.95, 0.80, 0.02},
		"late-orders":  {0.95, 0.80, 0.02},
		"sick-workers": {0.95, 0.80, 0.02},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				r := play(t, name, seed)
				if r.Worth < target.worth || r.WorstSecond < target.worstSecond || r.Queues[0].InObjective < r.Worth-target.belowWorth {
					t.Errorf("seed %d: worth %.3f, worst second %.3f, %s %.3f in objective, want %+v", seed, r.Worth, r.WorstSecond, r.Queues[0].Name, r.Queues[0].InObjective, target)
				}
			}
		})
	}
}

// TestOverloadIsRefused guards against jobs that wait beyond the demand's crest, against work thrown away at a crest, and
// against a queue that gets nothing there.
func TestOverloadIsRefused(t *testing.T) {
	r := play(t, "overload", 1)
	if r.WastedCoreSeconds > 1 {
		t.Errorf("%.1f core-seconds were wasted", r.WastedCoreSeconds)
	}
	for _, q := range r.Queues {
		if q.GivenUp > 0.001 || q.InObjective < 0.2 {
			t.Errorf("%s: %.3f given up, %.3f in objective", q.Name, q.GivenUp, q.InObjective)
		}
	}
	if r.Worth > r.Bound {
		t.Errorf("worth %.3f, above the bound %.3f", r.Worth, r.Bound)
	}
}

// TestSameSeedSameResult guards against a model that cannot be played again, and against one that takes too long.
func TestSameSeedSameResult(t *testing.T) {
	var results [2]bytes.Buffer
	began := time.Now()
	for i := range results {
		if err := json.NewEncoder(&results[i]).Encode(play(t, "owners-lost", 7)); err != nil {
			t.Fatal(err)
		}
	}
	if !bytes.Equal(results[0].Bytes(), results[1].Bytes()) {
		t.Errorf("two results of the same seed:\n%s%s", &results[0], &results[1])
	}
	t.Logf("two plays of one failure domain took %v", time.Since(began))
}
