package runner

import (
	"encoding/json"
	"time"

	"clementineyard/internal/listener"
	"clementineyard/internal/messenger"
	"clementineyard/internal/recorder"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// maxCandidates bounds the candidates of each type of task in an explanation. Those that can take a task come first.
const maxCandidates = 100

// explain asks the owner of the submission's home what would become of it. done gets nil when the owner cannot be asked.
func (r *Runner) explain(s *wire.Submission, deadline time.Time, done func(json.RawMessage)) {
	home := r.keyHome()
	if s.Key != "" {
		key, err := recorder.ParseKey(s.Key)
		if err != nil {
			done(nil)
			return
		}
		home = key.Home
	}
	owner, ok := r.owner(home)
	switch {
	case !ok:
		done(nil)
	case owner == r.settings.Name:
		r.explainLocally(s, done)
	default:
		e := &wire.Envelope{Body: &wire.Envelope_ExplanationRequest{ExplanationRequest: &wire.ExplanationRequest{Submission: s}}}
		r.messenger.Call(owner, messenger.RelayStream, e, deadline, func(reply *wire.Envelope, err error) {
			if err != nil || len(reply.GetExplanation().GetJson()) == 0 {
				done(nil)
				return
			}
			done(reply.GetExplanation().GetJson())
		})
	}
}

// explainLocally explains a submission as the owner of this failure domain. done gets nil when this VM is not the owner or is busy.
func (r *Runner) explainLocally(s *wire.Submission, done func(json.RawMessage)) {
	if len(s.GetTasks()) == 0 {
		// Only a malformed message of another VM has none.
		done(nil)
		return
	}
	deadline := time.Now().Add(time.Duration(s.TimeoutMillis) * time.Millisecond)
	if !r.dispatcher.Explain(s, deadline, func(e scheduler.Explanation, known bool) {
		own := r.ownership()
		if own.Owner != r.settings.Name {
			done(nil)
			return
		}
		out := listener.Explanation{
			Service: s.Service, Version: r.configurer.Current().Version, FailureDomain: r.settings.FailureDomain, Owner: own.Owner, Epoch: own.Epoch,
		}
		describe(&out, &e, known)
		b, err := json.Marshal(&out)
		if err != nil {
			done(nil)
			return
		}
		done(b)
	}) {
		done(nil)
	}
}

// describe fills an explanation with what the scheduler would do.
func describe(out *listener.Explanation, e *scheduler.Explanation, known bool) {
	out.Verdict = listener.VerdictStarts
	for i := range e.Tasks {
		t := &e.Tasks[i]
		x := listener.ExplainedTasks{
			Task: t.Name, Count: t.Count, Class: "short", Cores: float64(t.Ask.Millicores) / 1000, QueuedAhead: t.QueuedAhead, TeamQueued: t.TeamQueued,
			RunTimeMilliseconds: t.RunTime.Milliseconds(), WaitMilliseconds: t.Wait.Milliseconds(), Servers: len(t.Candidates),
		}
		if t.Long {
			x.Class = "long"
		}
		for _, c := range t.Candidates {
			if c.Rejection == "" {
				x.Free++
			}
		}
		for _, c := range t.Candidates[:min(len(t.Candidates), maxCandidates)] {
			out.Candidates = append(out.Candidates, listener.ExplanationCandidate{
				Task: t.Name, Server: c.Server, Load: c.Load, FreeCores: float64(c.Free.Millicores) / 1000, Rejected: c.Rejection,
			})
		}
		if t.Wait > 0 || x.Free == 0 {
			out.Verdict = listener.VerdictWaits
		}
		out.StartMilliseconds = max(out.StartMilliseconds, x.WaitMilliseconds)
		out.EndMilliseconds = max(out.EndMilliseconds, x.WaitMilliseconds+x.RunTimeMilliseconds)
		out.Tasks = append(out.Tasks, x)
	}
	switch {
	case known:
		out.Verdict = listener.VerdictKnown
	case e.Refusal != nil:
		out.Verdict, out.Reason, out.RetryAfterMilliseconds = listener.VerdictRefused, listener.ReasonName(e.Refusal.Reason), e.Refusal.RetryAfter.Milliseconds()
	}
}
