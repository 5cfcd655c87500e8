package replica

import (
	"slices"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/journal"
	"snipetack/internal/state/wire"
)

// groupChange is the change of a group's stored state in one journal record. Fields without a change are zero.
type groupChange struct {
	group     uint32
	base      *consensus.Entry // index and term before the first entry; only in a rewritten journal
	snapshot  *consensus.Snapshot
	install   bool // the snapshot was received or restored and replaces all entries
	entries   []consensus.Entry
	hardState *consensus.HardState
	commit    uint64 // index up to which entries are known to be committed; 0 if not known
}

// journalState is the state that results from all records of a journal.
type journalState struct {
	id      uint64
	records int
	groups  map[uint32]*storedGroup
	keep    consensus.Tail // of each log below its snapshot
}

// storedGroup is the state of a group, with entries instead of those in Stored.
type storedGroup struct {
	consensus.Stored
	entries []storedEntry
}

// storedEntry is an entry in the journal. Its data is left there if it is large, since a later record may drop the entry.
type storedEntry struct {
	consensus.Entry
	offset int64 // of data that is left in the journal
	size   int   // of the data, in bytes
}

// inlineBytes is the size up to which the data of an entry is read together with it.
const inlineBytes = 4 << 10

func newJournalState(keep consensus.Tail) *journalState {
	return &journalState{groups: map[uint32]*storedGroup{}, keep: keep}
}

func encodeReplicaID(id uint64) []byte {
	e := wire.NewEncoder()
	e.Uint(1, id)
	return e.Encoded()
}

func encodeGroupChange(e *wire.Encoder, c groupChange) {
	e.Record(2, func(e *wire.Encoder) {
		e.Uint(1, uint64(c.group))
		if c.base != nil {
			e.Record(2, func(e *wire.Encoder) { consensus.EncodeEntry(e, *c.base) })
		}
		if c.snapshot != nil {
			e.Record(3, func(e *wire.Encoder) { consensus.EncodeSnapshot(e, *c.snapshot) })
		}
		e.Bool(4, c.install)
		for _, x := range c.entries {
			e.Record(5, func(e *wire.Encoder) { consensus.EncodeEntry(e, x) })
		}
		if c.hardState != nil {
			e.Uint(6, c.hardState.Term)
			e.Uint(7, c.hardState.Vote)
		}
		e.Uint(8, c.commit)
	})
}

// replay adds the payload of the next record.
func (s *journalState) replay(p journal.Payload) error {
	s.records++
	d := wire.NewStream(p, p.Size)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.id = d.Uint()
		case 2:
			c, l, err := decodeGroupChange(d.Record(), p.Offset)
			if err != nil {
				return err
			}
			if err := s.apply(c, l); err != nil {
				return err
			}
		}
	}
	return d.Err()
}

// apply adds the change of a group with the entries l. An entry replaces all entries with the same or a greater index; a gap
// in the indexes is an error.
func (s *journalState) apply(c groupChange, l []storedEntry) error {
	g := s.groups[c.group]
	if g == nil {
		g = &storedGroup{}
		s.groups[c.group] = g
	}
	if c.base != nil {
		g.BaseIndex, g.BaseTerm = c.base.Index, c.base.Term
	}
	if c.snapshot != nil {
		g.Snapshot = *c.snapshot
	}
	if c.install {
		g.BaseIndex, g.BaseTerm = c.snapshot.Index, c.snapshot.Term
		g.entries = nil
	}
	for _, x := range l {
		n := g.BaseIndex + uint64(len(g.entries)) + 1
		if x.Index > n || x.Index <= g.BaseIndex {
			return errors.Errorf("group %d: entry %d can't follow entry %d", c.group, x.Index, n-1)
		}
		g.entries = append(g.entries[:x.Index-g.BaseIndex-1], x)
	}
	if c.hardState != nil {
		g.HardState = *c.hardState
	}
	g.Commit = max(g.Commit, c.commit)
	g.compact(s.keep)
	return nil
}

// compact drops the entries below the snapshot that keep does not cover. They are committed, so no later record replaces them.
func (g *storedGroup) compact(keep consensus.Tail) {
	last := g.BaseIndex + uint64(len(g.entries))
	if g.Snapshot.Index <= g.BaseIndex || g.Snapshot.Index > last {
		return
	}
	n := keep.Base(g.Snapshot.Index, g.BaseIndex, func(i uint64) int { return g.entries[i-g.BaseIndex-1].size }) - g.BaseIndex
	if n == 0 {
		return
	}
	g.BaseIndex, g.BaseTerm = g.entries[n-1].Index, g.entries[n-1].Term
	g.entries = slices.Clone(g.entries[n:])
}

// load reads the data that was left in the journal.
func (s *journalState) load(j *journal.Journal) error {
	for n, g := range s.groups {
		for _, x := range g.entries {
			if x.offset > 0 {
				x.Data = make([]byte, x.size)
				if _, err := j.ReadAt(x.Data, x.offset); err != nil {
					return errors.Wrapf(err, "group %d: reading entry %d", n, x.Index)
				}
			}
			g.Entries = append(g.Entries, x.Entry)
		}
		g.entries = nil
	}
	return nil
}

// stored returns the state of a group, which is zero if the journal has none.
func (s *journalState) stored(group uint32) consensus.Stored {
	if g := s.groups[group]; g != nil {
		return g.Stored
	}
	return consensus.Stored{}
}

// decodeGroupChange reads a change and its entries from a payload at an offset of the journal.
func decodeGroupChange(d *wire.Stream, payload int64) (groupChange, []storedEntry, error) {
	var c groupChange
	var l []storedEntry
	var h consensus.HardState
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.group = uint32(d.Uint())
		case 2:
			x, err := consensus.DecodeEntry(wire.NewDecoder(d.Bytes()))
			d.Fail(err)
			c.base = &x
		case 3:
			x, err := consensus.DecodeSnapshot(wire.NewDecoder(d.Bytes()))
			d.Fail(err)
			c.snapshot = &x
		case 4:
			c.install = d.Bool()
		case 5:
			x, err := decodeStoredEntry(d, payload)
			d.Fail(err)
			l = append(l, x)
		case 6:
			h.Term = d.Uint()
			c.hardState = &h
		case 7:
			h.Vote = d.Uint()
			c.hardState = &h
		case 8:
			c.commit = d.Uint()
		}
	}
	if c.install && c.snapshot == nil {
		d.Fail(wire.ErrMalformed)
	}
	return c, l, d.Err()
}

// decodeStoredEntry reads the current field as an entry of a payload at an offset of the journal.
func decodeStoredEntry(d *wire.Stream, payload int64) (storedEntry, error) {
	if _, n := d.Range(); n <= inlineBytes {
		x, err := consensus.DecodeEntry(wire.NewDecoder(d.Bytes()))
		return storedEntry{Entry: x, size: len(x.Data)}, err
	}
	var x storedEntry
	r := d.Record()
	for f, ok := r.Next(); ok; f, ok = r.Next() {
		switch f {
		case 1:
			x.Index = r.Uint()
		case 2:
			x.Term = r.Uint()
		case 3:
			x.Kind = consensus.EntryKind(r.Uint())
		case 4:
			at, n := r.Range()
			x.offset, x.size = payload+at, int(n)
		}
	}
	return x, r.Err()
}
