package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/state/result"
)

// Bounds of request bodies.
const (
	MaxBody         = 32 << 20 // bytes of one online request
	maxBodyMemory   = 96 << 20 // bytes of all online requests of a VM together
	reservationStep = 1 << 20  // bytes reserved at a time for a body of unknown length
	bodyTimeout     = 2 * time.Minute
	retryDelay      = time.Second // suggested to callers by Retry-After
)

// readBody reads a body of up to MaxBody bytes within bodyTimeout; release must be called when the body is no longer
// used. After a failure the connection is closed, as the rest of the body is unread.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	if r.ContentLength > MaxBody {
		w.Header().Set("Connection", "close")
		return nil, nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", MaxBody)
	}
	m := &bodyReservation{g: g}
	if !m.grow(max(r.ContentLength, 0)) {
		w.Header().Set("Connection", "close")
		return nil, nil, result.New(result.QueueFull, "the VM holds too many request bodies").After(retryDelay)
	}
	b, err := readAll(r, m)
	if err != nil {
		m.release()
		w.Header().Set("Connection", "close")
		return nil, nil, err
	}
	return b, m.release, nil
}

// bodyReservation is the part of maxBodyMemory, in bytes, that one request has reserved.
type bodyReservation struct {
	g *Gateway
	n int64
}

// grow reserves n more bytes; it reports false if the VM's bound does not allow them.
func (m *bodyReservation) grow(n int64) bool {
	if n > 0 && !m.g.bodyMemory.TryAcquire(n) {
		return false
	}
	m.n += n
	return true
}

func (m *bodyReservation) release() {
	m.g.bodyMemory.Release(m.n)
	m.n = 0
}

// readAll reads the body and extends the reservation as a body of unknown length grows.
func readAll(r *http.Request, m *bodyReservation) ([]byte, error) {
	end := time.Now().Add(bodyTimeout)
	b := make([]byte, 0, max(r.ContentLength, 512)+1)
	for {
		n, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil || time.Now().After(end):
			return nil, result.New(result.MalformedRequest, "the body could not be read whole")
		case len(b) > MaxBody:
			return nil, result.New(result.BodyTooLarge, "the body exceeds %d bytes", MaxBody)
		case int64(len(b)) > m.n && !m.grow(reservationStep):
			return nil, result.New(result.QueueFull, "the VM holds too many request bodies").After(retryDelay)
		}
		if len(b) == cap(b) {
			b = append(b, 0)[:len(b)]
		}
	}
}
