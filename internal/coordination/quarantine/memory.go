package quarantine

import (
	"strings"
	"time"
)

// memory counts sound responses by key for soundMemory to twice this time; it holds up to maxSoundMemory keys of each such period.
type memory struct {
	recent, older   map[string]sound
	recentN, olderN int // sound responses
	rotatedAt       time.Time
}

// sound counts the sound responses with one key.
type sound struct {
	n    int
	last time.Time
}

func newMemory() memory {
	return memory{recent: map[string]sound{}, older: map[string]sound{}}
}

// record counts a response with these keys; one without any is not counted.
func (m *memory) record(now time.Time, keys ...string) {
	if len(keys) == 0 {
		return
	}
	m.rotate(now)
	m.recentN++
	for _, k := range keys {
		x, ok := m.recent[k]
		if !ok && len(m.recent) >= maxSoundMemory {
			continue
		}
		if !ok {
			k = strings.Clone(k) // a part of a header would keep all of it in memory
		}
		m.recent[k] = sound{n: x.n + 1, last: now}
	}
}

// of returns the sound responses with a key, as far as they are remembered.
func (m *memory) of(key string) sound {
	x, y := m.recent[key], m.older[key]
	x.n += y.n
	if x.last.IsZero() {
		x.last = y.last
	}
	return x
}

// responses returns the number of sound responses that are remembered.
func (m *memory) responses() int { return m.recentN + m.olderN }

// rotate drops the counts of responses that are too old.
func (m *memory) rotate(now time.Time) {
	switch d := now.Sub(m.rotatedAt); {
	case d < soundMemory:
		return
	case d < 2*soundMemory:
		m.older, m.olderN = m.recent, m.recentN
	default:
		m.older, m.olderN = map[string]sound{}, 0
	}
	m.recent, m.recentN = map[string]sound{}, 0
	m.rotatedAt = now
}
