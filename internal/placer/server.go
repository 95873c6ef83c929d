package placer

import (
	"math/bits"
	"time"
)

const (
	// unlimitedSlots is the slot limit of a worker that announces no slots and is limited only by its resources.
	unlimitedSlots = 1 << 20
	// fullPenalty orders full servers after all servers with free capacity.
	fullPenalty = 10
	// failingPenalty orders servers that would be quarantined if the cap allowed it after all other servers with
	// free capacity.
	failingPenalty = 5
	// othersUsageSmoothing is the weight of the old value in Server.othersUsage. A report is older than its
	// announcement, so a single difference is off by the own tasks that started or ended in between; smoothing over
	// about 7 s averages this out.
	othersUsageSmoothing = 0.9
	// usageSmoothing is the weight of the old value in Server.smoothedUsage, for LoadSmoothedReport.
	usageSmoothing = 0.8

	// failuresToQuarantine is the number of failures among the last 8 results that puts a server in quarantine. The
	// results are the bits of Server.recentFailures.
	failuresToQuarantine = 5
	// probesToRestore is the number of successful tasks on probation after which a server is healthy again.
	probesToRestore = 3
	// The quarantine starts at initialQuarantine and doubles with each failed probe, up to maxQuarantine.
	initialQuarantine = time.Second
	maxQuarantine     = 30 * time.Second
)

// health is the state of a server as judged from its results.
type health int

const (
	healthy health = iota
	quarantined
	// probing is the probation after a quarantine: one task at a time.
	probing
)

// Server is the state of one backend server or worker.
type Server struct {
	Announcement
	// ownTasks counts the tasks that this owner has in flight on this incarnation of the server.
	ownTasks int
	// untracked counts the tasks that may still run although this owner does not track them: those of the previous
	// owner and those that got no answer.
	untracked int
	// abandoned is the sum of the asks of the tasks that got no answer. It is reset when untracked becomes zero.
	abandoned Resources
	// allocated is the sum of the asks of the own tasks.
	allocated Resources
	// othersUsage is the smoothed difference between the reported usage and what was allocated to own tasks when the
	// report arrived.
	othersUsage Resources
	// smoothedUsage is the smoothed reported usage.
	smoothedUsage Resources
	memberships   []*membership
	// live is true while the server has a lease and is not leaving.
	live bool
	// score is the load that heaps order by; lower is chosen first.
	score float64
	// reserved is true while the worker is reserved for a large task.
	reserved bool
	// tieBreak is random, so that servers of equal load are chosen evenly.
	tieBreak uint32

	state health
	// recentFailures holds one bit for each of the last 8 results, set for a failure.
	recentFailures   uint8
	quarantinedUntil time.Time
	quarantineFor    time.Duration
	probeSuccesses   int
	// timerAt is the time of the server's valid entry in the timer heap; zero when there is none.
	timerAt time.Time
}

// OccupiedSlots returns the number of occupied slots, those of untracked tasks included.
func (sv *Server) OccupiedSlots() int { return sv.ownTasks + sv.untracked }

// slotLimit returns the maximum number of tasks that the server runs at once.
func (sv *Server) slotLimit() int {
	n := sv.Slots
	if n <= 0 && sv.Worker {
		n = unlimitedSlots
	}
	if sv.Connections > 0 {
		n = min(n, sv.Connections)
	}
	return max(n, 0)
}

// canTake reports whether the server may start a task with this ask now.
func (sv *Server) canTake(ask Resources) bool {
	if sv.OccupiedSlots() >= sv.slotLimit() || (sv.state == probing && sv.ownTasks > 0) || sv.state == quarantined || sv.reserved {
		return false
	}
	return !sv.Worker || sv.occupied().plus(ask).fitsIn(sv.Capacity)
}

// occupied returns the resources allocated to own tasks plus those that untracked tasks may still use: the asks of
// the tasks that got no answer or, for a previous owner's tasks, the usage that the server reported.
func (sv *Server) occupied() Resources {
	switch {
	case sv.untracked == 0:
		return sv.allocated
	case sv.abandoned != (Resources{}):
		return sv.allocated.plus(sv.abandoned)
	default:
		return sv.allocated.plus(sv.Usage)
	}
}

// loadScore returns the server's load as a fraction of its capacity, plus penalties. Lower scores are chosen first.
func (sv *Server) loadScore(variant LoadScore) float64 {
	failures := sv.failurePenalty()
	if sv.OccupiedSlots() >= sv.slotLimit() || (sv.state == probing && sv.ownTasks > 0) {
		return fullPenalty + failures
	}
	if !sv.Worker {
		return float64(sv.OccupiedSlots())/float64(sv.slotLimit()) + failures
	}
	if sv.reserved || sv.occupied().Millicores >= sv.Capacity.Millicores {
		return fullPenalty + failures
	}
	switch variant {
	case LoadLastReport:
		return sv.Usage.dominantShare(sv.Capacity) + failures
	case LoadSmoothedReport:
		return sv.smoothedUsage.dominantShare(sv.Capacity) + failures
	default:
		known := sv.othersUsage.elementwiseMax(Resources{}).plus(sv.allocated).dominantShare(sv.Capacity)
		return max(known, sv.occupied().dominantShare(sv.Capacity)) + failures
	}
}

// failurePenalty keeps tasks away from a failing server that the cap keeps out of quarantine while other servers
// have free capacity. Fewer failures add no penalty: at low load the server would then get no task that could clear
// them.
func (sv *Server) failurePenalty() float64 {
	if sv.state == healthy && bits.OnesCount8(sv.recentFailures) >= failuresToQuarantine {
		return failingPenalty
	}
	return 0
}
