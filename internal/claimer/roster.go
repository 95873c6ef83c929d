package claimer

import (
	"slices"
	"time"
)

// rosterRepeatInterval is how long a proposed roster may take to come back in the agreed state before it is proposed again.
const rosterRepeatInterval = 250 * time.Millisecond

// Roster holds the workers that an owner may use. The voters agree on it before a worker is used, so that the next owner knows
// which workers to ask. The zero Roster allows all workers: that of a cell whose former owners have kept none.
type Roster struct {
	// agreed holds the agreed workers; nil while there is no agreed roster.
	agreed map[string]bool
	// pending holds those of a proposal that may have been agreed on; nil where there is none.
	pending    map[string]bool
	number     uint64
	proposedAt time.Time
}

// NewRoster returns the roster that a new owner continues.
func NewRoster(workers []string) Roster { return Roster{agreed: setOf(workers)} }

func setOf(ids []string) map[string]bool {
	out := make(map[string]bool, len(ids))
	for _, id := range ids {
		out[id] = true
	}
	return out
}

// Allows reports whether the owner may start something on a worker: it is on the roster that was agreed on, and on the one that
// may have been since.
func (r *Roster) Allows(id string) bool {
	return (r.agreed == nil || r.agreed[id]) && (r.pending == nil || r.pending[id])
}

// Agreed returns the agreed workers; nil if there is no agreed roster.
func (r *Roster) Agreed() map[string]bool { return r.agreed }

// Propose returns the roster to propose so that the given workers may be used, and its number; ok is false if there is nothing to
// propose now. One proposal is repeated until it is agreed on. With renew, the first roster of this owner is proposed even if it
// does not differ from that of former owners.
func (r *Roster) Propose(now time.Time, want []string, renew bool) (workers []string, number uint64, ok bool) {
	switch {
	case r.pending != nil && now.Sub(r.proposedAt) < rosterRepeatInterval:
		return nil, 0, false
	case r.pending == nil:
		if (!renew || r.number > 0) && r.agreed != nil && len(want) == len(r.agreed) && !slices.ContainsFunc(want, func(id string) bool { return !r.agreed[id] }) {
			return nil, 0, false
		}
		r.pending = setOf(want)
		r.number++
	}
	r.proposedAt = now
	for id := range r.pending {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	return workers, r.number, true
}

// HandleAgreed adopts a roster of this owner that has been agreed on.
func (r *Roster) HandleAgreed(number uint64, workers []string) {
	if r.pending != nil && number == r.number {
		r.agreed, r.pending = setOf(workers), nil
	}
}
