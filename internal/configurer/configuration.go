package configurer

import (
	"slices"
	"sort"

	"clementineyard/internal/evacuator"
	"clementineyard/internal/parser"
	"clementineyard/internal/scheduler"
	"clementineyard/wire"
)

// Configuration is one version of all task files. It is immutable once it is in force.
type Configuration struct {
	Version  uint64
	Services map[string]*parser.TaskFile
	// Files holds the canonical JSON of each task file by service name.
	Files map[string][]byte
	// Evacuations holds the last change of each failure domain that was ever evacuated.
	Evacuations []*wire.Evacuation
}

// Evacuated reports whether a failure domain is evacuated, so that its servers get no starts.
func (c *Configuration) Evacuated(failureDomain string) bool {
	return evacuator.InForce(c.Evacuations, failureDomain, true)
}

// EvacuatedDomains returns the failure domains that are evacuated, sorted by name.
func (c *Configuration) EvacuatedDomains() []string {
	out := []string{}
	for _, e := range c.Evacuations {
		if e.Active {
			out = append(out, e.FailureDomain)
		}
	}
	slices.Sort(out)
	return out
}

// RefusalReason returns why a submission may not run under this configuration, and REASON_NONE when it may.
func (c *Configuration) RefusalReason(s *wire.Submission) wire.Reason {
	f := c.Services[s.Service]
	if f == nil {
		return wire.Reason_REASON_UNKNOWN_SERVICE
	}
	if len(f.AllowedTeams) > 0 && !slices.Contains(f.AllowedTeams, s.Team) {
		return wire.Reason_REASON_TEAM_NOT_ALLOWED
	}
	for _, t := range s.Tasks {
		if c.Task(s.Service, t.Name) == nil {
			return wire.Reason_REASON_UNKNOWN_TASK
		}
	}
	return wire.Reason_REASON_NONE
}

// Task returns the specification of a service's task, or nil when there is none.
func (c *Configuration) Task(service, task string) *parser.TaskSpec {
	f := c.Services[service]
	if f == nil {
		return nil
	}
	for i := range f.Tasks {
		if f.Tasks[i].Name == task {
			return &f.Tasks[i]
		}
	}
	return nil
}

// SchedulerServices returns the services in the scheduler's form, sorted by name.
func (c *Configuration) SchedulerServices() []scheduler.Service {
	var out []scheduler.Service
	for _, f := range c.Services {
		out = append(out, scheduledService(f))
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func scheduledService(f *parser.TaskFile) scheduler.Service {
	s := scheduler.Service{
		Name: f.Service, OnWorkers: f.RunsOn == "workers", MaxQueued: f.MaxQueued, TeamWeights: f.Shares, TeamQuotas: f.Quotas,
		QueueOnOverload: f.Overload == "queue",
	}
	if s.MaxQueued == 0 {
		s.MaxQueued = parser.DefaultMaxQueued
	}
	for _, t := range f.Tasks {
		s.Tasks = append(s.Tasks, scheduler.TaskSpec{
			Name: t.Name, NonIdempotent: t.NonIdempotent, Declared: t.ExpectedRunTime.Duration,
			Ask: scheduler.Resources{
				Millicores: int64(t.Cores * 1000), Memory: int64(t.Memory), Accelerators: int64(t.Accelerators),
			},
		})
	}
	return s
}
