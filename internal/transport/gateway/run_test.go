package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/routing"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/rawupstream"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/upstream"
)

// maxEndless is how many bytes an endless response sends before it breaks off.
const maxEndless = 64 << 20

// endless is an engine whose responses consist of parts without end.
type endless struct {
	status int
	part   func(n int) string // n counts from 1
	sent   int                // bytes
	n      int
	rest   string
	closed bool
}

func (e *endless) Do(context.Context, upstream.Call) (*http.Response, error) {
	return &http.Response{StatusCode: e.status, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: e}, nil
}

func (e *endless) Read(b []byte) (int, error) {
	if e.sent >= maxEndless {
		return 0, errors.New("end of the test")
	}
	if e.rest == "" {
		e.n++
		e.rest = e.part(e.n)
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	e.sent += n
	return n, nil
}

func (e *endless) Close() error {
	e.closed = true
	return nil
}

// discard is a caller that reads everything.
type discard struct{ chunks int }

func (d *discard) chunk([]byte) error { d.chunks++; return nil }
func (*discard) done() error          { return nil }
func (*discard) fail(error)           {}

// TestStreamWithoutEndBreaks lets an engine send bytes without end that complete no response. The connection must end before
// it has kept or read more than a few MiB.
func TestStreamWithoutEndBreaks(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	table := map[string]struct {
		status int
		part   func(n int) string
	}{
		"garbage without a line end":     {part: func(int) string { return block }},
		"garbage lines":                  {part: func(int) string { return block + "\n" }},
		"line without end":               {part: func(n int) string { return map[bool]string{true: "data: "}[n == 1] + block }},
		"lines of an event without end":  {part: func(int) string { return "data: " + block + "\n" }},
		"empty lines without end":        {part: func(int) string { return strings.Repeat("\n", 1<<10) }},
		"comments without end":           {part: func(int) string { return strings.Repeat(": wait\n\n", 1<<10) }},
		"empty events without end":       {part: func(int) string { return strings.Repeat("data:\n\n", 1<<10) }},
		"the same chunk without end":     {part: func(int) string { return "id: 1\ndata: {}\n\n" }},
		"chunks after a missing one":     {part: func(n int) string { return fmt.Sprintf("id: %d\ndata: {\"x\":%q}\n\n", n+1, strings.Repeat(block, 16)) }},
		"refusal without end":            {status: http.StatusBadRequest, part: func(int) string { return block }},
		"error response without end":     {status: http.StatusInternalServerError, part: func(int) string { return block }},
		"chunks without text, unbounded": {part: func(int) string { return "data:{}\n\n" }},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			e := &endless{status: http.StatusOK, part: x.part}
			if x.status != 0 {
				e.status = x.status
			}
			r := &engineRun{g: &Gateway{d: Deps{Caller: e}}, response: newAssembler(), ran: result.NotRun, sink: &discard{}}
			err := r.tryConnection(t.Context(), catalog.Upstream{Name: "u"}, false, &routing.Report{})
			require.Equal(t, result.UpstreamBroken, result.Of(err).Code, "%v after %d bytes", err, e.sent)
			require.NotEqual(t, result.NotRun, r.ran)
			require.True(t, e.closed)
			require.Less(t, e.sent, maxChunks*len("data:{}\n\n")+1<<20)
		})
	}
}

// TestRepeatedChunksAreNoFault lets an engine that ignores the header for a resume send all chunks again.
func TestRepeatedChunksAreNoFault(t *testing.T) {
	const chunks = 10_000
	r := &engineRun{g: &Gateway{}, response: newAssembler(), sink: &discard{}}
	var b strings.Builder
	for n := range chunks {
		v := chunk(n+1, fmt.Sprint(n))
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", v.Number, v.Data)
	}
	err := r.relay(newEventReader(strings.NewReader(b.String())), &routing.Report{})
	require.Equal(t, result.UpstreamBroken, result.Of(err).Code, "it breaks off")
	v := chunk(chunks+1, "")
	fmt.Fprintf(&b, "id: %d\ndata: %s\n\ndata: [DONE]\n\n", v.Number, v.Data)
	require.NoError(t, r.relay(newEventReader(io.MultiReader(strings.NewReader(": wait\n\n"), strings.NewReader(b.String()))), &routing.Report{}))
	require.Equal(t, chunks+1, r.sink.(*discard).chunks)
}

// TestBrokenRefusalIsNotForwarded guards against a refusal of an engine that is none, or that was cut while the request was written, and reaches the
// caller; a refusal with a length does.
func TestBrokenRefusalIsNotForwarded(t *testing.T) {
	for name, x := range map[string]struct {
		text      string
		forwarded bool
	}{
		"status below 100":  {text: "HTTP/1.1 099 x\r\nContent-Length: 8\r\n\r\nno, why?"},
		"protocol switch":   {text: "HTTP/1.1 101 x\r\n\r\nno, why?"},
		"name with a blank": {text: "HTTP/1.1 400 x\r\nContent-Length : 8\r\n\r\nno, why?"},
		"cut":               {text: "HTTP/1.1 400 x\r\n\r\nno, "},
		"length":            {text: "HTTP/1.1 400 x\r\nContent-Length: 8\r\n\r\nno, why?", forwarded: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := upstream.New(network.New())
			defer c.Close()
			w := httptest.NewRecorder()
			r := &engineRun{g: &Gateway{d: Deps{Caller: c}}, response: newAssembler(), ran: result.NotRun, sink: newStreamSink(w), path: "/", body: make([]byte, 4<<20)}
			err := r.tryConnection(t.Context(), catalog.Upstream{Name: "u", Address: rawupstream.Serve(t, x.text, 1)}, false, &routing.Report{})
			if x.forwarded {
				require.ErrorAs(t, err, &errForwarded{})
				require.Equal(t, "no, why?", w.Body.String())
				return
			}
			require.Equal(t, result.UpstreamBroken, result.Of(err).Code, "%v", err)
			require.Empty(t, w.Body.String())
			require.NotEqual(t, result.NotRun, r.ran)
		})
	}
}
