package dispatcher_test

import (
	"testing"
	"time"

	"clementineyard/internal/recorder"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

// A cancellation of 2000 jobs must remove every task that has not started, count the running ones as running, and leave
// other jobs alone.
func TestBulkCancellation(t *testing.T) {
	const jobs, each, slots = 2000, 5, 2
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	newKey := func() string { return recorder.NewKey("fd-a", time.Now()).String() }
	var keys []string
	var answers []<-chan *wire.Answer
	for range jobs {
		keys = append(keys, newKey())
		answers = append(answers, f.submit(submission(keys[len(keys)-1], "once", each, 1)))
	}
	unaffected := f.submit(submission(newKey(), "once", 1, 1))
	f.waitSent(t, slots)
	f.waitAccepted(t, keys[jobs-1])
	result := make(chan *wire.CancellationResult, 1)
	f.Cancel(&wire.Cancellation{Keys: keys, Team: "team"}, func(r *wire.CancellationResult) { result <- r })
	if r := <-result; r.NotStarted != jobs*each-slots || r.Running != slots || r.Ignored != 0 {
		t.Errorf("got %v, want %d not started and %d running", r, jobs*each-slots, slots)
	}
	f.release(ok)
	f.waitSent(t, slots+1)
	f.release(ok)
	if a := <-unaffected; a.State != wire.State_STATE_COMPLETE {
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
