package claimer

import (
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"clementineyard/internal/divider"
)

const (
	// RegisterCount is the number of failure domains in which a job is claimed, so that the claim outlives one of them.
	RegisterCount = 2
	// retention is how long a claim is kept at least. Clients wait, and send a job again, for some seconds.
	retention = time.Minute
)

// Registers returns the cells at which a job is claimed, in the order in which they are asked. cellCounts holds the number of cells of each failure domain. Cells
// of different failure domains share most of their jobs, so that an owner claims at few others.
func Registers(id string, cellCounts map[string]uint32) []string {
	cells := HomeCells(id, cellCounts)
	return cells[:min(len(cells), RegisterCount)]
}

// HomeCells returns a job's home cell in each failure domain, in the order of the weights that the job's id gives the domains.
func HomeCells(id string, cellCounts map[string]uint32) []string {
	domains := make([]string, 0, len(cellCounts))
	for d := range cellCounts {
		domains = append(domains, d)
	}
	slices.SortFunc(domains, func(a, b string) int {
		if x, y := weight(a, id), weight(b, id); x < y {
			return -1
		} else if x > y {
			return 1
		}
		return strings.Compare(a, b)
	})
	for i, d := range domains {
		domains[i] = divider.CellName(d, divider.CellOf(id, cellCounts[d]))
	}
	return domains
}

func weight(domain, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(domain))
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// Register holds the claims that were made at one VM. The zero Register is empty. It is not safe for concurrent use.
type Register struct {
	// recent holds the claims by the ids of their jobs, and former those that have not been repeated since recent was begun.
	recent, former map[string]claim
	begunAt        time.Time
}

type claim struct {
	cell   string
	number uint64
}

// Holder returns the cell that has a job and the number of its claim; empty when no claim of the job is known.
func (r *Register) Holder(now time.Time, id string) (cell string, number uint64) {
	r.expire(now)
	held, _ := r.claimOf(id)
	return held.cell, held.number
}

// Claim records that a cell has a job, unless another one has it, and returns the cell that has it. claimedBefore is true if
// the cell had claimed the job before and has not withdrawn that: a former owner may have started it.
func (r *Register) Claim(now time.Time, id, cell string, number uint64) (holder string, claimedBefore bool) {
	r.expire(now)
	held, ok := r.claimOf(id)
	if ok && held.cell != cell {
		r.recent[id] = held
		return held.cell, false
	}
	r.recent[id] = claim{cell, number}
	return cell, ok && held.number != number
}

// Withdraw ends the claim with the given number of a cell. holder is the cell that has the job, as another register knows;
// empty when none has it.
func (r *Register) Withdraw(now time.Time, id, cell string, number uint64, holder string) {
	r.expire(now)
	if held, ok := r.claimOf(id); !ok || held != (claim{cell, number}) {
		return
	}
	delete(r.recent, id)
	delete(r.former, id)
	if holder != "" {
		r.recent[id] = claim{cell: holder}
	}
}

func (r *Register) claimOf(id string) (claim, bool) {
	if c, ok := r.recent[id]; ok {
		return c, true
	}
	c, ok := r.former[id]
	return c, ok
}

func (r *Register) expire(now time.Time) {
	if r.recent == nil || now.Sub(r.begunAt) > retention {
		r.former, r.recent, r.begunAt = r.recent, map[string]claim{}, now
	}
}
