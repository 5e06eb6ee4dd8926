package raft

// history is the log in memory: the entries after a place that is no longer kept.
type history struct {
	// offset and offsetTerm name the entry before the first of entries.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
}

func (h *history) last() uint64 {
	return h.offset + uint64(len(h.entries))
}

func (h *history) lastTerm() uint64 {
	t, _ := h.term(h.last())
	return t
}

// term returns the term of the entry at index, and false where it is unknown.
func (h *history) term(index uint64) (uint64, bool) {
	switch {
	case index == h.offset:
		return h.offsetTerm, true
	case index < h.offset || index > h.last():
		return 0, false
	default:
		return h.entries[index-h.offset-1].Term, true
	}
}

func (h *history) matches(index, term uint64) bool {
	t, ok := h.term(index)
	return ok && t == term
}

// slice returns a copy of the entries after from, up to and with to.
func (h *history) slice(from, to uint64) []Entry {
	if from < h.offset || from >= to {
		return nil
	}
	return append([]Entry(nil), h.entries[from-h.offset:to-h.offset]...)
}

// truncate drops the entries after index.
func (h *history) truncate(index uint64) {
	n := index - h.offset
	h.entries = h.entries[:n:n]
}

// discard drops the entries up to and with index, which are in a snapshot.
func (h *history) discard(index uint64) {
	t, ok := h.term(index)
	if !ok || index <= h.offset {
		return
	}
	h.entries = append([]Entry(nil), h.entries[index-h.offset:]...)
	h.offset = index
	h.offsetTerm = t
}

// batch returns the entries after from that go into one message.
func (h *history) batch(from uint64) []Entry {
	bytes := 0
	to := from
	for to < h.last() && to-from < maxBatchEntries {
		bytes += len(h.entries[to-h.offset].Command)
		if bytes > maxBatchBytes && to > from {
			break
		}
		to++
	}
	return h.slice(from, to)
}

// backtrack returns where a leader may find agreement at or before index: the
// last entry whose term is at most term.
func (h *history) backtrack(index, term uint64) (uint64, uint64) {
	index = min(index, h.last())
	for index > h.offset {
		t, _ := h.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return h.offset, h.offsetTerm
}
