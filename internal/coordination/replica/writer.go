package replica

import (
	"context"
	"time"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/wire"
)

// batch is what is written together, and what waits until it is synced.
type batch struct {
	files     []func() error // operations on snapshot files, before the record is written
	record    *wire.Encoder
	rewrite   []groupChange   // if not nil, replaces the whole journal, and record is appended only if that fails
	synced    []groupMessage  // to be sent after the write
	installed []groupSnapshot // received from the leader
	taken     []groupSnapshot // of this replica's applied state

	sizeBefore int64         // of the journal, in bytes
	took       time.Duration // that the write took
}

// groupSnapshot is a snapshot whose file is complete once the batch is written.
type groupSnapshot struct {
	group    uint32
	snapshot *consensus.Snapshot
}

func newBatch() *batch {
	return &batch{record: wire.NewEncoder()}
}

// empty reports whether the batch has nothing to write.
func (b *batch) empty() bool {
	return len(b.files) == 0 && len(b.record.Encoded()) == 0
}

// newest returns the newest among s and the snapshots of a group that were taken for this batch.
func (b *batch) newest(group uint32, s consensus.Snapshot) consensus.Snapshot {
	for _, p := range b.taken {
		if p.group == group && p.snapshot.Index > s.Index {
			s = *p.snapshot
		}
	}
	return s
}

// writeLoop writes batches one at a time until ctx ends. After a failed write or sync the replica stops; it does not
// retry on the same file, because a repeated sync may succeed although data was lost.
func (r *Replica) writeLoop(ctx context.Context) error {
	for {
		select {
		case b := <-r.writes:
			if err := r.writeBatch(b); err != nil {
				r.d.Log.Error("write to the data folder failed; the replica stops", "error", err)
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

// writeBatch writes and syncs a batch.
func (r *Replica) writeBatch(b *batch) error {
	b.sizeBefore = r.journal.Size()
	began := time.Now()
	defer func() { b.took = time.Since(began) }()
	for _, f := range b.files {
		if err := f(); err != nil {
			return err
		}
	}
	r.syncs.Add(1)
	if b.rewrite != nil {
		err := r.journal.Rewrite(func(add func([]byte) error) error { return r.writeJournal(b.rewrite, add) })
		if err == nil || !r.journal.Usable() {
			return err
		}
		r.d.Log.Warn("journal not rewritten; it goes on as it is", "error", err)
		b.rewrite = nil
	}
	if len(b.record.Encoded()) == 0 {
		return nil
	}
	return r.journal.Append(b.record.Encoded())
}

// startWrite passes the pending batch to writeLoop if that is idle.
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

// journalContent returns the present state of every group, including what the pending batch was to append.
func (r *Replica) journalContent() []groupChange {
	var l []groupChange
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
		l = append(l, x)
	}
	return l
}

// rewriteRecordBytes is the size of entries above which a rewritten journal begins a new record.
const rewriteRecordBytes = 1 << 20

// writeJournal adds the records of a rewritten journal: the replica ID and the state of every group, whose entries follow in
// further records, so that the journal is never in memory as a whole.
func (r *Replica) writeJournal(l []groupChange, add func(payload []byte) error) error {
	if err := add(encodeReplicaID(r.id)); err != nil {
		return err
	}
	for _, x := range l {
		entries := x.entries
		x.entries = nil
		for {
			e := wire.NewEncoder()
			encodeGroupChange(e, x)
			if err := add(e.Encoded()); err != nil {
				return err
			}
			if len(entries) == 0 {
				break
			}
			n, size := 0, 0
			for ; n < len(entries) && (n == 0 || size < rewriteRecordBytes); n++ {
				size += len(entries[n].Data)
			}
			x = groupChange{group: x.group, entries: entries[:n]}
			entries = entries[n:]
		}
	}
	return nil
}
