package divider

import (
	"hash/fnv"
	"strconv"
)

const (
	// entriesPerCell is how many entry VMs there are for each cell. With three, owners of 0.192 cores ran out of processor
	// time at the peaks of the grown sites; a cell then has some 17 workers, as many as a small site's failure domain.
	entriesPerCell = 2
	// maxCells bounds the cells of one failure domain, and with them the size of the agreed state.
	maxCells = 64
)

// Cells returns how many cells a failure domain with this many entry VMs gets.
func Cells(entries int) uint32 { return uint32(min(max(entries/entriesPerCell, 1), maxCells)) }

// Name returns the name of a cell.
func Name(failureDomain string, cell uint32) string {
	return failureDomain + "/" + strconv.FormatUint(uint64(cell), 10)
}

// Of returns the cell that a worker, or a job that none has begun yet, belongs to, by its id.
func Of(id string, cells uint32) uint32 {
	if cells <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The multiplication spreads ids that differ in few bits.
	return uint32(uint64(h.Sum32()*2654435769) * uint64(cells) >> 32)
}
