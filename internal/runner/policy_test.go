package runner

import (
	"testing"

	"clementineyard/internal/parser"
	"clementineyard/internal/placer"
	"clementineyard/internal/scheduler"
)

// A policy that is not passed on to the scheduler would be measured as the default and invalidate the comparison.
func TestSchedulerConfigFollowsPolicy(t *testing.T) {
	for policy, want := range map[string]scheduler.Config{
		"":                          {},
		parser.PolicyDefault:        {},
		parser.PolicyBaseline:       {Policy: scheduler.PolicyBaseline},
		parser.PolicyLastReport:     {Load: placer.LoadLastReport},
		parser.PolicySmoothedReport: {Load: placer.LoadSmoothedReport},
	} {
		r := &Runner{settings: &parser.Settings{Policy: policy}}
		if got := r.schedulerConfig(); got != want {
			t.Errorf("%q: %+v, want %+v", policy, got, want)
		}
	}
}
