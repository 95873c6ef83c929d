package placer

import (
	"math/bits"
	"time"
)

const (
	// unlimitedSlots stands for a worker that announces no slots: only its resources limit it.
	unlimitedSlots = 1 << 20
	// fullPenalty orders full servers behind all that have room.
	fullPenalty = 10
	// failingPenalty orders servers that would be quarantined, if the cap allowed it, behind all that have room.
	failingPenalty = 5
	// othersSmoothing is the weight of the old value in Server.others. A report is older than its announcement, so single
	// differences are off by what own work changed meanwhile; smoothed over about 7 s they are not.
	othersSmoothing = 0.9
	// smoothing is the weight of the old value in LoadSmoothedReport.
	smoothing = 0.8

	// failedToExclude counts failures among the last 8 results, which are the bits of Server.results.
	failedToExclude = 5
	probesToReturn  = 3
	firstQuarantine = time.Second
	longQuarantine  = 30 * time.Second
)

type health int

const (
	healthy health = iota
	quarantined
	probing
)

// Server is one backend server or worker.
type Server struct {
	Announcement
	// own counts the tasks that this owner has in flight on this incarnation.
	own int
	// foreign counts the tasks of the previous owner, and those that got no answer, that may still run.
	foreign int
	// abandoned is the room of the own tasks among foreign.
	abandoned Resources
	reserved  Resources
	// others is the smoothed difference between the reported usage and what own tasks reserved when it came.
	others   Resources
	smoothed Resources
	members  []*member
	live     bool
	score    float64
	// reservedFor is true while the worker is kept free for a large task.
	reservedFor bool
	// tie is random, so that servers of equal load are chosen evenly.
	tie uint32

	state health
	// results holds one bit for each of the last results, set for a failure.
	results   uint8
	until     time.Time
	pause     time.Duration
	successes int
	// wake is the time of the server's entry in the timer heap.
	wake time.Time
}

// Busy counts the slots that are taken, also by the tasks of a previous owner.
func (sv *Server) Busy() int { return sv.own + sv.foreign }

func (sv *Server) limit() int {
	n := sv.Slots
	if n <= 0 && sv.Worker {
		n = unlimitedSlots
	}
	if sv.Connections > 0 {
		n = min(n, sv.Connections)
	}
	return max(n, 0)
}

func (sv *Server) takes(ask Resources) bool {
	if sv.Busy() >= sv.limit() || (sv.state == probing && sv.own > 0) || sv.state == quarantined || sv.reservedFor {
		return false
	}
	return !sv.Worker || sv.taken().plus(ask).fits(sv.Capacity)
}

// taken is what own tasks reserve, and what tasks that are not known here may still use: those that got no answer their
// ask, those of a previous owner what the server reported.
func (sv *Server) taken() Resources {
	switch {
	case sv.foreign == 0:
		return sv.reserved
	case sv.abandoned != (Resources{}):
		return sv.reserved.plus(sv.abandoned)
	default:
		return sv.reserved.plus(sv.Usage)
	}
}

// load is the fraction that the placement compares; lower is chosen first.
func (sv *Server) load(variant Load) float64 {
	failures := sv.failurePenalty()
	if sv.Busy() >= sv.limit() || (sv.state == probing && sv.own > 0) {
		return fullPenalty + failures
	}
	if !sv.Worker {
		return float64(sv.Busy())/float64(sv.limit()) + failures
	}
	if sv.reservedFor || sv.taken().Millicores >= sv.Capacity.Millicores {
		return fullPenalty + failures
	}
	switch variant {
	case LoadLastReport:
		return sv.Usage.fraction(sv.Capacity) + failures
	case LoadSmoothedReport:
		return sv.smoothed.fraction(sv.Capacity) + failures
	default:
		known := sv.others.atLeast(Resources{}).plus(sv.reserved).fraction(sv.Capacity)
		return max(known, sv.taken().fraction(sv.Capacity)) + failures
	}
}

// failurePenalty keeps work from a failing server that the cap leaves out of quarantine while others have room. Fewer
// failures do not count: at light load the server would get no task that could clear it.
func (sv *Server) failurePenalty() float64 {
	if sv.state == healthy && bits.OnesCount8(sv.results) >= failedToExclude {
		return failingPenalty
	}
	return 0
}
