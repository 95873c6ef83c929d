package router_test

import (
	"testing"
	"time"

	"clementineyard/internal/messenger"
	"clementineyard/internal/router"
	"clementineyard/wire"
)

const (
	ownKey   = "casa-a.1764846000000.0123456789abcdef"
	otherKey = "rabat-b.1764846000000.0123456789abcdef"
)

// A submission whose home is unreachable must not wait for its deadline and must not be reported as not run, because
// another entry VM may have relayed it before. A submission whose owner may still be found must wait.
func TestWaitForOwner(t *testing.T) {
	for _, c := range []struct {
		name      string
		key       string
		quorum    bool
		connected bool
		outcome   wire.Outcome
		reason    wire.Reason
		wait      time.Duration
	}{
		{"other home unreachable", otherKey, true, false, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_HOME_UNREACHABLE, 1200 * time.Millisecond},
		{"other home connected", otherKey, true, true, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE_PASSED, 10 * time.Second},
		{"own home without a majority", ownKey, false, false, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_NO_QUORUM, 300 * time.Millisecond},
		{"own home electing", ownKey, true, false, wire.Outcome_OUTCOME_UNKNOWN, wire.Reason_REASON_DEADLINE_PASSED, 10 * time.Second},
		{"without a key", "", false, false, wire.Outcome_OUTCOME_NOT_RUN, wire.Reason_REASON_NOT_OWNER, 10 * time.Second},
	} {
		start := time.UnixMilli(1_764_846_000_000)
		now := start
		var timers []func()
		r := router.New(router.Config{
			Name: "casa-a-1", FailureDomain: "casa-a",
			EntryVMs:          map[string][]string{"casa-a": {"casa-a-1", "casa-a-2"}, "rabat-b": {"rabat-b-1"}},
			Owner:             func(string) (string, bool) { return "", false },
			MajorityReachable: func() bool { return c.quorum },
			Connected:         func(string) bool { return c.connected },
			Call: func(_ string, _ messenger.Stream, _ *wire.Envelope, _ time.Time, done func(*wire.Envelope, error)) {
				done(nil, messenger.ErrNotSent)
			},
			Now: func() time.Time { return now },
			After: func(d time.Duration, f func()) {
				timers = append(timers, func() { now = now.Add(d); f() })
			},
		})
		var got *wire.Answer
		r.Submit(&wire.Submission{Key: c.key, Tasks: []*wire.Task{{}}}, start.Add(10*time.Second), func(a *wire.Answer) { got = a })
		for len(timers) > 0 {
			f := timers[0]
			timers = timers[1:]
			f()
		}
		if got == nil || got.Outcome != c.outcome || got.Reason != c.reason {
			t.Errorf("%s: got the wrong answer %v", c.name, got)
		}
		if waited := now.Sub(start); waited > c.wait || waited < c.wait/2 {
			t.Errorf("%s: waited %s of virtual time, want about %s", c.name, waited, c.wait)
		}
	}
}

// A submission without tasks must be refused before its first task is accessed.
func TestSubmissionWithoutTasksIsRefused(t *testing.T) {
	var got *wire.Answer
	router.New(router.Config{}).Submit(&wire.Submission{}, time.Time{}, func(a *wire.Answer) { got = a })
	if got == nil || got.Outcome != wire.Outcome_OUTCOME_NOT_RUN || got.Reason != wire.Reason_REASON_INVALID {
		t.Errorf("got %v, want a refusal as invalid", got)
	}
}
