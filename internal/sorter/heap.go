package sorter

// Heap is a binary min-heap. It is not safe for concurrent use.
type Heap[T any] struct {
	less func(a, b T) bool
	// onMove is called with an item's new index, -1 when the item left the heap. It may be nil.
	onMove func(item T, index int)
	items  []T
}

// New returns an empty Heap ordered by less. onMove is called with an item's new index, -1 when it left the heap; it
// may be nil when items are never removed by index.
func New[T any](less func(a, b T) bool, onMove func(item T, index int)) *Heap[T] {
	return &Heap[T]{less: less, onMove: onMove}
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// At returns the item at an index. The children of index i are 2i+1 and 2i+2.
func (h *Heap[T]) At(i int) T { return h.items[i] }

// Top returns the least item. The heap must not be empty.
func (h *Heap[T]) Top() T { return h.items[0] }

// Push adds an item.
func (h *Heap[T]) Push(item T) {
	h.items = append(h.items, item)
	h.siftUp(len(h.items) - 1)
}

// Pop removes and returns the least item. The heap must not be empty.
func (h *Heap[T]) Pop() T { return h.Remove(0) }

// Remove removes and returns the item at an index.
func (h *Heap[T]) Remove(i int) T {
	item := h.items[i]
	last := len(h.items) - 1
	h.items[i] = h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	if i < last {
		h.Fix(i)
	}
	h.reportMove(item, -1)
	return item
}

// Fix restores the heap order after the item at an index has changed.
func (h *Heap[T]) Fix(i int) {
	if !h.siftDown(i) {
		h.siftUp(i)
	}
}

// Filter removes the items for which keep returns false, in linear time.
func (h *Heap[T]) Filter(keep func(T) bool) {
	kept := h.items[:0]
	for _, item := range h.items {
		if keep(item) {
			kept = append(kept, item)
		} else {
			h.reportMove(item, -1)
		}
	}
	clear(h.items[len(kept):])
	h.items = kept
	for i, item := range h.items {
		h.reportMove(item, i)
	}
	for i := len(h.items)/2 - 1; i >= 0; i-- {
		h.siftDown(i)
	}
}

func (h *Heap[T]) reportMove(item T, i int) {
	if h.onMove != nil {
		h.onMove(item, i)
	}
}

// siftUp moves the item at an index up to its place.
func (h *Heap[T]) siftUp(i int) {
	item := h.items[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(item, h.items[parent]) {
			break
		}
		h.items[i] = h.items[parent]
		h.reportMove(h.items[i], i)
		i = parent
	}
	h.items[i] = item
	h.reportMove(item, i)
}

// siftDown moves the item at an index down to its place and reports whether it moved.
func (h *Heap[T]) siftDown(i int) bool {
	item, start := h.items[i], i
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if right := child + 1; right < len(h.items) && h.less(h.items[right], h.items[child]) {
			child = right
		}
		if !h.less(h.items[child], item) {
			break
		}
		h.items[i] = h.items[child]
		h.reportMove(h.items[i], i)
		i = child
	}
	h.items[i] = item
	h.reportMove(item, i)
	return i > start
}
