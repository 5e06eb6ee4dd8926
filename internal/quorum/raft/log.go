package raft

// memoryLog is the part of the log that is kept in memory.
type memoryLog struct {
	// offset and offsetTerm are the index and term of the entry before entries.
	offset     uint64
	offsetTerm uint64
	entries    []Entry
}

func (l *memoryLog) last() uint64 {
	return l.offset + uint64(len(l.entries))
}

func (l *memoryLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at index, and false if the log does not have it.
func (l *memoryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.offset-1].Term, true
	}
}

func (l *memoryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// slice returns a copy of the entries after from, up to and including to.
func (l *memoryLog) slice(from, to uint64) []Entry {
	if from < l.offset || from >= to {
		return nil
	}
	return append([]Entry(nil), l.entries[from-l.offset:to-l.offset]...)
}

// truncate drops the entries after index.
func (l *memoryLog) truncate(index uint64) {
	n := index - l.offset
	l.entries = l.entries[:n:n]
}

// compact drops the entries up to and including index, which a snapshot covers.
func (l *memoryLog) compact(index uint64) {
	t, ok := l.term(index)
	if !ok || index <= l.offset {
		return
	}
	l.entries = append([]Entry(nil), l.entries[index-l.offset:]...)
	l.offset = index
	l.offsetTerm = t
}

// batch returns the entries after from that fit into one message, at least one if
// there is one.
func (l *memoryLog) batch(from uint64) []Entry {
	bytes := 0
	to := from
	for to < l.last() && to-from < maxBatchEntries {
		bytes += len(l.entries[to-l.offset].Command)
		if bytes > maxBatchBytes && to > from {
			break
		}
		to++
	}
	return l.slice(from, to)
}

// backtrack returns the index and term of the last entry at or before index whose
// term is at most term. Terms never decrease along a log, so a log whose entry at
// index has that term can't contain the entries here between the two.
func (l *memoryLog) backtrack(index, term uint64) (uint64, uint64) {
	index = min(index, l.last())
	for index > l.offset {
		t, _ := l.term(index)
		if t <= term {
			return index, t
		}
		index--
	}
	return l.offset, l.offsetTerm
}
