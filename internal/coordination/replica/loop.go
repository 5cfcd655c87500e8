package replica

import (
	"context"
	"time"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/result"
)

// Limits and intervals of the loop.
const (
	maxDrainedEvents     = 512                    // events handled before effects are carried out
	maxUnwrittenBytes    = 16 << 20               // bytes that wait to be written; above, commands are refused
	maxOpenProposals     = 16 << 10               // commands of a group that are not applied yet; at this number, more are refused
	barrierTimeout       = 10 * time.Second       // a barrier fails after this time
	commitRecordInterval = 100 * time.Millisecond // between journal records that hold only a commit index
)

// loop runs in the goroutine that owns the cores: it passes events to them and carries out their effects.
func (r *Replica) loop(ctx context.Context) error {
	t := time.NewTicker(r.d.Timing.Heartbeat / 4)
	defer t.Stop()
	r.tick(r.now())
	r.flush(r.now())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			r.tick(r.now())
		case v := <-r.inbox:
			r.step(r.now(), v)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.requests:
			f(r.now())
		case b := <-r.written:
			r.onWritten(r.now(), b)
		case a := <-r.applied:
			r.onApplied(a)
		}
		r.drain()
		r.flush(r.now())
	}
}

// drain handles events that are queued already, so that they share frames and a sync.
func (r *Replica) drain() {
	for range maxDrainedEvents {
		select {
		case v := <-r.inbox:
			r.step(r.now(), v)
		case p := <-r.proposals:
			r.propose(p)
		case f := <-r.requests:
			f(r.now())
		case a := <-r.applied:
			r.onApplied(a)
		default:
			return
		}
	}
}

// now returns the present time. If the VM was suspended since the last call, no lease that began before holds any more,
// although the steady clock has not counted that time.
func (r *Replica) now() time.Time {
	c := r.readClocks()
	if c.suspendedSince(r.clocks) {
		for _, n := range r.groupIDs {
			r.groups[n].core.VoidLease(c.steady)
		}
	}
	r.clocks = c
	return c.steady
}

func (r *Replica) tick(now time.Time) {
	for _, n := range r.groupIDs {
		m := r.groups[n]
		m.core.Tick(now)
		m.expireBarriers(now)
		r.recordCommit(now, m)
		if m.core.Leader() != (consensus.Member{}) {
			m.leaderSeen = now
		}
		if m.core.Role() == consensus.Leader {
			r.adjustMembership(now, m)
			r.announce(now, m)
		} else {
			clear(m.joining) // hellos received in an earlier term may be outdated
		}
	}
	if now.Sub(r.helloSentAt) >= helloInterval {
		r.helloSentAt = now
		r.discoverGroups(now)
	}
}

func (r *Replica) step(now time.Time, v envelope) {
	for _, a := range v.messages {
		if m := r.groups[a.group]; m != nil && a.message.To.ID == r.id {
			m.core.Step(now, a.message)
		}
	}
	for _, h := range v.hellos {
		if m := r.groups[h.Group]; m != nil {
			r.onHello(now, m, v.from, h)
		}
	}
}

func (r *Replica) propose(p proposal) {
	m := r.groups[p.group]
	if m == nil {
		p.done <- outcome{err: result.New(result.Internal, "there is no group %d", p.group)}
		return
	}
	if len(m.openProposals) >= maxOpenProposals || len(r.pending.record.Encoded()) > maxUnwrittenBytes {
		p.done <- outcome{err: result.New(result.NoQuorum, "group %d has too many commands waiting", p.group)}
		return
	}
	i, t, err := m.core.Propose(p.command)
	if err != nil {
		p.done <- outcome{err: err}
		return
	}
	m.openProposals[i] = openProposal{term: t, done: p.done}
}

func (r *Replica) barrier(_ time.Time, group uint32, w pendingBarrier) {
	m := r.groups[group]
	if m == nil {
		w.done <- outcome{err: result.New(result.Internal, "there is no group %d", group)}
		return
	}
	m.newBarriers = append(m.newBarriers, w)
}

// transfer starts leadership transfers and reports whether this replica still leads a group with other voters.
func (r *Replica) transfer(now time.Time) bool {
	leads := false
	for _, n := range r.groupIDs {
		c := r.groups[n].core
		if c.Role() == consensus.Leader && len(c.Configuration().Voters) > 1 {
			leads = true
			c.Transfer(now)
		}
	}
	return leads
}

// onWritten releases what waited for a batch. The journal is rewritten only with the batch after one that stored a
// snapshot, because that is what shortens the log.
func (r *Replica) onWritten(now time.Time, b *batch) {
	r.writing = false
	r.journalBytes.Store(r.journal.Size())
	for _, p := range b.installed {
		m := r.groups[p.group]
		m.finishInstall(p.snapshot)
		m.snapshotStored(p.snapshot.Index)
	}
	for _, p := range b.taken {
		m := r.groups[p.group]
		m.core.Snapshotted(*p.snapshot)
		m.takingSnapshot = false
		m.snapshotStored(p.snapshot.Index)
	}
	for _, a := range b.synced {
		r.deliver(now, a)
	}
	if b.rewrite != nil {
		r.d.Log.Info("journal rewritten", "bytes", r.journal.Size(), "before", b.sizeBefore, "took", b.took)
		r.rewrittenSize = r.journal.Size()
	}
	if len(b.taken) > 0 && r.rewritePays() {
		r.rewriteDue = true
	}
}

// removeObsoleteFiles removes the files of replaced snapshots once the applying goroutine can't read them any more.
func (r *Replica) removeObsoleteFiles(m *groupReplica) {
	if m.busy || m.installing || m.pendingWork.install != nil {
		return
	}
	for _, i := range m.obsoleteFiles {
		n := snapshotName(m.group, i)
		r.pending.files = append(r.pending.files, func() error { return r.d.Folder.Remove(n) })
	}
	m.obsoleteFiles = nil
}

// onApplied completes requests that waited for applied entries, and queues a snapshot that was taken for the next batch
// unless the core has received a newer one meanwhile.
func (r *Replica) onApplied(a applyResult) {
	m := r.groups[a.group]
	m.completeApplied(a)
	if a.taken == nil {
		return
	}
	s := a.taken
	if s.Index <= m.core.Snapshot().Index {
		m.takingSnapshot = false
		return
	}
	s.Configuration = m.core.ConfigurationAt(s.Index)
	r.pending.files = append(r.pending.files, func() error { return r.files.write(a.group, s.Index, a.snapshot) })
	encodeGroupChange(r.pending.record, groupChange{group: a.group, snapshot: s})
	r.pending.taken = append(r.pending.taken, groupSnapshot{group: a.group, snapshot: s})
	m.entriesSinceSnapshot, m.bytesSinceSnapshot = 0, 0
	r.d.Log.Info("snapshot taken", "group", a.group, "index", s.Index, "bytes", s.Size, "took", a.encoding)
}

// deliver sends a message, or passes it to the core if it is addressed to this replica.
func (r *Replica) deliver(now time.Time, a groupMessage) {
	m := r.groups[a.group]
	if a.message.To.ID == r.id {
		m.core.Step(now, a.message)
		return
	}
	if a.message.Kind == consensus.SnapshotChunk {
		b, err := r.files.readChunk(a.group, *a.message.Snapshot, a.message.Offset)
		if err != nil {
			r.d.Log.Error("snapshot chunk could not be read; message dropped", "group", a.group, "error", err)
			return
		}
		a.message.Data = b
	}
	r.outbox.message(a.group, a.message)
}

// flush carries out effects until there are none, and then starts the queued work of the other goroutines and sends the
// queued messages.
func (r *Replica) flush(now time.Time) {
	for _, n := range r.groupIDs {
		m := r.groups[n]
		if len(m.newBarriers) > 0 {
			m.lastRead++
			m.reads[m.lastRead] = m.newBarriers
			m.newBarriers = nil
			m.core.Read(now, m.lastRead)
		}
		for r.handleEffects(now, m) {
		}
		m.snapshotWhenDue(now, r.d.Limits)
		r.removeObsoleteFiles(m)
		m.startApply()
		r.publishStatus(now, m)
	}
	r.outbox.flush()
	r.startWrite()
}

// handleEffects carries out the effects of one core and reports whether there were any. Synced messages wait while any
// write of any group is queued or in progress.
func (r *Replica) handleEffects(now time.Time, m *groupReplica) bool {
	e := m.core.Effects(now)
	for _, x := range e.Messages {
		r.deliver(now, groupMessage{group: m.group, message: x})
	}
	r.enqueueWrites(m, e)
	for _, x := range e.Synced {
		a := groupMessage{group: m.group, message: x}
		if r.writing || !r.pending.empty() {
			r.pending.synced = append(r.pending.synced, a)
		} else {
			r.deliver(now, a)
		}
	}
	if len(e.Committed) > 0 {
		m.enqueueCommitted(e.Committed)
	}
	for _, x := range e.Reads {
		m.onRead(x)
	}
	if m.core.Role() != consensus.Leader {
		m.failProposals()
	}
	return e.Writes() || len(e.Messages)+len(e.Synced)+len(e.Committed)+len(e.Reads) > 0
}

// enqueueWrites adds the writes of a core to the pending batch.
func (r *Replica) enqueueWrites(m *groupReplica, e consensus.Effects) {
	if !e.Writes() {
		return
	}
	for _, c := range e.Chunks {
		r.pending.files = append(r.pending.files, func() error { return r.files.writeChunk(m.group, c) })
	}
	if s := e.Install; s != nil {
		r.d.Log.Info("snapshot received", "group", m.group, "index", s.Index, "bytes", s.Size)
		r.pending.files = append(r.pending.files, func() error { return r.files.finish(m.group, s.Index) })
		r.pending.installed = append(r.pending.installed, groupSnapshot{group: m.group, snapshot: s})
		m.beginInstall(s)
	}
	if e.Install != nil || len(e.Entries) > 0 || e.HardState != nil {
		encodeGroupChange(r.pending.record, groupChange{
			group:     m.group,
			snapshot:  e.Install,
			install:   e.Install != nil,
			entries:   e.Entries,
			hardState: e.HardState,
			commit:    m.core.Commit(),
		})
		m.recordedCommit = m.core.Commit()
	}
}

// recordCommit writes the commit index if no other record has done so, so that the replica can apply committed entries
// after a restart without contact with a leader.
func (r *Replica) recordCommit(now time.Time, m *groupReplica) {
	if m.core.Commit() <= m.recordedCommit || now.Sub(m.commitRecordedAt) < commitRecordInterval || r.writing || !r.pending.empty() {
		return
	}
	m.recordedCommit, m.commitRecordedAt = m.core.Commit(), now
	encodeGroupChange(r.pending.record, groupChange{group: m.group, commit: m.recordedCommit})
}

// snapshotWhenDue requests a snapshot of the machine if enough was applied since the last one. It waits while a member is
// being sent the present one, because that transfer would restart, unless the log would grow beyond bounds meanwhile.
func (m *groupReplica) snapshotWhenDue(now time.Time, l Limits) {
	if m.takingSnapshot || m.installing || (m.entriesSinceSnapshot < l.SnapshotEntries && m.bytesSinceSnapshot < l.SnapshotBytes) {
		return
	}
	if m.core.SendingSnapshot(now) && m.bytesSinceSnapshot < 2*l.SnapshotBytes {
		return
	}
	m.takingSnapshot = true
	m.pendingWork.snapshot = true
}

// onRead completes the barriers of a read, or lets them wait until its index is applied. The barriers of a failed read
// are requested again.
func (m *groupReplica) onRead(x consensus.ReadResult) {
	l := m.reads[x.Read]
	delete(m.reads, x.Read)
	for _, w := range l {
		switch {
		case x.Failed:
			m.newBarriers = append(m.newBarriers, w)
		case x.Index <= m.applied:
			w.done <- outcome{}
		default:
			m.indexedBarriers = append(m.indexedBarriers, indexedBarrier{pendingBarrier: w, index: x.Index})
		}
	}
}

// expireBarriers fails barriers that have waited for barrierTimeout.
func (m *groupReplica) expireBarriers(now time.Time) {
	for n, l := range m.reads {
		if now.After(l[0].until) {
			m.core.Abandon(n)
			delete(m.reads, n)
			for _, w := range l {
				w.done <- outcome{err: result.New(result.NoQuorum, "no leader confirmed group %d in time", m.group)}
			}
		}
	}
	for len(m.indexedBarriers) > 0 && now.After(m.indexedBarriers[0].until) {
		m.indexedBarriers[0].done <- outcome{err: result.New(result.NoQuorum, "group %d lags", m.group)}
		m.indexedBarriers = m.indexedBarriers[1:]
	}
}

// lostLeadership returns the error for commands of a former leader, which the next leader may still commit.
func lostLeadership() error {
	return result.New(result.ChangeUncommitted, "the leader changed").WithRan(result.Unknown)
}
