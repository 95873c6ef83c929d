package parser

import (
	"maps"
	"slices"
	"time"
)

const (
	// MaxTasks bounds the tasks of one service.
	MaxTasks = 1000
	// MaxTimeout bounds a task's deadline. It equals the default retention, so that a record outlives its work.
	MaxTimeout = 10 * time.Minute
	// MaxCores keeps thousandths of a core within an integer; callers may ask for no more either.
	MaxCores = 1_000_000
)

// RunsOnWorkers is the value of RunsOn for services that run on workers.
const RunsOnWorkers = "workers"

var (
	runsOnWords   = []string{"", "backendServers", RunsOnWorkers}
	overloadWords = []string{"", "refuse", "queue"}
)

// checkTaskFile checks what a single field cannot show.
func (d *document) checkTaskFile(f *TaskFile) {
	d.checkName("service", f.Service)
	d.checkWord("runsOn", f.RunsOn, runsOnWords)
	d.checkWord("overload", f.Overload, overloadWords)
	if f.MaxQueued < 0 {
		d.addf("maxQueued", "must not be negative, got %d", f.MaxQueued)
	}
	seen := map[string]bool{}
	for i, team := range f.Callers {
		d.checkName(index("callers", i), team)
		if seen[team] {
			d.addf(index("callers", i), "%q is listed twice", team)
		}
		seen[team] = true
	}
	d.checkTeams("shares", f.Shares, f)
	d.checkTeams("quotas", f.Quotas, f)
	d.checkTasks(f)
}

// checkTeams checks shares and quotas. A weight or quota of zero would hold a team's work back for ever; a team that
// may not call is left out of callers instead.
func (d *document) checkTeams(field string, values map[string]int, f *TaskFile) {
	for _, team := range slices.Sorted(maps.Keys(values)) {
		path := join(field, team)
		d.checkName(path, team)
		if len(f.Callers) > 0 && !slices.Contains(f.Callers, team) {
			d.addf(path, "team %q may not call this service", team)
		}
		if values[team] < 1 {
			d.addf(path, "must be at least 1, got %d", values[team])
		}
	}
}

func (d *document) checkTasks(f *TaskFile) {
	if len(f.Tasks) == 0 {
		d.addf("tasks", "must hold at least one task")
	}
	if len(f.Tasks) > MaxTasks {
		d.addf("tasks", "must hold at most %d tasks, got %d", MaxTasks, len(f.Tasks))
	}
	seen := map[string]bool{}
	for i, t := range f.Tasks {
		path := index("tasks", i)
		d.checkName(path+".name", t.Name)
		if seen[t.Name] && t.Name != "" {
			d.addf(path+".name", "task %q is described twice", t.Name)
		}
		seen[t.Name] = true
		d.checkTask(path, t, f.RunsOn == RunsOnWorkers)
	}
}

func (d *document) checkTask(path string, t TaskSpec, onWorkers bool) {
	switch {
	case t.Timeout.Duration < 0:
		d.addf(path+".timeout", "must not be negative, got %s", t.Timeout)
	case t.Timeout.Duration > MaxTimeout:
		d.addf(path+".timeout", "must be at most 10m, got %s", t.Timeout)
	}
	if t.ExpectedRunTime.Duration < 0 {
		d.addf(path+".expectedRunTime", "must not be negative, got %s", t.ExpectedRunTime)
	}
	if t.Cores < 0 || t.Cores > MaxCores {
		d.addf(path+".cores", "must be 0 to %d, got %v", MaxCores, t.Cores)
	}
	if t.Accelerators < 0 {
		d.addf(path+".accelerators", "must not be negative, got %d", t.Accelerators)
	}
	if onWorkers {
		return
	}
	for _, r := range []struct {
		name  string
		asked bool
	}{
		{"cores", t.Cores != 0},
		{"memory", t.Memory != 0},
		{"accelerators", t.Accelerators != 0},
	} {
		if r.asked {
			d.addf(path+"."+r.name, `applies only with "runsOn": "workers"; backend servers have slots`)
		}
	}
}
