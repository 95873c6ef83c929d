package main

import (
	"os"

	"github.com/rotisserie/eris"

	"clementineyard/cmd/loader/internal/checker"
)

// runFaults runs the fault campaign and returns an error when it found a violation of a guarantee. The folders of the
// runs with violations are kept.
func runFaults(seed uint64, runs int) error {
	folder, err := os.MkdirTemp("", "clementineyard-faults-")
	if err != nil {
		return err
	}
	report, err := checker.RunCampaign(checker.Config{
		Seed: seed, Runs: runs, Binary: "bin/clementineyard-entry", Folder: folder, Out: os.Stdout,
	})
	if err != nil {
		return err
	}
	if !report.HasNoViolations() {
		return eris.Errorf("fault campaign: guarantees were violated; settings and logs are in %s", folder)
	}
	return os.RemoveAll(folder)
}
