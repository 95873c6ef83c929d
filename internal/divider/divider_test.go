package divider

import (
	"fmt"
	"testing"
)

// TestOf guards against a cell that gets far more workers than another, and against a number outside all cells.
func TestOf(t *testing.T) {
	for _, cells := range []uint32{1, 2, 5, 30} {
		count := make([]int, cells)
		for i := range 400 * int(cells) {
			count[CellOf(fmt.Sprintf("i-%08x", i*7919), cells)]++
		}
		for c, n := range count {
			if n < 250 || n > 600 {
				t.Errorf("cell %d of %d has %d of about 400 ids", c, cells, n)
			}
		}
	}
}

// TestCells guards against a failure domain without a cell, and against more cells than entry VMs can own.
func TestCells(t *testing.T) {
	for entryVMs, want := range map[int]uint32{0: 1, 1: 1, 3: 1, 4: 2, 15: 7, 90: 45, 10000: 64} {
		if got := CellCount(entryVMs); got != want {
			t.Errorf("%d entry VMs: %d cells, want %d", entryVMs, got, want)
		}
	}
}
