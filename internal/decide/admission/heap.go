package admission

// heap is a binary heap whose elements store their own position, so that any
// element can be removed in O(log n).
type heap[T any] struct {
	items []T
	less  func(a, b T) bool
	// pos returns the field of an element that holds its position plus one;
	// 0 means that the element is not in the heap.
	pos func(T) *int
}

func (h *heap[T]) len() int { return len(h.items) }

func (h *heap[T]) has(x T) bool { return *h.pos(x) > 0 }

// top returns the smallest element of a heap that is not empty.
func (h *heap[T]) top() T { return h.items[0] }

func (h *heap[T]) push(x T) {
	h.items = append(h.items, x)
	h.place(len(h.items)-1, x)
	h.up(len(h.items) - 1)
}

// remove removes x. It does nothing if x is not in the heap.
func (h *heap[T]) remove(x T) {
	i := *h.pos(x) - 1
	if i < 0 {
		return
	}
	last := len(h.items) - 1
	moved := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.pos(x) = 0
	if i < last {
		h.place(i, moved)
		h.fix(moved)
	}
}

// fix restores the heap order after the sort key of x changed.
func (h *heap[T]) fix(x T) {
	if i := *h.pos(x) - 1; i >= 0 && !h.up(i) {
		h.down(i)
	}
}

func (h *heap[T]) place(i int, x T) {
	h.items[i] = x
	*h.pos(x) = i + 1
}

func (h *heap[T]) up(i int) bool {
	x, moved := h.items[i], false
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(x, h.items[parent]) {
			break
		}
		h.place(i, h.items[parent])
		i, moved = parent, true
	}
	h.place(i, x)
	return moved
}

func (h *heap[T]) down(i int) {
	x := h.items[i]
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			break
		}
		if child+1 < len(h.items) && h.less(h.items[child+1], h.items[child]) {
			child++
		}
		if !h.less(h.items[child], x) {
			break
		}
		h.place(i, h.items[child])
		i = child
	}
	h.place(i, x)
}
