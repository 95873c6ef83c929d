package taker

import (
	"strings"
	"time"
)

// Configuration is what operators have put into force.
type Configuration struct {
	Version uint64
	Queues  []Queue
	// MaxBody is the longest body of a submission in bytes; 0 when the configuration does not say.
	MaxBody int64
}

// Queue says where jobs of one host and path come from and which service runs them.
type Queue struct {
	Name, Host, Prefix, Service string
	// Timeout is how long a client waits at most.
	Timeout time.Duration
	// Target and Stretch make the objective: Stretch times the longest run time, and Target more.
	Target      time.Duration
	Stretch     float64
	MaxAttempts int
	Priority    int
	// Advised is true where only another service knows which workers may run the queue's steps.
	Advised bool
}

// Match returns the queue of a host with the longest prefix that path begins with; nil when there is none.
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
