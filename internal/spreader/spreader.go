package spreader

import (
	"math/rand/v2"
	"slices"
	"time"

	"clementineyard/internal/allocator"
	"clementineyard/wire"
)

const (
	// maxCandidates bounds how many other cells a job is offered to in a row: each offer costs a round trip and some
	// processor time there.
	maxCandidates = 3
	// roomTTL is how long a cell's reported room is used. Each voter reports it every 0.2 s.
	roomTTL = 500 * time.Millisecond
	// fullCellBackoff is how long newer reports on the room of a cell that had none are ignored. In that time some tasks
	// end there.
	fullCellBackoff = 50 * time.Millisecond
)

// Spreader holds the last reported free room of each cell. It is not safe for concurrent use.
type Spreader struct {
	rng   *rand.Rand
	rooms map[string]room
}

// room is the free room that a cell reported. heardAt is in the future while reports on a full cell are ignored.
type room struct {
	millicores int64
	heardAt    time.Time
}

// New returns a Spreader that knows of no room. rng gives the order of cells that are equal otherwise.
func New(rng *rand.Rand) *Spreader { return &Spreader{rng: rng, rooms: map[string]room{}} }

// Record records the room that was reported of cells.
func (s *Spreader) Record(now time.Time, rooms []*wire.CellRoom) {
	for _, r := range rooms {
		if now.After(s.rooms[r.Cell].heardAt) {
			s.rooms[r.Cell] = room{r.Millicores, now}
		}
	}
}

// MarkFull records that a cell had no room, and ignores reports on its room for fullCellBackoff.
func (s *Spreader) MarkFull(now time.Time, cell string) {
	s.rooms[cell] = room{heardAt: now.Add(fullCellBackoff)}
}

// Nearness is how near a cell is to the entry VM that has the job.
type Nearness int

// The values of Nearness. A job is not offered to an unreachable cell.
const (
	Unreachable Nearness = iota
	SameFailureDomain
	OtherFailureDomain
)

// Candidates returns at most maxCandidates cells other than home that have reported room for the job. Those of the same
// failure domain come first; otherwise the order is random, so that the load that one cell cannot take is spread over the
// others.
func (s *Spreader) Candidates(now time.Time, home string, j *allocator.Job, nearness func(cell string) Nearness) []string {
	ask := int64(0)
	for _, step := range j.Steps {
		ask = max(ask, int64(step.Count)*step.Ask.Millicores)
	}
	var local, remote []string
	for cell, r := range s.rooms {
		if cell == home || now.Sub(r.heardAt) > roomTTL || r.millicores < ask {
			continue
		}
		switch nearness(cell) {
		case SameFailureDomain:
			local = append(local, cell)
		case OtherFailureDomain:
			remote = append(remote, cell)
		}
	}
	for _, cells := range [][]string{local, remote} {
		slices.Sort(cells)
		s.rng.Shuffle(len(cells), func(i, j int) { cells[i], cells[j] = cells[j], cells[i] })
	}
	out := append(local, remote...)
	return out[:min(len(out), maxCandidates)]
}
