package sorter_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"clementineyard/internal/sorter"
)

type item struct{ rank, index int }

// TestHeapKeepsIndexesAndOrder guards against items whose index is wrong, that stay in the heap after their removal,
// or that are removed out of order.
func TestHeapKeepsIndexesAndOrder(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	h := sorter.New(func(a, b *item) bool { return a.rank < b.rank }, func(it *item, i int) { it.index = i })
	var items []*item
	recordRemoval := func(it *item) {
		items = slices.DeleteFunc(items, func(o *item) bool { return o == it })
		if it.index != -1 {
			t.Fatalf("item %d left the heap and has index %d", it.rank, it.index)
		}
	}
	for step := range 5000 {
		switch op := rng.IntN(10); {
		case op < 5 || len(items) == 0:
			it := &item{rank: rng.IntN(50)}
			h.Push(it)
			items = append(items, it)
		case op < 7:
			it := items[rng.IntN(len(items))]
			it.rank = rng.IntN(50)
			h.Fix(it.index)
		case op == 7:
			it := items[rng.IntN(len(items))]
			if got := h.Remove(it.index); got != it {
				t.Fatalf("step %d: removed item %d, want %d", step, got.rank, it.rank)
			}
			recordRemoval(it)
		case op == 8:
			least := slices.MinFunc(items, func(a, b *item) int { return a.rank - b.rank }).rank
			it := h.Pop()
			if it.rank != least {
				t.Fatalf("step %d: popped %d, the least is %d", step, it.rank, least)
			}
			recordRemoval(it)
		case step%50 == 0:
			before := slices.Clone(items)
			h.Filter(func(it *item) bool { return it.rank%3 != 0 })
			for _, it := range before {
				if it.rank%3 == 0 {
					recordRemoval(it)
				}
			}
		}
		if h.Len() != len(items) {
			t.Fatalf("step %d: %d items, want %d", step, h.Len(), len(items))
		}
		for i := range h.Len() {
			if it := h.At(i); it.index != i || i > 0 && it.rank < h.At((i-1)/2).rank {
				t.Fatalf("step %d: item at %d has index %d and rank %d", step, i, it.index, it.rank)
			}
		}
	}
}
