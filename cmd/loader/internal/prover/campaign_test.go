package prover

import (
	"bytes"
	"testing"

	"clementineyard/cmd/loader/internal/checker"
)

// TestCampaign guards against every violation that the fault campaign counts, under two random sequences of faults.
func TestCampaign(t *testing.T) {
	t.Parallel()
	const seed, runs = 4, 2
	var out bytes.Buffer
	r, err := checker.RunCampaign(checker.Config{
		Seed: seed, Runs: runs, Binary: "bin/clementineyard-entry", Folder: t.TempDir(), Out: &out,
	})
	if err != nil || !r.HasNoViolations() || r.Submissions == 0 {
		t.Fatalf("campaign with seed %d, error %v:\n%s", seed, err, out.String())
	}
}
