package dispatcher_test

import (
	"testing"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

// A burst of cancellations must stop every task that has not started, report the running ones as such, and leave the
// jobs that it does not name alone.
func TestTenThousandTasksCancelledAtOnce(t *testing.T) {
	const jobs, each, slots = 2000, 5, 2
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	fresh := func() string { return recorder.NewKey("fd-a", time.Now()).String() }
	var keys []string
	var answers []<-chan *wire.Answer
	for range jobs {
		keys = append(keys, fresh())
		answers = append(answers, f.submit(submission(keys[len(keys)-1], "once", each, 1)))
	}
	kept := f.submit(submission(fresh(), "once", 1, 1))
	f.waitSent(t, slots)
	f.waitKnown(t, keys[jobs-1])
	result := make(chan *wire.CancellationResult, 1)
	f.Cancel(&wire.Cancellation{Keys: keys, Team: "team"}, func(r *wire.CancellationResult) { result <- r })
	if r := <-result; r.NotStarted != jobs*each-slots || r.Running != slots || r.Ignored != 0 {
		t.Errorf("got %v, want %d not started and %d running", r, jobs*each-slots, slots)
	}
	f.release(ok)
	f.waitSent(t, slots+1)
	f.release(ok)
	if a := <-kept; a.State != wire.State_STATE_COMPLETE {
		t.Errorf("the job that was not cancelled is %v", a)
	}
	for i, c := range answers {
		if a := <-c; a.State != wire.State_STATE_FAILED {
			t.Errorf("cancelled job %d is %v", i, a.State)
		}
	}
	if n := f.sentCount(); n != slots+1 {
		t.Errorf("%d orders were sent, want %d", n, slots+1)
	}
}
