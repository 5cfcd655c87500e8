package gateway

import (
	"net/http"
	"time"
)

// Bounds of request bodies.
const (
	MaxBody       = 32 << 20    // bytes of one online request
	maxBodyMemory = 96 << 20    // bytes of all online requests of a VM together, without a budget of the process
	retryDelay    = time.Second // suggested to callers by Retry-After
)

// readBody reads a body of up to MaxBody bytes; release must be called when the body is no longer used. After a failure the
// connection is closed, as the rest of the body is unread.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) (body []byte, release func(), err error) {
	b, release, f := g.bodies.Read(w, r)
	if f != nil {
		return nil, nil, f
	}
	return b, release, nil
}
