package consensus

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// incomingSnapshot is a snapshot of which only a part has been received.
type incomingSnapshot struct {
	snapshot Snapshot
	offset   uint64         // bytes received so far
	sum      *xxhash.Digest // of the bytes received so far
}

// acceptLeader records the sender as the leader of the current term and restarts the election timeout.
func (c *Core) acceptLeader(now time.Time, m Message) {
	if c.role != Follower {
		c.becomeFollower(now, c.hard.Term)
	}
	c.leader = m.From
	c.leaderContact = now
	c.deadline = now.Add(c.electionTimeout())
}

func (c *Core) onAppend(now time.Time, m Message) {
	c.acceptLeader(now, m)
	if m.Index < c.commit {
		c.skipCommitted(&m)
	}
	if t, ok := c.log.termAt(m.Index); !ok || t != m.LogTerm {
		h := c.log.matchHint(m.Index, m.LogTerm)
		t, _ := c.log.termAt(h)
		c.sendSynced(Message{Kind: AppendResponse, To: m.From, Index: m.Index, Reject: true, Hint: h, LogTerm: t})
		return
	}
	for _, e := range m.Entries {
		c.appendFromLeader(e)
	}
	n := m.Index + uint64(len(m.Entries))
	c.commit = max(c.commit, min(m.Commit, n))
	c.sendSynced(Message{Kind: AppendResponse, To: m.From, Index: n})
}

// skipCommitted drops the entries of m up to this replica's commit index. They equal those in the log, of which a
// snapshot may have replaced some.
func (c *Core) skipCommitted(m *Message) {
	n := min(c.commit-m.Index, uint64(len(m.Entries)))
	if m.Index+n < c.commit {
		m.Entries = nil
	} else {
		m.Entries = m.Entries[n:]
	}
	m.Index = c.commit
	m.LogTerm, _ = c.log.termAt(c.commit)
}

// appendFromLeader appends an entry received from the leader. If the log holds an entry of another term at its index,
// that entry and all after it are replaced. It panics if the entry to be replaced is committed.
func (c *Core) appendFromLeader(e Entry) {
	t, ok := c.log.termAt(e.Index)
	if ok && t == e.Term {
		return
	}
	if ok {
		if e.Index <= c.commit {
			panic(fmt.Sprintf("committed entry %d of term %d conflicts with the leader's entry of term %d", e.Index, t, e.Term))
		}
		c.log.truncateFrom(e.Index)
		c.revertConfigurations(e.Index)
	}
	c.log.append(e)
	c.adoptConfiguration(e)
}

func (c *Core) onHeartbeat(now time.Time, m Message) {
	c.acceptLeader(now, m)
	c.commit = max(c.commit, min(m.Commit, c.log.last()))
	c.send(Message{Kind: HeartbeatResponse, To: m.From, Sent: m.Sent})
}

// onChunk appends a chunk that continues the snapshot being received, and installs the snapshot when it is complete and
// its checksum matches. If it does not match, the response makes the leader send the snapshot again from the start.
func (c *Core) onChunk(now time.Time, m Message) {
	c.acceptLeader(now, m)
	s := *m.Snapshot
	if s.Index <= c.commit {
		c.incoming = nil
		c.sendSynced(Message{Kind: AppendResponse, To: m.From, Index: c.commit})
		return
	}
	if c.incoming == nil || c.incoming.snapshot.Index != s.Index || c.incoming.snapshot.Checksum != s.Checksum {
		c.incoming = &incomingSnapshot{snapshot: s, sum: xxhash.New()}
	}
	p := c.incoming
	if m.Offset == p.offset && m.Offset+uint64(len(m.Data)) <= s.Size {
		c.out.Chunks = append(c.out.Chunks, Chunk{Snapshot: s, Offset: m.Offset, Data: m.Data})
		_, _ = p.sum.Write(m.Data)
		p.offset += uint64(len(m.Data))
	}
	if p.offset < s.Size {
		c.sendSynced(Message{Kind: SnapshotResponse, To: m.From, Index: s.Index, Offset: p.offset})
		return
	}
	c.incoming = nil
	if p.sum.Sum64() != s.Checksum {
		c.sendSynced(Message{Kind: SnapshotResponse, To: m.From, Index: s.Index, Reject: true})
		return
	}
	c.install(s)
	c.sendSynced(Message{Kind: AppendResponse, To: m.From, Index: s.Index})
}

// install replaces log and configuration by those of a completely received snapshot.
func (c *Core) install(s Snapshot) {
	c.out.Install = &s
	c.snap = s
	c.commit = s.Index
	c.deliveredCommit = s.Index
	c.log.reset(s.Index, s.Term)
	c.configs = []indexedConfiguration{{index: s.Index, c: s.Configuration}}
}
