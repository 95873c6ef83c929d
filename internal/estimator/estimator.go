package estimator

import "time"

const (
	// DefaultRunTime is predicted for a task that has neither a declared run time nor a result.
	DefaultRunTime = 200 * time.Millisecond
	// MinSamples is the number of results below which a task always counts as short.
	MinSamples = 8
	// longRunFactor times the median of the service's short tasks is the mean run time above which a task counts as
	// long.
	longRunFactor = 4
	// newSampleWeight is the weight of a new result in the mean: the last 20 results or so determine it.
	newSampleWeight = 0.05
	// outlierFactor times the mean is the largest value that one result counts as, so that a straggler does not make
	// a short task long.
	outlierFactor = 8
	// relearnAfter is the number of consecutive results of long tasks after which the short median is relearned, if
	// all learned tasks are long. Without it a service whose tasks all became slower would have no short task left
	// to learn from.
	relearnAfter = 64
	// staleAfter is the age of the last result above which a prediction may be checked by another run.
	staleAfter = time.Second
)

// Estimator holds the learned run times. It is not safe for concurrent use.
type Estimator struct {
	services map[string]*ServiceRunTimes
}

// ServiceRunTimes holds the learned run times of one service.
type ServiceRunTimes struct {
	tasks map[string]*TaskRunTimes
	// shortMedian is the median run time of the short tasks, in nanoseconds.
	shortMedian Quantile
	// consecutiveLong counts the results of long tasks since the last result of a short one.
	consecutiveLong int
}

// TaskRunTimes holds the learned run times of one type of task of a service, in nanoseconds.
type TaskRunTimes struct {
	service      *ServiceRunTimes
	mean         float64
	median       Quantile
	tail         Quantile
	samples      int
	lastResultAt time.Time
}

// New returns an Estimator without results.
func New() *Estimator {
	return &Estimator{services: map[string]*ServiceRunTimes{}}
}

// Task returns the learned run times of a task, and starts to track the task at its first use.
func (e *Estimator) Task(service, name string) *TaskRunTimes {
	s := e.services[service]
	if s == nil {
		s = &ServiceRunTimes{tasks: map[string]*TaskRunTimes{}, shortMedian: NewQuantile(medianFraction)}
		e.services[service] = s
	}
	t := s.tasks[name]
	if t == nil {
		t = &TaskRunTimes{service: s, median: NewQuantile(medianFraction), tail: NewQuantile(tailFraction)}
		s.tasks[name] = t
	}
	return t
}

// Learned returns the number of tasks with at least MinSamples results.
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

// Retain removes the services that are not configured.
func (e *Estimator) Retain(configured func(service string) bool) {
	for name := range e.services {
		if !configured(name) {
			delete(e.services, name)
		}
	}
}

// Learned reports whether there are enough results to rely on the prediction.
func (t *TaskRunTimes) Learned() bool { return t.samples >= MinSamples }

// HasResult reports whether there is any result.
func (t *TaskRunTimes) HasResult() bool { return t.samples > 0 }

// Predict returns the expected run time. The declared run time is used until the first result; zero means that there
// is none.
func (t *TaskRunTimes) Predict(declared time.Duration) time.Duration {
	switch {
	case t.samples > 0:
		return time.Duration(t.mean)
	case declared > 0:
		return declared
	default:
		return DefaultRunTime
	}
}

// Median returns the median run time, zero before MinSamples results.
func (t *TaskRunTimes) Median() time.Duration {
	if !t.Learned() {
		return 0
	}
	return time.Duration(t.median.Value())
}

// P90 returns the 90th percentile of the run time, zero before MinSamples results.
func (t *TaskRunTimes) P90() time.Duration {
	if !t.Learned() {
		return 0
	}
	return time.Duration(t.tail.Value())
}

// Long reports whether the task counts as long within its service.
func (t *TaskRunTimes) Long() bool {
	return t.Learned() && t.mean > longRunFactor*t.service.shortMedian.Value()
}

// Stale reports whether the last result is so old that the prediction should be checked by another run.
func (t *TaskRunTimes) Stale(now time.Time) bool { return now.Sub(t.lastResultAt) > staleAfter }

// Learn records the run time of a task that succeeded.
func (t *TaskRunTimes) Learn(now time.Time, runTime time.Duration) {
	x := max(float64(runTime), 1)
	t.lastResultAt = now
	t.samples++
	if t.samples > MinSamples {
		x = min(x, outlierFactor*t.mean)
	}
	t.mean += (x - t.mean) * max(newSampleWeight, 1/float64(t.samples))
	t.median.Add(x)
	t.tail.Add(x)
	t.service.updateShortMedian(t, x)
}

// updateShortMedian records a run time, in nanoseconds, if it counts for the median of the short tasks.
func (s *ServiceRunTimes) updateShortMedian(t *TaskRunTimes, x float64) {
	if t.Long() {
		if s.consecutiveLong++; s.consecutiveLong < relearnAfter {
			return
		}
		s.consecutiveLong = 0
		if s.hasShortTask() {
			return
		}
		s.shortMedian = NewQuantile(medianFraction)
	}
	s.consecutiveLong = 0
	s.shortMedian.Add(x)
}

// hasShortTask reports whether any learned task is short, even one that has not run lately: a period with only long
// tasks does not make them short.
func (s *ServiceRunTimes) hasShortTask() bool {
	for _, t := range s.tasks {
		if t.Learned() && !t.Long() {
			return true
		}
	}
	return false
}
