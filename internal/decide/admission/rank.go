package admission

// rankTree is a treap of entries in the order of byDeadline. It answers how
// many entries come before another one in O(log n).
type rankTree struct{ root *rankNode }

type rankNode struct {
	entry       *entry
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

// mix64 scatters sequence numbers, so that the tree is balanced without
// random numbers and the same in every run.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// split cuts a tree into the entries before e and the rest.
func split(n *rankNode, e *entry) (before, rest *rankNode) {
	if n == nil {
		return nil, nil
	}
	if byDeadline(n.entry, e) {
		n.right, rest = split(n.right, e)
		n.update()
		return n, rest
	}
	before, n.left = split(n.left, e)
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

func (t *rankTree) insert(e *entry) {
	before, rest := split(t.root, e)
	node := &rankNode{entry: e, priority: mix64(e.seq + 1), size: 1}
	t.root = merge(merge(before, node), rest)
}

// remove takes out an entry that is in the tree.
func (t *rankTree) remove(e *entry) {
	link := &t.root
	for n := *link; n.entry != e; n = *link {
		n.size--
		if byDeadline(e, n.entry) {
			link = &n.left
		} else {
			link = &n.right
		}
	}
	*link = merge((*link).left, (*link).right)
}

// rank returns the number of entries before e, which need not be in the tree.
func (t *rankTree) rank(e *entry) int {
	rank := 0
	for n := t.root; n != nil; {
		if byDeadline(n.entry, e) {
			rank += 1 + n.left.count()
			n = n.right
		} else {
			n = n.left
		}
	}
	return rank
}
