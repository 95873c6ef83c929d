package estimator

import "time"

const (
	// DefaultRunTime is predicted for a task without a declared size and without a result.
	DefaultRunTime = 200 * time.Millisecond
	// MinSamples is the number of results below which a task counts as short.
	MinSamples = 8
	// longFactor times the service's short median separates short tasks from long ones.
	longFactor = 4
	// recentWeight is the weight of a new result in the mean: about the last 20 results decide.
	recentWeight = 0.05
	// outlierFactor bounds how far one result moves the mean, so that a straggler does not turn a short task long.
	outlierFactor = 8
	// forgetAfter is the number of results of long tasks in a row after which the short median is learned anew, if all
	// learned tasks are long. Without it a service whose tasks all became slower would have no short task left to learn from.
	forgetAfter = 64
	// stale is the age of the last result from which a prediction may be checked by an attempt.
	stale = time.Second
)

// Estimator holds what was learned. It is not safe for concurrent use.
type Estimator struct {
	services map[string]*Service
}

// Service is what was learned of one service.
type Service struct {
	tasks       map[string]*Task
	shortMedian Quantile
	longInARow  int
}

// Task is what was learned of one task of a service.
type Task struct {
	service *Service
	mean    float64
	median  Quantile
	tail    Quantile
	count   int
	last    time.Time
}

// New returns an Estimator that knows nothing.
func New() *Estimator {
	return &Estimator{services: map[string]*Service{}}
}

// Task returns the entry of a task, and creates it at first use.
func (e *Estimator) Task(service, name string) *Task {
	s := e.services[service]
	if s == nil {
		s = &Service{tasks: map[string]*Task{}, shortMedian: NewQuantile(half)}
		e.services[service] = s
	}
	t := s.tasks[name]
	if t == nil {
		t = &Task{service: s, median: NewQuantile(half), tail: NewQuantile(most)}
		s.tasks[name] = t
	}
	return t
}

// Learned counts the tasks with at least MinSamples results.
func (e *Estimator) Learned() int {
	n := 0
	for _, s := range e.services {
		for _, t := range s.tasks {
			if t.Learned() {
				n++
			}
		}
	}
	return n
}

// Keep forgets the services that are not in force.
func (e *Estimator) Keep(inForce func(service string) bool) {
	for name := range e.services {
		if !inForce(name) {
			delete(e.services, name)
		}
	}
}

// Learned reports whether enough results were seen to trust the prediction.
func (t *Task) Learned() bool { return t.count >= MinSamples }

// Seen reports whether any result is known.
func (t *Task) Seen() bool { return t.count > 0 }

// Predict returns the expected run time. declared is used until the first result; zero means unknown.
func (t *Task) Predict(declared time.Duration) time.Duration {
	switch {
	case t.count > 0:
		return time.Duration(t.mean)
	case declared > 0:
		return declared
	default:
		return DefaultRunTime
	}
}

// Median returns the learned median run time, zero before MinSamples results.
func (t *Task) Median() time.Duration {
	if !t.Learned() {
		return 0
	}
	return time.Duration(t.median.Value())
}

// Tail returns the learned run time that nine of ten results stay below, zero before MinSamples results.
func (t *Task) Tail() time.Duration {
	if !t.Learned() {
		return 0
	}
	return time.Duration(t.tail.Value())
}

// Long reports whether the task counts as long in its service.
func (t *Task) Long() bool {
	return t.Learned() && t.mean > longFactor*t.service.shortMedian.Value()
}

// Stale reports whether the last result is so old that the prediction should be checked by an attempt.
func (t *Task) Stale(now time.Time) bool { return now.Sub(t.last) > stale }

// Learn records the run time of a task that ended well.
func (t *Task) Learn(now time.Time, runTime time.Duration) {
	x := max(float64(runTime), 1)
	t.last = now
	t.count++
	if t.count > MinSamples {
		x = min(x, outlierFactor*t.mean)
	}
	t.mean += (x - t.mean) * max(recentWeight, 1/float64(t.count))
	t.median.Add(x)
	t.tail.Add(x)
	t.service.learnShort(t, x)
}

func (s *Service) learnShort(t *Task, x float64) {
	if t.Long() {
		if s.longInARow++; s.longInARow < forgetAfter {
			return
		}
		s.longInARow = 0
		if s.anyShort() {
			return
		}
		s.shortMedian = NewQuantile(half)
	}
	s.longInARow = 0
	s.shortMedian.Add(x)
}

// anyShort reports whether a learned task is short, also when it has not run lately: a time with only long work does
// not make that work short.
func (s *Service) anyShort() bool {
	for _, t := range s.tasks {
		if t.Learned() && !t.Long() {
			return true
		}
	}
	return false
}
