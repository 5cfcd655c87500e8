package consensus

import "time"

// read is a pending read: on a follower it waits for the leader's response, on the leader for a quorum to confirm the
// leadership.
type read struct {
	number     uint64
	from       Member // zero if this replica's driver requested it
	receivedAt uint64 // reading of clock
}

// Read requests an index that covers everything committed before the call. The result is among the Reads of a later
// Effects, under the same number, which must differ from that of every earlier read of this replica, also before a
// restart. Without a leader the read stays pending; it fails if this replica becomes or stops being the leader.
func (c *Core) Read(now time.Time, number uint64) {
	c.reads = append(c.reads, read{number: number, receivedAt: c.clock(now)})
	if c.role == Leader {
		c.confirmReads(now)
		return
	}
	if c.leader != (Member{}) {
		c.send(Message{Kind: ReadIndex, To: c.leader, Read: number})
	}
}

func (c *Core) onReadIndex(now time.Time, m Message) {
	if c.role != Leader {
		return
	}
	for _, r := range c.reads {
		if r.number == m.Read && r.from.ID == m.From.ID {
			return
		}
	}
	c.reads = append(c.reads, read{number: m.Read, from: m.From, receivedAt: c.clock(now)})
	c.confirmReads(now)
}

// confirmReads responds to reads that a lease covers. Without a lease it sends a heartbeat immediately, so that a
// quorum confirms the leadership.
func (c *Core) confirmReads(now time.Time) {
	if _, ok := c.Lease(now); !ok {
		c.heartbeat(now)
	}
	c.serveReads(now)
}

func (c *Core) onReadIndexResponse(m Message) {
	for i, r := range c.reads {
		if r.number == m.Read && r.from == (Member{}) {
			c.reads = append(c.reads[:i:i], c.reads[i+1:]...)
			c.out.Reads = append(c.out.Reads, ReadResult{Read: m.Read, Index: m.Index})
			return
		}
	}
}

// serveReads responds to the pending reads if a lease is held, otherwise to those received before the newest heartbeat
// round that a quorum has confirmed. It serves none before the first entry of the leader's term is committed, because
// until then the leader's commit index may lag behind what an earlier leader committed.
func (c *Core) serveReads(now time.Time) {
	if c.role != Leader || c.commit < c.noOpIndex || len(c.reads) == 0 {
		return
	}
	_, lease := c.Lease(now)
	confirmedAt := uint64(c.quorumConfirmedAt(now).Sub(c.origin))
	var pending []read
	for _, r := range c.reads {
		if lease || r.receivedAt < confirmedAt {
			c.respondToRead(r)
		} else {
			pending = append(pending, r)
		}
	}
	c.reads = pending
}

func (c *Core) respondToRead(r read) {
	if r.from == (Member{}) {
		c.out.Reads = append(c.out.Reads, ReadResult{Read: r.number, Index: c.commit})
		return
	}
	c.send(Message{Kind: ReadIndexResponse, To: r.from, Read: r.number, Index: c.commit})
}

// resendReads repeats the request for every pending read of this replica, as requests and responses may be lost.
func (c *Core) resendReads() {
	if c.leader == (Member{}) {
		return
	}
	for _, r := range c.reads {
		c.send(Message{Kind: ReadIndex, To: c.leader, Read: r.number})
	}
}

// failReads fails this replica's reads and drops those of others, when it becomes leader or stops being leader. The
// other replicas repeat theirs to the new leader.
func (c *Core) failReads() {
	for _, r := range c.reads {
		if r.from == (Member{}) {
			c.out.Reads = append(c.out.Reads, ReadResult{Read: r.number, Failed: true})
		}
	}
	c.reads = nil
}

// Abandon drops a pending read of this replica whose callers have stopped waiting.
func (c *Core) Abandon(number uint64) {
	for i, r := range c.reads {
		if r.number == number && r.from == (Member{}) {
			c.reads = append(c.reads[:i:i], c.reads[i+1:]...)
			return
		}
	}
}
