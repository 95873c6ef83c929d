package checker

import (
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/cmd/loader/internal/replier"
	"clementineyard/internal/listener"
)

// TestVerifierCountsEachViolation guards against a campaign that reports no violations because it does not detect them.
func TestVerifierCountsEachViolation(t *testing.T) {
	t0 := time.Now()
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	vm := &launcher.VM{Name: "fd-a-1"}
	start := func(task string, ms int) replier.Start { return replier.Start{Key: "k", TaskID: task, At: at(ms)} }
	complete := listener.JobAnswer{State: "complete", Tasks: []listener.JobTaskAnswer{
		{ID: "0", Outcome: "answered", Payload: []byte("1")}, {ID: "1", Outcome: "answered", Payload: []byte("1")},
	}}
	short := complete
	short.Tasks = complete.Tasks[:1]
	answered := call{vm: vm, sent: at(0), received: at(50), status: 200, outcome: "answered", answer: complete}
	refused := call{vm: vm, sent: at(60), received: at(70), status: 503, outcome: "notRun"}
	refusedTasks := call{vm: vm, sent: at(0), received: at(5), status: 503, outcome: "notRun", answer: listener.JobAnswer{
		State: "failed", Tasks: []listener.JobTaskAnswer{{ID: "0", Outcome: "notRun"}, {ID: "1", Outcome: "notRun"}},
	}}
	mixed := call{vm: vm, sent: at(0), received: at(50), status: 200, outcome: "answered", answer: listener.JobAnswer{
		State: "failed", Tasks: []listener.JobTaskAnswer{complete.Tasks[0], {ID: "1", Outcome: "notRun"}},
	}}
	bothStarted := []replier.Start{start("0", 10), start("1", 10)}

	for _, c := range []struct {
		name   string
		calls  []call
		starts []replier.Start
		want   Report
	}{
		{"no violation", []call{answered, answered}, bothStarted, Report{Submissions: 1}},
		{"started twice", []call{answered}, append(bothStarted, start("1", 90)), Report{Submissions: 1, StartedTwice: 1, NonIdempotentTwice: 1}},
		{"complete with a task missing", []call{{vm: vm, sent: at(0), received: at(50), status: 200, outcome: "answered", answer: short}}, bothStarted, Report{Submissions: 1, PartialAnswers: 1}},
		{"answered without a start", []call{answered}, bothStarted[:1], Report{Submissions: 1, LostAccepted: 1}},
		{"refused after it started", []call{{vm: vm, sent: at(0), received: at(70), status: 503, outcome: "notRun"}}, bothStarted, Report{Submissions: 1, FalseNotRun: 1}},
		{"refused, then started by itself", []call{{vm: vm, sent: at(0), received: at(5), status: 503, outcome: "notRun"}}, bothStarted, Report{Submissions: 1, FalseNotRun: 1}},
		{"refused task by task, run by a later call", []call{refusedTasks, answered}, bothStarted, Report{Submissions: 1}},
		{"refused task by task, but it ran", []call{{vm: vm, sent: at(0), received: at(50), status: 503, outcome: "notRun", answer: refusedTasks.answer}}, bothStarted, Report{Submissions: 1, FalseNotRun: 1}},
		{"one task of a final answer not run, started later", []call{mixed, answered}, append(bothStarted, start("1", 90))[:2], Report{Submissions: 1, FalseNotRun: 1}},
		{"refused, started by a later call", []call{{vm: vm, sent: at(0), received: at(5), status: 503, outcome: "notRun"}, answered}, bothStarted, Report{Submissions: 1}},
		{"conflict does not contradict other calls", []call{answered, {vm: vm, sent: at(60), received: at(70), status: http.StatusConflict, outcome: "notRun"}, answered}, bothStarted, Report{Submissions: 1}},
		{"answered, then denied", []call{answered, refused}, bothStarted, Report{Submissions: 1, FalseNotRun: 1, LostAccepted: 1}},
		{"interrupted by a planned stop", []call{{vm: vm, sent: at(90), received: at(120), err: io.ErrUnexpectedEOF}}, nil, Report{Submissions: 1, InterruptedOnStop: 1}},
		{"interrupted without a stop", []call{{vm: vm, sent: at(0), received: at(10), err: errors.New("reset")}}, nil, Report{Submissions: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			journal := &replier.Journal{}
			for _, s := range c.starts {
				journal.Add(s)
			}
			sub := &submission{
				id: "k", keyed: true, nonIdempotent: true, calls: c.calls,
				tasks: []listener.JobTask{{ID: "0"}, {ID: "1"}},
			}
			r := &run{journal: journal, callers: []*caller{{submissions: []*submission{sub}}}, stops: []plannedStop{{vm: vm, signalledAt: at(100)}}}
			v := newVerifier(r)
			for _, cl := range r.callers {
				for _, s := range cl.submissions {
					v.report.Submissions++
					v.checkSubmission(s)
				}
			}
			if v.report != c.want {
				t.Errorf("got %+v, want %+v (%v)", v.report, c.want, v.violations)
			}
		})
	}
}

// TestHistoryRecordsReverts guards against a VM that goes back to an older version unnoticed.
func TestHistoryRecordsReverts(t *testing.T) {
	h := newHistory()
	for _, v := range []uint64{1, 3, 2} {
		h.observe("fd-a-1", listener.ConfigurationAnswer{Version: v})
	}
	if len(h.reverts) != 1 {
		t.Errorf("got %d reverts, want 1: %v", len(h.reverts), h.reverts)
	}
}
