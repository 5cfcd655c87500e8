package consensus

import "time"

// progress is what a leader knows of another member.
type progress struct {
	match    uint64 // greatest index known to be synced there
	next     uint64 // index to send next
	probing  bool   // one message at a time, until one is answered
	paused   bool   // a probe is on its way
	inflight int    // appends that are not answered
	moved    time.Time
	acked    uint64    // Sent of the newest round that was answered
	since    time.Time // when the leader began to follow the member
	snapshot *Snapshot
	offset   uint64 // of the snapshot's next chunk
}

func newProgress(next uint64, now time.Time) *progress {
	return &progress{next: next, probing: true, moved: now, since: now}
}

// probe goes back to what is known to match.
func (p *progress) probe(next uint64, now time.Time) {
	p.next = max(next, p.match+1)
	p.probing = true
	p.paused = false
	p.inflight = 0
	p.moved = now
}

// advance takes an answer that everything up to match is synced.
func (p *progress) advance(match uint64, now time.Time) {
	p.inflight = max(0, p.inflight-1)
	p.paused = false
	if match <= p.match && !p.probing {
		return
	}
	p.probing = false
	p.match = max(p.match, match)
	p.next = max(p.next, p.match+1)
	p.moved = now
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot = nil
	}
}

func (p *progress) blocked() bool {
	return p.snapshot != nil || p.paused || p.inflight >= maxInflight
}
