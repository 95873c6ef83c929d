package runner

import (
	"testing"
	"time"

	"clementineyard/internal/elector"
	"clementineyard/internal/keeper"
)

// A VM that is ready before it knows the floor gets requests with new keys, and the owner answers these with
// recordsLost.
func TestNotReadyBeforeTheFloorIsKnown(t *testing.T) {
	now := time.Now()
	past, ahead := now.Add(-time.Second), now.Add(time.Second)
	for _, c := range []struct {
		name         string
		owner        string
		held, active bool
		floor        time.Time
		want         bool
	}{
		{"no owner", "", false, false, past, false},
		{"other owner, floor not known", "other", false, false, time.Time{}, false},
		{"other owner, floor ahead", "other", false, false, ahead, false},
		{"other owner, floor passed", "other", false, false, past, true},
		{"taking over, floor not known", "own", true, false, time.Time{}, false},
		{"taking over with an older floor", "own", true, false, past, false},
		{"active, floor ahead", "own", true, true, ahead, false},
		{"active, floor passed", "own", true, true, past, true},
	} {
		p := keeper.State{Ownership: elector.Ownership{Owner: c.owner, HeldHere: c.held}, Active: c.active, Floor: c.floor}
		if got := acceptsKeys(p, now); got != c.want {
			t.Errorf("%s: accepts keys is %v, want %v", c.name, got, c.want)
		}
	}
}
