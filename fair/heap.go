package fair

// heap is a binary heap of indices. It reports the position of each index, or none
// after its removal, through onMove, so that the caller can remove any index.
// container/heap would allocate for each index that it boxes.
type heap struct {
	items  []int32
	less   func(a, b int32) bool
	onMove func(i, position int32)
}

func (h *heap) len() int { return len(h.items) }

func (h *heap) top() int32 { return h.items[0] }

func (h *heap) push(i int32) {
	h.items = append(h.items, i)
	n := int32(len(h.items) - 1)
	h.onMove(i, n)
	h.up(n)
}

func (h *heap) remove(position int32) {
	last := int32(len(h.items) - 1)
	removed := h.items[position]
	if position != last {
		h.items[position] = h.items[last]
		h.onMove(h.items[position], position)
	}
	h.items = h.items[:last]
	h.onMove(removed, none)
	if position != last {
		h.fix(position)
	}
}

func (h *heap) fix(position int32) {
	h.up(position)
	h.down(position)
}

func (h *heap) up(p int32) {
	for p > 0 {
		parent := (p - 1) / 2
		if !h.less(h.items[p], h.items[parent]) {
			return
		}
		h.swap(p, parent)
		p = parent
	}
}

func (h *heap) down(p int32) {
	n := int32(len(h.items))
	for {
		c := 2*p + 1
		if c >= n {
			return
		}
		if c+1 < n && h.less(h.items[c+1], h.items[c]) {
			c++
		}
		if !h.less(h.items[c], h.items[p]) {
			return
		}
		h.swap(p, c)
		p = c
	}
}

func (h *heap) swap(a, b int32) {
	h.items[a], h.items[b] = h.items[b], h.items[a]
	h.onMove(h.items[a], a)
	h.onMove(h.items[b], b)
}
