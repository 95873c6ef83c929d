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

const maxViolationsShown = 20

// verifier compares the answers that the callers received with the starts that the servers counted.
type verifier struct {
	run        *run
	report     Report
	violations []string
	// starts maps a submission's ID and a task's ID to the times at which servers started the task.
	starts map[[2]string][]time.Time
}

func newVerifier(r *run) *verifier {
	v := &verifier{run: r, starts: map[[2]string][]time.Time{}}
	for _, s := range r.journal.Starts() {
		k := [2]string{s.Key, s.TaskID}
		v.starts[k] = append(v.starts[k], s.At)
	}
	return v
}

func (v *verifier) recordViolation(count *int64, format string, args ...any) {
	*count++
	if len(v.violations) < maxViolationsShown {
		v.violations = append(v.violations, fmt.Sprintf(format, args...))
	}
}

func (v *verifier) verify() {
	for _, c := range v.run.callers {
		for _, s := range c.submissions {
			v.report.Submissions++
			v.checkSubmission(s)
		}
	}
	v.checkConfiguration()
}

func (v *verifier) checkSubmission(s *submission) {
	if s.keyed {
		for _, t := range s.tasks {
			if n := len(v.starts[[2]string{s.id, t.ID}]); n > 1 {
				v.recordViolation(&v.report.StartedTwice, "startedTwice: %s task %s started %d times", s.id, t.ID, n)
				if s.nonIdempotent {
					v.report.NonIdempotentTwice++
				}
			}
		}
	}
	for i := range s.calls {
		c := &s.calls[i]
		v.checkInterrupted(s, c)
		if c.err != nil {
			continue
		}
		if c.outcome == "notRun" && c.status != http.StatusConflict {
			v.checkNotRun(s, i)
		}
		v.checkAnswer(s, c)
	}
	v.checkDeniedAnswer(s)
}

// checkInterrupted counts a call that was in flight when a planned stop of its VM began and that ended without a
// response. A refused connection does not count: the call had not reached the VM.
func (v *verifier) checkInterrupted(s *submission, c *call) {
	if c.err == nil || errors.Is(c.err, syscall.ECONNREFUSED) {
		return
	}
	for _, stop := range v.run.stops {
		if stop.vm == c.vm && c.sent.Before(stop.signalledAt) && c.received.After(stop.signalledAt) {
			v.recordViolation(&v.report.InterruptedOnStop, "interruptedOnStop: %s at %s: %v", s.id, c.vm.Name, c.err)
		}
	}
}

// checkNotRun verifies a refusal: no task had started when it was received, and none started later unless another call
// of the submission was in flight or followed it.
func (v *verifier) checkNotRun(s *submission, index int) {
	c := &s.calls[index]
	laterCall := false
	for i := range s.calls {
		if i != index && s.calls[i].received.After(c.sent) {
			laterCall = true
		}
	}
	for _, t := range s.tasks {
		for _, at := range v.starts[[2]string{s.id, t.ID}] {
			if at.Before(c.received) || !laterCall {
				v.recordViolation(&v.report.FalseNotRun, "falseNotRun: %s task %s started %s after the call was sent; refused (%s) after %s",
					s.id, t.ID, at.Sub(c.sent), c.reason, c.received.Sub(c.sent))
				return
			}
		}
	}
}

// checkAnswer verifies one answer against the submitted tasks and the counted starts.
func (v *verifier) checkAnswer(s *submission, c *call) {
	if c.outcome != "answered" && c.answer.State != "failed" {
		return
	}
	if s.single {
		if c.outcome == "answered" && len(v.starts[[2]string{s.id, "0"}]) == 0 {
			v.recordViolation(&v.report.LostAccepted, "lostAccepted: %s was answered, but no server started it", s.id)
		}
		return
	}
	complete := c.answer.State == "complete"
	if complete && len(c.answer.Tasks) != len(s.tasks) && c.reason != "answerDropped" {
		v.recordViolation(&v.report.PartialAnswers, "partialAnswers: %s is complete with %d of %d tasks", s.id, len(c.answer.Tasks), len(s.tasks))
		return
	}
	if c.outcome == "notRun" {
		return // checkNotRun verifies the submission as a whole, as a later call may run it
	}
	for i, t := range c.answer.Tasks {
		v.checkTaskAnswer(s, i, t, complete)
	}
}

func (v *verifier) checkTaskAnswer(s *submission, i int, t listener.JobTaskAnswer, complete bool) {
	started := len(v.starts[[2]string{s.id, t.ID}]) > 0
	switch {
	case i >= len(s.tasks) || t.ID != s.tasks[i].ID:
		v.recordViolation(&v.report.PartialAnswers, "partialAnswers: %s contains task %s at position %d", s.id, t.ID, i)
	case complete && (t.Outcome != "answered" || len(t.Payload) == 0):
		v.recordViolation(&v.report.PartialAnswers, "partialAnswers: %s is complete, but task %s has outcome %s", s.id, t.ID, t.Outcome)
	case t.Outcome == "answered" && !started:
		v.recordViolation(&v.report.LostAccepted, "lostAccepted: %s task %s was answered, but no server started it", s.id, t.ID)
	case t.Outcome == "notRun" && started:
		v.recordViolation(&v.report.FalseNotRun, "falseNotRun: %s task %s was refused as not run, but started (%s)", s.id, t.ID, t.Reason)
	}
}

// checkDeniedAnswer verifies that the last call does not refuse as not run what an earlier call answered.
func (v *verifier) checkDeniedAnswer(s *submission) {
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
		v.recordViolation(&v.report.LostAccepted, "lostAccepted: %s was answered, then refused as not run (%s)", s.id, last.reason)
	}
}

// checkConfiguration verifies that all VMs had a single history of configuration versions that contains every accepted
// change.
func (v *verifier) checkConfiguration() {
	h := v.run.history
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.reverts {
		v.recordViolation(&v.report.ConfigReverts, "configReverts: %s", s)
	}
	for version, contents := range h.contentsByVersion {
		if len(contents) > 1 {
			v.recordViolation(&v.report.ConfigReverts, "configReverts: version %d was seen with %d contents", version, len(contents))
		}
	}
	final := v.run.newOperator("final", 4).currentVersion(v.run.deployment.VMs[0])
	for version, ids := range h.accepted {
		if len(ids) > 1 {
			v.recordViolation(&v.report.ConfigReverts, "configReverts: version %d was assigned to %d changes", version, len(ids))
		}
		if version > final {
			v.recordViolation(&v.report.LostAccepted, "lostAccepted: version %d was accepted, but the last version is %d", version, final)
		}
	}
}

// currentVersion returns the configuration version that a VM has in force, or 0 when it does not answer.
func (o *operator) currentVersion(vm *launcher.VM) uint64 {
	var current listener.ConfigurationAnswer
	if _, err := o.run.deployment.CallOperators(vm, http.MethodGet, "/v1/configuration", nil, &current); err != nil {
		return 0
	}
	return current.Version
}
