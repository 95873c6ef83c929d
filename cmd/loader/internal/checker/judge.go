package checker

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"clementineyard/cmd/loader/internal/launcher"
	"clementineyard/internal/listener"
)

const maxFailuresShown = 20

// judge compares what the callers were told with what the servers saw.
type judge struct {
	run      *run
	report   Report
	failures []string
	// starts maps a submission's id and task id to the times of its starts.
	starts map[[2]string][]time.Time
}

func newJudge(r *run) *judge {
	j := &judge{run: r, starts: map[[2]string][]time.Time{}}
	for _, s := range r.journal.Starts() {
		k := [2]string{s.Key, s.TaskID}
		j.starts[k] = append(j.starts[k], s.At)
	}
	return j
}

func (j *judge) fail(count *int64, format string, args ...any) {
	*count++
	if len(j.failures) < maxFailuresShown {
		j.failures = append(j.failures, fmt.Sprintf(format, args...))
	}
}

func (j *judge) judge() {
	for _, c := range j.run.callers {
		for _, s := range c.subs {
			j.report.Submissions++
			j.submission(s)
		}
	}
	j.configuration()
}

func (j *judge) submission(s *submission) {
	if s.keyed {
		for _, t := range s.tasks {
			if n := len(j.starts[[2]string{s.id, t.ID}]); n > 1 {
				j.fail(&j.report.StartedTwice, "startedTwice: %s task %s started %d times", s.id, t.ID, n)
				if s.nonIdempotent {
					j.report.NonIdempotentTwice++
				}
			}
		}
	}
	for i := range s.calls {
		c := &s.calls[i]
		j.interrupted(s, c)
		if c.err != nil {
			continue
		}
		if c.outcome == "notRun" && c.status != http.StatusConflict {
			j.notRun(s, i)
		}
		j.answer(s, c)
	}
	j.contradiction(s)
}

// interrupted counts a call that was in flight when a planned stop of its VM began and was broken off.
func (j *judge) interrupted(s *submission, c *call) {
	if c.err == nil || errors.Is(c.err, syscall.ECONNREFUSED) {
		return
	}
	for _, st := range j.run.stops {
		if st.vm == c.vm && c.sent.Before(st.at) && c.received.After(st.at) {
			j.fail(&j.report.InterruptedOnStop, "interruptedOnStop: %s at %s: %v", s.id, c.vm.Name, c.err)
		}
	}
}

// notRun checks a refusal: nothing had started when it arrived, and nothing started later unless another call was
// under way or came after it.
func (j *judge) notRun(s *submission, index int) {
	c := &s.calls[index]
	laterCall := false
	for i := range s.calls {
		if i != index && s.calls[i].received.After(c.sent) {
			laterCall = true
		}
	}
	for _, t := range s.tasks {
		for _, at := range j.starts[[2]string{s.id, t.ID}] {
			if at.Before(c.received) || !laterCall {
				j.fail(&j.report.FalseNotRun, "falseNotRun: %s task %s started %s after the call was sent; refused (%s) after %s",
					s.id, t.ID, at.Sub(c.sent), c.reason, c.received.Sub(c.sent))
				return
			}
		}
	}
}

// answer checks one answer against the tasks and the starts.
func (j *judge) answer(s *submission, c *call) {
	if c.outcome != "answered" && c.answer.State != "failed" {
		return
	}
	if s.single {
		if c.outcome == "answered" && len(j.starts[[2]string{s.id, "0"}]) == 0 {
			j.fail(&j.report.LostAccepted, "lostAccepted: %s answered, no server saw it", s.id)
		}
		return
	}
	complete := c.answer.State == "complete"
	if complete && len(c.answer.Tasks) != len(s.tasks) && c.reason != "answerDropped" {
		j.fail(&j.report.PartialAnswers, "partialAnswers: %s complete with %d of %d tasks", s.id, len(c.answer.Tasks), len(s.tasks))
		return
	}
	if c.outcome == "notRun" {
		return // judged as a whole: a later call may run the submission
	}
	for i, t := range c.answer.Tasks {
		j.taskAnswer(s, i, t, complete)
	}
}

func (j *judge) taskAnswer(s *submission, i int, t listener.JobTaskAnswer, complete bool) {
	started := len(j.starts[[2]string{s.id, t.ID}]) > 0
	switch {
	case i >= len(s.tasks) || t.ID != s.tasks[i].ID:
		j.fail(&j.report.PartialAnswers, "partialAnswers: %s holds task %s at place %d", s.id, t.ID, i)
	case complete && (t.Outcome != "answered" || len(t.Payload) == 0):
		j.fail(&j.report.PartialAnswers, "partialAnswers: %s complete with task %s %s", s.id, t.ID, t.Outcome)
	case t.Outcome == "answered" && !started:
		j.fail(&j.report.LostAccepted, "lostAccepted: %s task %s answered, no server saw it", s.id, t.ID)
	case t.Outcome == "notRun" && started:
		j.fail(&j.report.FalseNotRun, "falseNotRun: %s task %s was started (%s)", s.id, t.ID, t.Reason)
	}
}

// contradiction checks that the last resubmission does not deny an earlier complete answer.
func (j *judge) contradiction(s *submission) {
	if !s.keyed || len(s.calls) == 0 {
		return
	}
	answered := false
	for i := range s.calls[:len(s.calls)-1] {
		c := &s.calls[i]
		answered = answered || (c.err == nil && c.outcome == "answered")
	}
	last := &s.calls[len(s.calls)-1]
	if answered && last.err == nil && last.outcome == "notRun" {
		j.fail(&j.report.LostAccepted, "lostAccepted: %s was answered, then refused as not run (%s)", s.id, last.reason)
	}
}

// configuration checks the one history of versions.
func (j *judge) configuration() {
	h := j.run.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.reverts {
		j.fail(&j.report.ConfigReverts, "configReverts: %s", s)
	}
	for v, contents := range h.seen {
		if len(contents) > 1 {
			j.fail(&j.report.ConfigReverts, "configReverts: version %d was seen with %d contents", v, len(contents))
		}
	}
	final := j.run.operator("final", 4).current(j.run.d.VMs[0])
	for v, ids := range h.accepted {
		if len(ids) > 1 {
			j.fail(&j.report.ConfigReverts, "configReverts: version %d was given to %d changes", v, len(ids))
		}
		if v > final {
			j.fail(&j.report.LostAccepted, "lostAccepted: version %d was accepted, the last one is %d", v, final)
		}
	}
}

func (o *operator) current(vm *launcher.VM) uint64 {
	var cur listener.ConfigurationAnswer
	if _, err := o.run.d.Operate(vm, http.MethodGet, "/v1/configuration", nil, &cur); err != nil {
		return 0
	}
	return cur.Version
}
