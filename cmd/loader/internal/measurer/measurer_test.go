package measurer

import (
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/generator"
)

// TestPropagation guards against a change that counts as in force before a process shows it, a restart that hides a
// reverted version, and a lag that includes the time during which the process was down.
func TestPropagation(t *testing.T) {
	zero := time.Now()
	at := func(ms int) time.Time { return zero.Add(time.Duration(ms) * time.Millisecond) }
	times := map[uint64]time.Time{7: at(100)}
	for name, c := range map[string]struct {
		seen            []observation
		lag             time.Duration
		never, reverted int
	}{
		"live":               {[]observation{{at(90), 6}, {at(110), 6}, {at(130), 7}}, 30 * time.Millisecond, 0, 0},
		"in force before":    {[]observation{{at(95), 7}}, 0, 0, 0},
		"restarted":          {[]observation{{at(90), 6}, {at(200), 0}, {at(300), 0}, {at(320), 8}}, 20 * time.Millisecond, 0, 0},
		"reverted":           {[]observation{{at(110), 7}, {at(120), 0}, {at(130), 6}}, 10 * time.Millisecond, 0, 1},
		"never":              {[]observation{{at(90), 6}, {at(500), 6}}, 0, 1, 0},
		"not ready to start": {[]observation{{at(120), 0}, {at(150), 7}}, 30 * time.Millisecond, 0, 0},
	} {
		lags, never, reverted := propagation([][]observation{c.seen}, times)
		if never != c.never || reverted != c.reverted || (c.never == 0 && lags[0] != c.lag) {
			t.Errorf("%s: lags %v, never %d, reverted %d; want %+v", name, lags, never, reverted, c)
		}
	}
}

// TestAddResult guards against answers that are late, partial or untrue and still count as answered.
func TestAddResult(t *testing.T) {
	call := generator.Call{RunTimes: []time.Duration{time.Second, time.Second}, Timeout: 2 * time.Second}
	var l Line
	for _, r := range []generator.Result{
		{Call: call, Outcome: generator.Answered, Complete: true, GoodTasks: 2, Done: time.Second},
		{Call: call, Outcome: generator.Answered, Complete: true, GoodTasks: 2, Done: 3 * time.Second},
		{Call: call, Outcome: generator.Answered, Complete: true, GoodTasks: 1, Done: 3 * time.Second},
		{Call: call, Outcome: generator.NotRun, ID: "started"},
		{Call: call, Outcome: generator.NotRun, ID: "other"},
		{Call: call, Outcome: generator.Closed},
		{Call: call, Outcome: generator.NoAnswer},
	} {
		l.addResult(&r, map[string]bool{"started": true})
	}
	got := [...]int{l.Offered, l.Answered, l.RefusedNotRun, l.Unknown, l.Failed, l.PartialAnswers, l.FalseNotRun}
	if want := [...]int{14, 2, 4, 2, 6, 1, 1}; got != want {
		t.Errorf("offered, answered, refused, unknown, failed, partial, false: got %v, want %v", got, want)
	}
}
