package httpserver

import (
	"net/http"
	"time"
)

// writeTimeout is how long a client may take to accept a part of its response.
const writeTimeout = 20 * time.Second

// writer fails when a client does not accept a part of its response within writeTimeout.
type writer struct {
	http.ResponseWriter
	c *http.ResponseController
}

// WriteHeader sends the status.
func (w *writer) WriteHeader(status int) {
	w.extendDeadline()
	w.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the response; it fails when the client is too slow.
func (w *writer) Write(p []byte) (int, error) {
	w.extendDeadline()
	return w.ResponseWriter.Write(p)
}

// FlushError sends what is buffered; http.ResponseController calls it in place of Flush.
func (w *writer) FlushError() error {
	w.extendDeadline()
	return w.c.Flush()
}

// Unwrap returns the underlying writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// extendDeadline gives the client writeTimeout from now.
func (w *writer) extendDeadline() {
	_ = w.c.SetWriteDeadline(time.Now().Add(writeTimeout))
}
