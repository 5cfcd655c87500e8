package consensus

import "fmt"

// log holds the entries of the group's log above base in memory. A snapshot covers the entries up to base.
type log struct {
	base      uint64 // index before the first of entries
	term      uint64 // term of the entry at base
	entries   []Entry
	size      uint64 // bytes of entries, with entryOverhead for each
	delivered uint64 // last index that was passed to the driver for writing
}

func (l *log) last() uint64 {
	return l.base + uint64(len(l.entries))
}

func (l *log) lastTerm() uint64 {
	t, _ := l.termAt(l.last())
	return t
}

// termAt returns the term of the entry at index, or false if the log does not hold it. The term at base is known too.
func (l *log) termAt(index uint64) (uint64, bool) {
	switch {
	case index == l.base:
		return l.term, true
	case index < l.base || index > l.last():
		return 0, false
	}
	return l.entries[index-l.base-1].Term, true
}

// slice returns the entries from index from to index last, both included, cut off at limit bytes. It returns at least
// one entry however large, so that replication always advances, and nil if from is not in memory.
func (l *log) slice(from, last uint64, limit int) []Entry {
	if from > last || from <= l.base {
		return nil
	}
	s := l.entries[from-l.base-1 : last-l.base]
	size := 0
	for i, e := range s {
		size += len(e.Data) + entryOverhead
		if size > limit && i > 0 {
			return s[:i:i]
		}
	}
	return s[:len(s):len(s)]
}

func (l *log) append(e Entry) {
	if e.Index != l.last()+1 {
		panic(fmt.Sprintf("entry %d appended to a log that ends at %d", e.Index, l.last()))
	}
	l.entries = append(l.entries, e)
	l.size += sizeOf(e)
}

// truncateFrom drops the entry at index from and all after it.
func (l *log) truncateFrom(from uint64) {
	n := from - l.base - 1
	l.size -= sizeOf(l.entries[n:]...)
	l.entries = l.entries[:n:n]
	l.delivered = min(l.delivered, from-1)
}

// compact drops the entries up to and including index. It does nothing if the log does not hold that entry.
func (l *log) compact(index uint64) {
	t, ok := l.termAt(index)
	if !ok || index <= l.base {
		return
	}
	n := index - l.base
	l.size -= sizeOf(l.entries[:n]...)
	l.entries = append([]Entry(nil), l.entries[n:]...)
	l.base, l.term = index, t
}

// reset drops all entries, so that the log starts after a snapshot that ends at index and term.
func (l *log) reset(index, term uint64) {
	*l = log{base: index, term: term, delivered: index}
}

// dataSize returns the bytes of the entry at an index, which the log must hold.
func (l *log) dataSize(index uint64) int {
	return len(l.entries[index-l.base-1].Data)
}

// sizeOf returns the bytes that entries count for.
func sizeOf(l ...Entry) uint64 {
	n := uint64(0)
	for i := range l {
		n += uint64(len(l[i].Data)) + entryOverhead
	}
	return n
}

// takeUndelivered returns the entries that no earlier call returned, for the driver to write.
func (l *log) takeUndelivered() []Entry {
	if l.delivered >= l.last() {
		return nil
	}
	s := l.entries[l.delivered-l.base:]
	l.delivered = l.last()
	return s[:len(s):len(s)]
}

// matchHint returns the greatest index up to which this log may match one that has term at index: terms never
// decrease along a log, so entries here with a greater term can't match.
func (l *log) matchHint(index, term uint64) uint64 {
	for index = min(index, l.last()); index > l.base; index-- {
		if t, _ := l.termAt(index); t <= term {
			return index
		}
	}
	return index
}
