package divider

import (
	"hash/fnv"
	"strconv"
)

const (
	// entryVMsPerCell is the number of entry VMs for each cell. With three, an owner with 0.192 cores runs out of
	// processor time at the peak load of a large site; a cell then has about 17 workers, as many as a small site's failure
	// domain.
	entryVMsPerCell = 2
	// maxCells bounds the number of cells of a failure domain, and with it the size of the agreed state.
	maxCells = 64
)

// CellCount returns the number of cells of a failure domain with the given number of entry VMs: at least 1, at most
// maxCells.
func CellCount(entryVMs int) uint32 { return uint32(min(max(entryVMs/entryVMsPerCell, 1), maxCells)) }

// CellName returns the name of a cell: its failure domain and its number, separated by a slash.
func CellName(failureDomain string, cell uint32) string {
	return failureDomain + "/" + strconv.FormatUint(uint64(cell), 10)
}

// CellOf returns the number, below cells, of the cell that a worker, or a job that no owner has started yet, belongs to
// by its id.
func CellOf(id string, cells uint32) uint32 {
	if cells <= 1 {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The multiplication spreads the hashes of ids that differ in few bits.
	return uint32(uint64(h.Sum32()*2654435769) * uint64(cells) >> 32)
}
