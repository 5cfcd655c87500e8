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
// as the rest of the body is unread. The memory comes from the budget of the request's connection if that is guarded.
func (b *Bodies) Read(w http.ResponseWriter, r *http.Request) (body []byte, release func(), f *result.Failure) {
	m := &reservation{memory: b.memory, c: connOf(r.Context())}
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
	first := min(limit, m.first())
	if !m.grow(r, 0, first) {
		return nil, noRoom()
	}
	b := make([]byte, 0, first)
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
		if r.ContentLength >= 0 && cap(b) >= FreeBody {
			grown = limit // without copies on the way
		}
		if !m.grow(r, cap(b), grown) {
			return nil, noRoom()
		}
		l := make([]byte, 0, grown)
		l = append(l, b...)
		m.shrink(cap(b))
		b = l
	}
}

// firstBuffer is the size of the buffer that a body of a guarded connection begins with.
const firstBuffer = 4 << 10

// reservation is the part of the memory of all bodies, in bytes, that one request holds. Without a guarded connection it is taken
// from memory, beside FreeBody.
type reservation struct {
	c      *conn
	memory *semaphore.Weighted
	held   int64
}

// first returns the size of a body's first buffer.
func (m *reservation) first() int {
	if m.c != nil {
		return firstBuffer
	}
	return FreeBody
}

// grow reserves a buffer in place of a smaller one, which shrink returns; it returns false if there is no room.
func (m *reservation) grow(r *http.Request, from, to int) bool {
	n := int64(to)
	if m.c != nil {
		if !m.c.take(r.Context(), n) {
			return false
		}
	} else {
		n = int64(to - max(from, FreeBody))
		if n <= 0 {
			return true
		}
		if !m.memory.TryAcquire(n) {
			return false
		}
	}
	m.held += n
	return true
}

// shrink returns a buffer that was copied to a larger one.
func (m *reservation) shrink(n int) {
	if m.c != nil {
		m.c.share.Give(int64(n))
		m.held -= int64(n)
	}
}

func (m *reservation) release() {
	if m.c != nil {
		m.c.share.Give(m.held)
	} else {
		m.memory.Release(m.held)
	}
	m.held = 0
}
