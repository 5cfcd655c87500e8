package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"snipetack/internal/protocol/chat"
)

// truncatedAfter is the number of the last chunk that a truncated stream contains.
const truncatedAfter = 3

// output writes the chunks of one connection and injects the faults.
type output struct {
	w      http.ResponseWriter
	model  string
	id     string
	faults Faults
	sent   int    // chunks on this connection
	held   string // event to be sent after its successor, for Faults.Reorder
}

// chunk sends a numbered token. It returns false when a fault ends the sending on this connection.
func (o *output) chunk(n int, token string) bool {
	if o.sent > 0 && (o.sent == o.faults.CutAfter || o.sent == o.faults.SilentAfter) {
		return false
	}
	o.sent++
	if o.faults.Truncate && n > truncatedAfter {
		return true
	}
	t := sseEvent(n, chat.Chunk(o.id, o.model, token, ""))
	if o.faults.Reorder && n%4 == 1 && o.held == "" {
		o.held = t
		return true
	}
	o.write(t)
	if o.held != "" {
		o.write(o.held)
		o.write(t)
		o.held = ""
	}
	return true
}

// stopSending closes the connection without ending the stream, or, for Faults.SilentAfter, keeps it open
// without sending until the caller disconnects.
func (o *output) stopSending(r *http.Request) {
	o.flush()
	if o.faults.SilentAfter > 0 {
		<-r.Context().Done()
		return
	}
	panic(http.ErrAbortHandler)
}

// finish ends a stream of n tokens with its last chunk, the usage where requested, and [DONE].
func (o *output) finish(n, prompt int, usage bool) {
	if o.held != "" {
		o.write(o.held)
	}
	if !o.faults.Truncate {
		o.write(sseEvent(n+1, chat.Chunk(o.id, o.model, "", "stop")))
	}
	if usage {
		o.write(sseEvent(n+2, chat.UsageChunk(o.id, o.model, prompt, n)))
	}
	o.write("data: [DONE]\n\n")
	o.flush()
}

func (o *output) write(t string) {
	if _, data, ok := strings.Cut(t, "\n"); ok && o.faults.Unnumbered && strings.HasPrefix(t, "id:") {
		t = data
	}
	_, _ = o.w.Write([]byte(t))
}

func (o *output) flush() {
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}

// sseEvent returns a server-sent event with an ID and JSON data.
func sseEvent(n int, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, b)
}
