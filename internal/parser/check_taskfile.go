package parser

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxTasksPerService bounds the tasks of one service.
	MaxTasksPerService = 1000
	// MaxTimeout bounds a task's timeout. It equals DefaultRetention, so that a submission's record is kept for as long
	// as its tasks may run.
	MaxTimeout = 10 * time.Minute
	// MaxCores keeps a number of cores, counted in thousandths, far within an int64. The same limit applies to callers.
	MaxCores = 1_000_000
)

// RunsOnWorkers is the value of RunsOn for services that run on workers.
const RunsOnWorkers = "workers"

var (
	runsOnValues   = []string{"", "backendServers", RunsOnWorkers}
	overloadValues = []string{"", "refuse", "queue"}
)

// checkTaskFile checks the values of a decoded task file and the rules between fields.
func (d *document) checkTaskFile(f *TaskFile) {
	d.checkName("service", f.Service)
	d.checkOneOf("runsOn", f.RunsOn, runsOnValues)
	d.checkOneOf("overload", f.Overload, overloadValues)
	if f.MaxQueued < 0 {
		d.errorf("maxQueued", "must not be negative, got %d", f.MaxQueued)
	}
	seen := map[string]bool{}
	for i, team := range f.AllowedTeams {
		d.checkName(indexPath("callers", i), team)
		if seen[team] {
			d.errorf(indexPath("callers", i), "%q is listed twice", team)
		}
		seen[team] = true
	}
	d.checkTeams("shares", f.Shares, f)
	d.checkTeams("quotas", f.Quotas, f)
	d.checkTasks(f)
}

// checkTeams checks shares or quotas, which map teams to numbers. Zero is invalid: the team's tasks would wait forever.
// A team that may not call the service is left out of callers instead.
func (d *document) checkTeams(field string, numbers map[string]int, f *TaskFile) {
	for _, team := range slices.Sorted(maps.Keys(numbers)) {
		path := joinPath(field, team)
		d.checkName(path, team)
		if len(f.AllowedTeams) > 0 && !slices.Contains(f.AllowedTeams, team) {
			d.errorf(path, "team %q may not call this service", team)
		}
		if numbers[team] < 1 {
			d.errorf(path, "must be at least 1, got %d", numbers[team])
		}
	}
}

func (d *document) checkTasks(f *TaskFile) {
	if len(f.Tasks) == 0 {
		d.errorf("tasks", "must hold at least one task")
	}
	if len(f.Tasks) > MaxTasksPerService {
		d.errorf("tasks", "must hold at most %d tasks, got %d", MaxTasksPerService, len(f.Tasks))
	}
	seen := map[string]bool{}
	for i, t := range f.Tasks {
		path := indexPath("tasks", i)
		d.checkName(path+".name", t.Name)
		if seen[t.Name] && t.Name != "" {
			d.errorf(path+".name", "task %q is described twice", t.Name)
		}
		seen[t.Name] = true
		d.checkTask(path, t, f.RunsOn == RunsOnWorkers)
	}
}

func (d *document) checkTask(path string, t TaskSpec, onWorkers bool) {
	switch {
	case t.Timeout.Duration < 0:
		d.errorf(path+".timeout", "must not be negative, got %s", t.Timeout)
	case t.Timeout.Duration > MaxTimeout:
		d.errorf(path+".timeout", "must be at most 10m, got %s", t.Timeout)
	}
	if t.ExpectedRunTime.Duration < 0 {
		d.errorf(path+".expectedRunTime", "must not be negative, got %s", t.ExpectedRunTime)
	}
	if t.Cores < 0 || t.Cores > MaxCores {
		d.errorf(path+".cores", "must be 0 to %d, got %v", MaxCores, t.Cores)
	}
	if t.Accelerators < 0 {
		d.errorf(path+".accelerators", "must not be negative, got %d", t.Accelerators)
	}
	if onWorkers {
		return
	}
	for _, r := range []struct {
		name string
		set  bool
	}{
		{"cores", t.Cores != 0},
		{"memory", t.Memory != 0},
		{"accelerators", t.Accelerators != 0},
	} {
		if r.set {
			d.errorf(path+"."+r.name, `applies only with "runsOn": "workers"; backend servers have slots`)
		}
	}
}
