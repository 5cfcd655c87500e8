package replica

import (
	"context"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/wire"
)

// batch is what one sync makes last.
type batch struct {
	files     []func() error // on snapshots' files, before the record is written
	record    *wire.Encoder
	rewrite   [][]byte // replaces the journal, in place of record
	synced    []groupMessage
	installed []groupSnapshot
	taken     []groupSnapshot
}

// groupSnapshot is a snapshot whose content is in place once the batch is written.
type groupSnapshot struct {
	group    uint32
	snapshot *consensus.Snapshot
}

func newBatch() *batch {
	return &batch{record: wire.NewEncoder()}
}

// empty reports whether nothing is to be written.
func (b *batch) empty() bool {
	return len(b.files) == 0 && len(b.record.Encoded()) == 0
}

// newest returns the newest snapshot of a group among s and those that the batch puts in place.
func (b *batch) newest(group uint32, s consensus.Snapshot) consensus.Snapshot {
	for _, p := range b.taken {
		if p.group == group && p.snapshot.Index > s.Index {
			s = *p.snapshot
		}
	}
	return s
}

// writeLoop makes batches last, one at a time; after a failure the replica ends, with no retry on the same file.
func (r *Replica) writeLoop(ctx context.Context) error {
	for {
		select {
		case b := <-r.writes:
			if err := r.writeBatch(b); err != nil {
				r.d.Log.Error("the disk failed, the replica ends", "error", err)
				return err
			}
			select {
			case r.written <- b:
			case <-ctx.Done():
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

func (r *Replica) writeBatch(b *batch) error {
	for _, f := range b.files {
		if err := f(); err != nil {
			return err
		}
	}
	r.syncs.Add(1)
	if b.rewrite != nil {
		return r.journal.Rewrite(b.rewrite)
	}
	if len(b.record.Encoded()) == 0 {
		return nil
	}
	return r.journal.Append(b.record.Encoded())
}

// startWrite gives the writer what waits, when it is idle.
func (r *Replica) startWrite() {
	if r.writing || r.pending.empty() {
		return
	}
	if r.rewriteDue {
		r.pending.rewrite = r.journalContent()
		r.rewriteDue = false
	}
	r.writing = true
	r.writes <- r.pending
	r.pending = newBatch()
}

// journalContent returns records that hold all that the journal must.
func (r *Replica) journalContent() [][]byte {
	l := [][]byte{encodeFormat(r.id)}
	for _, n := range r.groupIDs {
		c := r.groups[n].core
		x := groupChange{group: n, entries: c.Entries(0)}
		i, t := c.Base()
		x.base = &consensus.Entry{Index: i, Term: t}
		h := c.HardState()
		x.hardState = &h
		x.commit = c.Commit()
		if s := r.pending.newest(n, c.Snapshot()); s.Index > 0 {
			x.snapshot = &s
		}
		e := wire.NewEncoder()
		encodeGroupChange(e, x)
		l = append(l, e.Encoded())
	}
	return l
}
