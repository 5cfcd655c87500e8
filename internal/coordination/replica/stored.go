package replica

import (
	"slices"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
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
	id     uint64
	groups map[uint32]*consensus.Stored
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

// replayJournal rebuilds the state of the groups from the payloads of the journal's records.
func replayJournal(payloads [][]byte) (journalState, error) {
	s := journalState{groups: map[uint32]*consensus.Stored{}}
	for i, p := range payloads {
		if err := s.replay(p); err != nil {
			return s, errors.Wrapf(err, "replaying journal record %d", i+1)
		}
	}
	return s, nil
}

func (s *journalState) replay(payload []byte) error {
	d := wire.NewDecoder(payload)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.id = d.Uint()
		case 2:
			c, err := decodeGroupChange(d.Record())
			if err != nil {
				return err
			}
			if err := s.apply(c); err != nil {
				return err
			}
		}
	}
	return d.Err()
}

// apply adds the change of a group. An entry replaces all entries with the same or a greater index; a gap in the indexes
// is an error.
func (s *journalState) apply(c groupChange) error {
	g := s.groups[c.group]
	if g == nil {
		g = &consensus.Stored{}
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
		g.Entries = nil
	}
	for _, x := range c.entries {
		n := g.BaseIndex + uint64(len(g.Entries)) + 1
		if x.Index > n || x.Index <= g.BaseIndex {
			return errors.Errorf("group %d: entry %d can't follow entry %d", c.group, x.Index, n-1)
		}
		g.Entries = append(g.Entries[:x.Index-g.BaseIndex-1], x)
	}
	if c.hardState != nil {
		g.HardState = *c.hardState
	}
	g.Commit = max(g.Commit, c.commit)
	return nil
}

func decodeGroupChange(d *wire.Decoder) (groupChange, error) {
	var c groupChange
	var h consensus.HardState
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			c.group = uint32(d.Uint())
		case 2:
			x, err := consensus.DecodeEntry(d.Record())
			d.Fail(err)
			c.base = &x
		case 3:
			x, err := consensus.DecodeSnapshot(d.Record())
			d.Fail(err)
			c.snapshot = &x
		case 4:
			c.install = d.Bool()
		case 5:
			x, err := consensus.DecodeEntry(d.Record())
			d.Fail(err)
			x.Data = slices.Clone(x.Data)
			c.entries = append(c.entries, x)
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
	return c, d.Err()
}
