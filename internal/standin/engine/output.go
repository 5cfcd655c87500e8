package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"snipetack/internal/protocol/chat"
)

// truncatedAfter is how many chunks of a truncated stream are sent.
const truncatedAfter = 3

// output writes the chunks of one connection and commits the faults on the way.
type output struct {
	w      http.ResponseWriter
	model  string
	id     string
	faults Faults
	sent   int
	held   string // a chunk that is sent after its successor
}

// chunk sends a numbered token and reports false when a fault ends the connection's progress.
func (o *output) chunk(n int, token string) bool {
	if o.sent > 0 && (o.sent == o.faults.CutAfter || o.sent == o.faults.SilentAfter) {
		return false
	}
	o.sent++
	if o.faults.Truncate && n > truncatedAfter {
		return true
	}
	t := frameOf(n, chat.Chunk(o.id, o.model, token, ""))
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

// stall cuts the connection or leaves it silent until the other side gives up.
func (o *output) stall(r *http.Request) {
	o.flush()
	if o.faults.SilentAfter > 0 {
		<-r.Context().Done()
		return
	}
	panic(http.ErrAbortHandler)
}

// finish ends the stream after n tokens.
func (o *output) finish(n, prompt int, usage bool) {
	if o.held != "" {
		o.write(o.held)
	}
	if !o.faults.Truncate {
		o.write(frameOf(n+1, chat.Chunk(o.id, o.model, "", "stop")))
	}
	if usage {
		o.write(frameOf(n+2, chat.UsageChunk(o.id, o.model, prompt, n)))
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

func frameOf(n int, v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, b)
}
