package relay

import "golang.org/x/sync/semaphore"

// MemoryProvider counts reserved bytes.
type MemoryProvider interface {
	// TryAcquire reserves bytes, or returns false when there is no room for them.
	TryAcquire(n int64) bool
	// Release returns reserved bytes.
	Release(n int64)
}

// Memory bounds what is kept of responses until it can be sent on, over all requests; it is safe for concurrent use.
type Memory struct {
	s MemoryProvider
}

// freeResponseBytes is how much each response may keep in any case.
const freeResponseBytes = chunkBytes

// NewMemory returns a Memory of so many bytes, beside the freeResponseBytes of each response.
func NewMemory(bytes int64) *Memory {
	return &Memory{s: semaphore.NewWeighted(bytes)}
}

// SharedMemory returns a Memory that takes its bytes from p, or a Memory of so many bytes if p is nil.
func SharedMemory(p MemoryProvider, bytes int64) *Memory {
	if p == nil {
		return NewMemory(bytes)
	}
	return &Memory{s: p}
}

// Reservation is the part of a Memory that one response has taken; it is not safe for concurrent use.
type Reservation struct {
	m *Memory
	n int64
}

// Reserve returns a Reservation of nothing, which has to be released.
func (m *Memory) Reserve() *Reservation { return &Reservation{m: m} }

// Resize changes the reservation to what a response of so many bytes takes. It returns false, and changes nothing, when the memory has no room.
func (r *Reservation) Resize(bytes int) bool {
	steps := (max(0, bytes-freeResponseBytes) + freeResponseBytes - 1) / freeResponseBytes
	n := int64(steps) * freeResponseBytes
	if n > r.n && !r.m.s.TryAcquire(n-r.n) {
		return false
	}
	if n < r.n {
		r.m.s.Release(r.n - n)
	}
	r.n = n
	return true
}

// Release returns the reservation.
func (r *Reservation) Release() { r.Resize(0) }
