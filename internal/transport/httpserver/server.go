package httpserver

import (
	"log/slog"
	"net/http"
	"time"
)

// MaxHeader bounds all headers of a request, in bytes.
const MaxHeader = 64 << 10

// Bounds of connections.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute // longer than any configuration lets callers reuse a connection
)

// New returns a server of a handler, which Bound wraps. The server's own errors, such as malformed requests, go to the debug
// log.
func New(h http.Handler, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           Bound(h),
		ReadHeaderTimeout: headerTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// Bound returns a handler whose requests fail to read from clients that send their body too slowly, and to write to clients
// that accept nothing of their response. The bounds move with progress: a body or a response may last as long as it needs.
func Bound(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := http.NewResponseController(w)
		if r.ContentLength != 0 {
			r.Body = newBody(r.Body, c)
		}
		b := &writer{ResponseWriter: w, c: c}
		h.ServeHTTP(b, r)
		b.extendDeadline() // for what is still buffered
	})
}
