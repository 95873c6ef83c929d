package dispatcher_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"clementineyard/internal/dispatcher"
	"clementineyard/internal/recorder"
	"clementineyard/internal/scheduler"
	"clementineyard/internal/sender"
	"clementineyard/wire"
)

const service = "s"

// fixture is a dispatcher with a fake sender, which returns scripted results, and a fake keeper, which returns a fixed
// verdict.
type fixture struct {
	*dispatcher.Dispatcher
	mu       sync.Mutex
	sent     []sender.Attempt
	verdict  recorder.Verdict
	stored   *wire.Answer
	commitOK bool
	refusal  wire.Reason
	// answer returns the result of the n-th order, counted from 0; an order with a nil result waits for release.
	answer  func(n int) *sender.Result
	pending []func(sender.Result)
	// stop is called when the dispatcher asks a worker to stop a task.
	stop func()
}

func start(t *testing.T, f *fixture) *fixture {
	t.Helper()
	s := scheduler.New(scheduler.Config{Seed: 1})
	now := time.Now()
	s.Configure([]scheduler.Service{{Name: service, MaxQueued: 20000, Tasks: []scheduler.TaskSpec{
		{Name: "once", NonIdempotent: true, Declared: 10 * time.Millisecond}, {Name: "again", Declared: 10 * time.Millisecond},
	}}})
	s.Announce(now, scheduler.Announcement{
		Name: "server", Incarnation: 1, Address: "127.0.0.1:1", Services: []string{service}, Slots: 2, Connections: 4,
		LeaseUntil: now.Add(time.Hour),
	})
	f.Dispatcher = dispatcher.New(dispatcher.Config{
		Scheduler: s, Now: time.Now, Send: f.send, Stop: func(string, string, string) {
			if f.stop != nil {
				f.stop()
			}
		},
		RefusalReason: func(*wire.Submission) wire.Reason { return f.refusal },
		Records: dispatcher.RecordKeeper{
			Begin: func(_ recorder.Record, done func(recorder.Verdict, *wire.Answer)) bool {
				done(f.verdict, f.stored)
				return true
			},
			Abandon: func(recorder.Key) bool { return true },
			Commit: func(_ recorder.Key, done func(bool)) bool {
				done(f.commitOK)
				return true
			},
			Finish: func(_ recorder.Key, _ *wire.Answer, done func(bool)) bool {
				done(true)
				return true
			},
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
	f.setOwner(true)
	return f
}

// setOwner returns once the dispatcher has applied the change.
func (f *fixture) setOwner(owner bool) {
	f.SetOwner(owner)
	done := make(chan struct{})
	f.Lookup("", func(bool) { close(done) })
	<-done
}

func (f *fixture) send(a sender.Attempt, done func(sender.Result)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent = append(f.sent, a)
	if r := f.answer(len(f.sent) - 1); r != nil {
		go done(*r)
		return
	}
	f.pending = append(f.pending, done)
}

// waitSent waits until n orders have been sent.
func (f *fixture) waitSent(t *testing.T, n int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); f.sentCount() < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d orders were sent, want %d", f.sentCount(), n)
		}
	}
}

// waitAccepted waits until the dispatcher has taken a submission from its queue.
func (f *fixture) waitAccepted(t *testing.T, key string) {
	t.Helper()
	known := make(chan bool, 1)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); {
		f.Lookup(key, func(running bool) { known <- running })
		if <-known {
			return
		}
	}
	t.Fatalf("submission %s is not running", key)
}

func (f *fixture) sentCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// release ends all waiting orders with r.
func (f *fixture) release(r sender.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, done := range f.pending {
		done(r)
	}
	f.pending = nil
}

func submission(key, task string, n int, hash byte) *wire.Submission {
	s := &wire.Submission{Key: key, Team: "team", Service: service, ContentHash: []byte{hash}}
	for i := range n {
		s.Tasks = append(s.Tasks, &wire.Task{Id: string(rune('a' + i)), Name: task, Payload: []byte{byte(i)}})
	}
	return s
}

func (f *fixture) submit(s *wire.Submission) <-chan *wire.Answer {
	out := make(chan *wire.Answer, 2)
	if !f.Submit(s, time.Now().Add(time.Hour), func(a *wire.Answer) { out <- a }) {
		panic("submission queue full")
	}
	return out
}

var (
	ok             = sender.Result{Verdict: sender.Answered, Status: 200, Body: []byte("1")}
	serverError    = sender.Result{Verdict: sender.Answered, Status: 500}
	connectionLost = sender.Result{Verdict: sender.MayHaveStarted}
	notStarted     = sender.Result{Verdict: sender.NotStarted}
	key            = recorder.NewKey("fd-a", time.Now()).String()
)

func scriptedResults(results ...sender.Result) func(int) *sender.Result {
	return func(n int) *sender.Result { return &results[min(n, len(results)-1)] }
}

// Guards against starting a task twice, reporting a task that ran as not run, and returning a partial answer as
// complete.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name    string
		f       *fixture
		sub     *wire.Submission
		outcome wire.Outcome
		state   wire.State
		reason  wire.Reason
		sent    int
	}{
		{"all answered", &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_COMPLETE, wire.Reason_REASON_NONE, 3},
		{"one failed", &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: scriptedResults(ok, serverError, ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_FAILED, wire.Reason_REASON_SERVER_FAILED, 3},
		{"one lost", &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: scriptedResults(ok, connectionLost, ok)}, submission(key, "again", 3, 1), wire.Outcome_OUTCOME_UNKNOWN, wire.State_STATE_FAILED, wire.Reason_REASON_SERVER_LOST, 3},
		{"not replicated", &fixture{verdict: recorder.VerdictNew, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_NOT_RUN, wire.State_STATE_FAILED, wire.Reason_REASON_NO_QUORUM, 0},
		{"already finished", &fixture{verdict: recorder.VerdictFinished, stored: &wire.Answer{Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_COMPLETE, wire.Reason_REASON_NONE, 0},
		{"finished, and no longer in the configuration", &fixture{verdict: recorder.VerdictFinished, refusal: wire.Reason_REASON_UNKNOWN_SERVICE, stored: &wire.Answer{Outcome: wire.Outcome_OUTCOME_ANSWERED, State: wire.State_STATE_COMPLETE}, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_COMPLETE, wire.Reason_REASON_NONE, 0},
		{"new, and not in the configuration", &fixture{verdict: recorder.VerdictNew, commitOK: true, refusal: wire.Reason_REASON_UNKNOWN_SERVICE, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_NOT_RUN, wire.State_STATE_FAILED, wire.Reason_REASON_UNKNOWN_SERVICE, 0},
		{"records lost", &fixture{verdict: recorder.VerdictRecordsLost, answer: scriptedResults(ok)}, submission(key, "once", 3, 1), wire.Outcome_OUTCOME_UNKNOWN, wire.State_STATE_FAILED, wire.Reason_REASON_RECORDS_LOST, 0},
		{"provably not started, then answered", &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: scriptedResults(notStarted, ok)}, submission(key, "once", 1, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_COMPLETE, wire.Reason_REASON_NONE, 2},
		{"lost, idempotent, without a key", &fixture{answer: scriptedResults(connectionLost, ok)}, submission("", "again", 1, 1), wire.Outcome_OUTCOME_ANSWERED, wire.State_STATE_COMPLETE, wire.Reason_REASON_NONE, 2},
		{"lost, then not started until the budget is used up", &fixture{answer: scriptedResults(connectionLost, notStarted)}, submission("", "again", 1, 1), wire.Outcome_OUTCOME_UNKNOWN, wire.State_STATE_FAILED, wire.Reason_REASON_SERVER_LOST, 11},
		{"lost, non-idempotent, without a key", &fixture{answer: scriptedResults(connectionLost, ok)}, submission("", "once", 1, 1), wire.Outcome_OUTCOME_UNKNOWN, wire.State_STATE_FAILED, wire.Reason_REASON_SERVER_LOST, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, c.f)
			a := <-f.submit(c.sub)
			if a.Outcome != c.outcome || a.State != c.state || a.Reason != c.reason {
				t.Errorf("got %v %v %v, want %v %v %v", a.Outcome, a.State, a.Reason, c.outcome, c.state, c.reason)
			}
			if got := f.sentCount(); got != c.sent {
				t.Errorf("%d orders were sent, want %d", got, c.sent)
			}
			if c.state == wire.State_STATE_COMPLETE && c.sent > 0 && len(a.Tasks) != len(c.sub.Tasks) {
				t.Errorf("a complete answer holds %d of %d tasks", len(a.Tasks), len(c.sub.Tasks))
			}
		})
	}
}

// A resubmission while the first one is running must get the same answer; other content under the same key is a
// conflict.
func TestResubmissionAttaches(t *testing.T) {
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	first := f.submit(submission(key, "once", 2, 1))
	f.waitSent(t, 2)
	second := f.submit(submission(key, "once", 2, 1))
	if a := <-f.submit(submission(key, "once", 2, 9)); a.Reason != wire.Reason_REASON_CONFLICT || a.Outcome != wire.Outcome_OUTCOME_NOT_RUN {
		t.Errorf("other content got %v %v, want a conflict", a.Outcome, a.Reason)
	}
	f.release(ok)
	a, b := <-first, <-second
	if a != b || a.State != wire.State_STATE_COMPLETE {
		t.Errorf("got %v and %v, want one complete answer", a, b)
	}
	if got := f.sentCount(); got != 2 {
		t.Errorf("%d orders were sent, want 2", got)
	}
}

// A cancelled task that has not started must never start; a running one must be counted as running.
func TestCancellation(t *testing.T) {
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	answer := f.submit(submission(key, "once", 5, 1))
	f.waitSent(t, 2)
	result := make(chan *wire.CancellationResult, 1)
	f.Cancel(&wire.Cancellation{Keys: []string{key, "unknown"}, Team: "team"}, func(r *wire.CancellationResult) { result <- r })
	if r := <-result; r.NotStarted != 3 || r.Running != 2 || r.Ignored != 1 {
		t.Errorf("got %v, want 3 not started, 2 running, 1 ignored", r)
	}
	f.release(ok)
	a := <-answer
	if a.State != wire.State_STATE_FAILED || f.sentCount() != 2 {
		t.Errorf("got %v with %d orders, want failed with 2", a.State, f.sentCount())
	}
	for i, task := range a.Tasks {
		want := wire.Outcome_OUTCOME_ANSWERED
		if i >= 2 {
			want = wire.Outcome_OUTCOME_NOT_RUN
		}
		if task.Outcome != want {
			t.Errorf("task %d is %v, want %v", i, task.Outcome, want)
		}
	}
}

// A slot that a cancellation frees must not start a task of the same batch, also when the batch takes several
// iterations of the event loop.
func TestCancellationStartsNothing(t *testing.T) {
	f := &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }}
	f.stop = func() { f.release(ok) }
	start(t, f)
	running, queued := key, recorder.NewKey("fd-a", time.Now()).String()
	first := f.submit(submission(running, "once", 2, 1))
	f.waitSent(t, 2)
	second := f.submit(submission(queued, "once", 5, 1))
	f.waitAccepted(t, queued)
	keys := []string{running}
	for i := range 1000 {
		keys = append(keys, "unknown-"+strconv.Itoa(i))
	}
	result := make(chan *wire.CancellationResult, 1)
	f.Cancel(&wire.Cancellation{Keys: append(keys, queued), Team: "team"}, func(r *wire.CancellationResult) { result <- r })
	if r := <-result; r.NotStarted != 5 || r.Running != 2 {
		t.Errorf("got %v, want 5 not started and 2 running", r)
	}
	<-first
	if a := <-second; a.Outcome != wire.Outcome_OUTCOME_NOT_RUN || f.sentCount() != 2 {
		t.Errorf("got %v with %d orders, want not run with 2", a.Outcome, f.sentCount())
	}
}

// Statistics must be refreshed without a call that waits for the dispatcher's goroutine.
func TestStats(t *testing.T) {
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	f.submit(submission(key, "once", 5, 1))
	f.waitSent(t, 2)
	for deadline := time.Now().Add(10 * time.Second); f.Stats().Running == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no running tasks in the statistics after 10 s")
		}
	}
	if st := f.Stats(); st.Running != 2 || st.Queued != 3 {
		t.Errorf("got %d running and %d queued, want 2 and 3", st.Running, st.Queued)
	}
}

// An entry VM that has lost the ownership must start no queued task: the new owner has marked its record as failed.
func TestLostOwnershipStartsNothing(t *testing.T) {
	f := start(t, &fixture{verdict: recorder.VerdictNew, commitOK: true, answer: func(int) *sender.Result { return nil }})
	answer := f.submit(submission(key, "once", 5, 1))
	f.waitSent(t, 2)
	f.setOwner(false)
	again := f.submit(submission(recorder.NewKey("fd-a", time.Now()).String(), "once", 1, 1))
	if a := <-again; a.Reason != wire.Reason_REASON_NOT_OWNER {
		t.Errorf("got %v after the loss, want notOwner", a.Reason)
	}
	f.release(ok)
	if a := <-answer; a.State != wire.State_STATE_FAILED || f.sentCount() != 2 {
		t.Errorf("got %v with %d orders, want failed with 2", a.State, f.sentCount())
	}
}
