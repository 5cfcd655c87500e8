package gateway

import (
	"net/http"
	"time"
)

// callerTimeout is how long a caller may take to accept a part of its response.
const callerTimeout = 20 * time.Second

// deadlineWriter fails when a caller does not accept a part of its response within callerTimeout.
type deadlineWriter struct {
	http.ResponseWriter
	c *http.ResponseController
}

// WriteHeader sends the status.
func (b *deadlineWriter) WriteHeader(status int) {
	b.extendDeadline()
	b.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response; it fails when the caller is too slow.
func (b *deadlineWriter) Write(p []byte) (int, error) {
	b.extendDeadline()
	return b.ResponseWriter.Write(p)
}

// FlushError sends what is buffered; http.ResponseController calls it in place of Flush.
func (b *deadlineWriter) FlushError() error {
	b.extendDeadline()
	return b.c.Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (b *deadlineWriter) Unwrap() http.ResponseWriter {
	return b.ResponseWriter
}

// extendDeadline gives the caller callerTimeout from now.
func (b *deadlineWriter) extendDeadline() {
	_ = b.c.SetWriteDeadline(time.Now().Add(callerTimeout))
}
