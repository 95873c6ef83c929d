package replicator_test

import (
	"testing"

	"clementineyard/internal/replicator"
	"clementineyard/wire"
)

// TestFirstAnswerSurvivesSnapshot guards against a repeated change that is applied again, or gets another answer, after
// a restart from a snapshot and with more changes than are kept.
func TestFirstAnswerSurvivesSnapshot(t *testing.T) {
	const changes, kept = 10005, 10000
	h := replicator.NewStateMachine(nil)
	for i := range changes {
		h.Apply(change(i, 10))
	}
	h = replicator.NewStateMachine(h.Snapshot(1, 1, nil))
	for _, i := range []int{changes - kept, changes - 1} {
		r, changed := h.Apply(change(i, 10))
		if changed || r.Verdict != wire.ChangeResult_VERDICT_ACCEPTED || r.Version != uint64(i)+1 {
			t.Errorf("repeated change %d: %v", i, r)
		}
	}
	// A change whose id is no longer kept is refused because of its base version, and never applied again.
	if r, changed := h.Apply(change(0, 10)); changed || r.Verdict != wire.ChangeResult_VERDICT_CONFLICT {
		t.Errorf("repeated change whose id is no longer kept: %v", r)
	}
	if h.Version != changes || len(h.Audit) != kept {
		t.Errorf("version %d, %d audit records", h.Version, len(h.Audit))
	}
}
