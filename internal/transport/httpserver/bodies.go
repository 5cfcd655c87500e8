package httpserver

import (
	"errors"
	"io"
	"net/http"
	"time"

	"golang.org/x/sync/semaphore"

	"snipetack/internal/state/result"
)

// Bounds that apply to all bodies.
const (
	FreeBody    = 64 << 10        // bytes of each that do not count against the limit of all
	BodyTimeout = 2 * time.Minute // for a whole body
	retryBody   = time.Second     // Retry-After when the limit of all is reached
)

// Bodies reads the bodies of requests within a limit for each and one for all; it is safe for concurrent use.
type Bodies struct {
	limit  int // bytes
	memory *semaphore.Weighted
}

// NewBodies returns Bodies for bodies of at most limit bytes each, which hold at most memory bytes together beyond FreeBody each.
func NewBodies(limit, memory int) *Bodies {
	return &Bodies{limit: limit, memory: semaphore.NewWeighted(int64(memory))}
}

// Read reads the body of a request; release must be called when it is no longer used. After a failure the connection is closed,
// as the rest of the body is unread.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request) (body []byte, release func(), f *result.Failure) {
	m := &reservation{memory: b.memory}
	body, f = readBody(r, m, b.limit)
	if f != nil {
		m.release()
		w.Header().Set("Connection", "close")
		return nil, nil, f
	}
	return body, m.release, nil
}

// readBody reads a body of at most so many bytes and extends the reservation as it grows.
func readBody(r *http.Request, m *reservation, most int) ([]byte, *result.Failure) {
	if r.ContentLength > int64(most) {
		return nil, result.New(result.BodyTooLarge, "the body is longer than %d bytes", most)
	}
	end := time.Now().Add(BodyTimeout)
	limit := most + 1
	if r.ContentLength >= 0 {
		limit = int(r.ContentLength) + 1 // the last byte is for the read that returns the end
	}
	b := make([]byte, 0, min(limit, FreeBody))
	for {
		n, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > most:
			return nil, result.New(result.BodyTooLarge, "the body is longer than %d bytes", most)
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, result.New(result.MalformedRequest, "reading the body: %v", err)
		case time.Now().After(end):
			return nil, result.New(result.MalformedRequest, "the body took longer than %s", BodyTimeout)
		case len(b) < cap(b):
			continue
		}
		grown := min(2*cap(b), limit)
		if !m.grow(grown - cap(b)) {
			return nil, result.New(result.QueueFull, "the VM holds too many request bodies").After(retryBody)
		}
		b = append(make([]byte, 0, grown), b...)
	}
}

// reservation is the part of the memory of all bodies, in bytes, that one request holds.
type reservation struct {
	memory *semaphore.Weighted
	held   int64
}

// grow reserves n more bytes; it returns false if they are not available.
func (m *reservation) grow(n int) bool {
	if !m.memory.TryAcquire(int64(n)) {
		return false
	}
	m.held += int64(n)
	return true
}

func (m *reservation) release() {
	m.memory.Release(m.held)
	m.held = 0
}
