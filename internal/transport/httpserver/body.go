package httpserver

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Bounds of request bodies. A client may take slowStart and then has to reach minRate on average.
const (
	stallTimeout = 10 * time.Second // between two parts of a body
	slowStart    = 10 * time.Second
	minRate      = 4 << 10 // bytes a second
)

// body fails when a client sends nothing for stallTimeout, or less than minRate. The deadline is set on the connection from
// the start, so that it also applies while net/http discards what a handler left unread.
type body struct {
	io.ReadCloser
	c      *http.ResponseController
	read   int64         // bytes
	waited time.Duration // in Read; the handler's own time does not count
}

func newBody(r io.ReadCloser, c *http.ResponseController) *body {
	_ = c.SetReadDeadline(time.Now().Add(stallTimeout))
	return &body{ReadCloser: r, c: c}
}

// Read reads the body; at its end it removes the read deadline from the connection.
func (b *body) Read(p []byte) (int, error) {
	began := time.Now()
	left := slowStart + time.Duration(b.read)*time.Second/minRate - b.waited
	_ = b.c.SetReadDeadline(began.Add(min(left, stallTimeout)))
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	b.waited += time.Since(began)
	if errors.Is(err, io.EOF) {
		_ = b.c.SetReadDeadline(time.Time{})
	}
	return n, err
}
