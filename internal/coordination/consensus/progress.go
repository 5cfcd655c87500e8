package consensus

import "time"

// progress is the leader's view of the replication to one other member.
type progress struct {
	match      uint64       // greatest index known to be synced on the member
	next       uint64       // index of the next entry to send
	probing    bool         // match is not known yet: appends are sent one at a time until one is accepted
	paused     bool         // a probe awaits its response
	inflight   []sentAppend // appends that await a response, oldest first
	unacked    uint64       // bytes of the entries in them
	resendFrom time.Time    // Timing.Resend counts from here: the last progress, or the first append sent while none awaited a response
	acked      uint64       // Sent of the newest heartbeat round that the member responded to
	addedAt    time.Time    // when the leader started to track the member
	snapshot   *Snapshot    // being sent; nil if none
	offset     uint64       // in bytes, of the snapshot's next chunk
}

// sentAppend is an append to a member.
type sentAppend struct {
	last  uint64 // index up to which the member's log matches if it accepts the append
	bytes uint64 // of the entries
}

func newProgress(next uint64, now time.Time) *progress {
	return &progress{next: next, probing: true, resendFrom: now, addedAt: now}
}

// probe restarts replication at next, but never at or below what is known to match.
func (p *progress) probe(next uint64, now time.Time) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight, p.unacked = nil, 0
	p.resendFrom = now
}

// advance records a response that all entries up to match are synced.
func (p *progress) advance(match uint64, now time.Time) {
	for len(p.inflight) > 0 && p.inflight[0].last <= match {
		p.unacked -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
	p.paused = false
	if match <= p.match && !p.probing {
		return
	}
	p.probing = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.resendFrom = now
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
}

// sent records an append.
func (p *progress) sent(a sentAppend) {
	p.inflight = append(p.inflight, a)
	p.unacked += a.bytes
}

// blocked reports whether no append may be sent now: a snapshot is being sent, a probe awaits its response, or the
// window is full.
func (p *progress) blocked() bool {
	return p.snapshot != nil || p.paused || len(p.inflight) >= maxInflight || p.unacked >= maxWindowBytes
}
