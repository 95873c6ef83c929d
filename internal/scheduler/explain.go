package scheduler

import (
	"time"

	"clementineyard/internal/placer"
)

// Explanation tells what Admit and Next would decide on a job now.
type Explanation struct {
	// Refusal is the refusal that the job would get; nil when it would be admitted. Its RetryAfter is the earliest that is advised.
	Refusal *Refusal
	// Tasks holds one entry for each type of task and ask of the job, in the order of their first task.
	Tasks []TaskExplanation
}

// TaskExplanation tells what would become of the tasks of a job that are of one type and ask for the same.
type TaskExplanation struct {
	Name  string
	Count int
	Ask   Resources
	// Long is true when the tasks count as long ones.
	Long bool
	// RunTime is the predicted run time of a task, and Wait the longest predicted wait.
	RunTime, Wait time.Duration
	// QueuedAhead counts the waiting tasks of the class, of all teams, and TeamQueued those of the job's team.
	QueuedAhead, TeamQueued int
	Candidates              []placer.Candidate
}

// Explain tells what would become of the tasks of a job if it were submitted now. It changes no state, and draws no random number.
func (s *Scheduler) Explain(now time.Time, tasks []Task) Explanation {
	a := admission{now: now, explaining: true}
	var out Explanation
	if s.evacuated {
		out.Refusal = newEvacuatedRefusal()
	}
	index := map[explainedTask]int{}
	for i := range tasks {
		t := &tasks[i]
		wait, refusal := s.checkTask(&a, t)
		if refusal != nil && out.Refusal == nil {
			out.Refusal = refusal
		}
		svc := s.services[t.Service]
		if svc == nil || svc.taskTypes[t.Name] == nil {
			break
		}
		key := explainedTask{t.Name, effectiveAsk(svc, svc.taskTypes[t.Name], t)}
		n, ok := index[key]
		if !ok {
			n = len(out.Tasks)
			index[key] = n
			out.Tasks = append(out.Tasks, s.explainTask(svc, t, key.ask))
		}
		out.Tasks[n].Count++
		out.Tasks[n].Wait = max(out.Tasks[n].Wait, wait)
		if refusal != nil {
			out.Tasks[n].Wait = max(out.Tasks[n].Wait, refusal.EstimatedWait)
			break
		}
	}
	return out
}

// explainedTask is what tasks have in common that share a TaskExplanation.
type explainedTask struct {
	name string
	ask  Resources
}

func (s *Scheduler) explainTask(svc *service, t *Task, ask Resources) TaskExplanation {
	tt := svc.taskTypes[t.Name]
	c := tt.class()
	out := TaskExplanation{
		Name: t.Name, Ask: ask, Long: c == classLong, RunTime: tt.predictRunTime(t), QueuedAhead: svc.queues[c].count,
		Candidates: s.placer.Candidates(svc.Name, svc.OnWorkers, ask),
	}
	if team := svc.teams[t.Team]; team != nil {
		out.TeamQueued = team.queues[c].queued
	}
	return out
}
