package admission

// rankTree is a treap of waiting items in the order of byEffectiveDeadline. It
// counts the items before a given one in O(log n).
type rankTree struct{ root *rankNode }

type rankNode struct {
	item        *waitingItem
	priority    uint64
	size        int
	left, right *rankNode
}

func (n *rankNode) count() int {
	if n == nil {
		return 0
	}
	return n.size
}

func (n *rankNode) update() { n.size = 1 + n.left.count() + n.right.count() }

// mix64 hashes sequence numbers to node priorities, so that the tree is
// balanced without random numbers and the same in every run.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// split divides a tree into the items before w and the rest.
func split(n *rankNode, w *waitingItem) (before, rest *rankNode) {
	if n == nil {
		return nil, nil
	}
	if byEffectiveDeadline(n.item, w) {
		n.right, rest = split(n.right, w)
		n.update()
		return n, rest
	}
	before, n.left = split(n.left, w)
	n.update()
	return before, n
}

func merge(a, b *rankNode) *rankNode {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	case a.priority > b.priority:
		a.right = merge(a.right, b)
		a.update()
		return a
	}
	b.left = merge(a, b.left)
	b.update()
	return b
}

func (t *rankTree) insert(w *waitingItem) {
	before, rest := split(t.root, w)
	node := &rankNode{item: w, priority: mix64(w.seq + 1), size: 1}
	t.root = merge(merge(before, node), rest)
}

// remove removes an item that is in the tree.
func (t *rankTree) remove(w *waitingItem) {
	link := &t.root
	for n := *link; n.item != w; n = *link {
		n.size--
		if byEffectiveDeadline(w, n.item) {
			link = &n.left
		} else {
			link = &n.right
		}
	}
	*link = merge((*link).left, (*link).right)
}

// rank returns the number of items before w, which need not be in the tree.
func (t *rankTree) rank(w *waitingItem) int {
	rank := 0
	for n := t.root; n != nil; {
		if byEffectiveDeadline(n.item, w) {
			rank += 1 + n.left.count()
			n = n.right
		} else {
			n = n.left
		}
	}
	return rank
}
