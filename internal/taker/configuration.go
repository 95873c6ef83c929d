package taker

import (
	"strings"
	"time"
)

// Configuration is the configuration that operators have put into force.
type Configuration struct {
	Version uint64
	Queues  []Queue
	// MaxBody is the maximum size of a submission's body in bytes; 0 when the configuration sets none.
	MaxBody int64
}

// Queue is a queue of jobs: the host and path prefix whose requests submit them, and the service that runs them.
type Queue struct {
	Name, Host, Prefix, Service string
	// Timeout is the longest time that a client waits for a job's outcome.
	Timeout time.Duration
	// TargetLatency and StretchFactor set the latency objective: StretchFactor times the expected run time of the longest
	// chain of steps, plus TargetLatency.
	TargetLatency time.Duration
	StretchFactor float64
	MaxAttempts   int
	Priority      int
	// NeedsAdvice is true when only another service knows which workers may run the queue's steps.
	NeedsAdvice bool
}

// Match returns the queue of a host with the longest prefix of path; nil when there is none. Hosts match regardless of
// case.
func (c *Configuration) Match(host, path string) *Queue {
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	return best
}
