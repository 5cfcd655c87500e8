package batches

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/testing/rawupstream"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/upstream"
)

// maxEndless is how many bytes an endless response sends before it stalls.
const maxEndless = 256 << 20

// endless is an upstream whose responses consist of parts without end.
type endless struct {
	status int
	part   func(n int) string // n counts from 1 on each connection
	pause  time.Duration      // before each part
	conns  int
	sent   int // bytes, over all connections
	open   int // connections
}

func (e *endless) Do(ctx context.Context, c upstream.Call) (*http.Response, error) {
	if c.Method == http.MethodDelete {
		return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
	}
	e.conns++
	e.open++
	return &http.Response{StatusCode: e.status, Body: &endlessBody{ctx: ctx, e: e}}, nil
}

type endlessBody struct {
	ctx  context.Context //nolint:containedctx // its end fails Read, as with a connection
	e    *endless
	n    int
	rest string
}

func (b *endlessBody) Read(x []byte) (int, error) {
	if b.e.sent >= maxEndless {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	if b.rest == "" {
		select {
		case <-time.After(b.e.pause):
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
		b.n++
		b.rest = b.e.part(b.n)
	}
	n := copy(x, b.rest)
	b.rest = b.rest[n:]
	b.e.sent += n
	return n, nil
}

func (b *endlessBody) Close() error {
	b.e.open--
	return nil
}

type emptyCopy struct{}

func (emptyCopy) Current() *catalog.Configuration { return catalog.NewConfiguration() }

// TestResponseWithoutEndEndsTheRun lets an upstream send bytes without end that complete no response. The run must end although
// an item has no deadline, and its response must stay small.
func TestResponseWithoutEndEndsTheRun(t *testing.T) {
	block := strings.Repeat("x", 32<<10)
	chunk := func(n int, text string) string {
		return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", n, text)
	}
	table := map[string]struct {
		status int
		plain  bool // the item's response is not streamed
		part   func(n int) string
		pause  time.Duration
		end    batch.End
	}{
		"garbage without a line end":      {part: func(int) string { return block }},
		"garbage lines":                   {part: func(int) string { return block + "\n" }},
		"comments without end":            {part: func(int) string { return strings.Repeat(": wait\n\n", 4<<10) }},
		"the same chunk without end":      {part: func(int) string { return chunk(1, block) }},
		"chunks without end":              {part: func(n int) string { return chunk(n, block) }},
		"chunks without text or end":      {part: func(int) string { return strings.Repeat("data:{}\n\n", 4<<10) }},
		"chunks after a missing one":      {part: func(n int) string { return chunk(n+1, block) }},
		"small chunks after a missing":    {part: func(n int) string { return fmt.Sprintf("id: %d\ndata: {}\n\n", n+1) }},
		"body without end":                {plain: true, part: func(int) string { return block }},
		"error response without end":      {status: http.StatusBadRequest, part: func(int) string { return block }, end: batch.Failed},
		"slow garbage without a line end": {part: func(int) string { return "x" }, pause: time.Second},
		"slow comments without end":       {part: func(int) string { return ": wait\n\n" }, pause: time.Second},
		"slow repetition of a chunk":      {part: func(int) string { return chunk(1, "x") }, pause: time.Second},
		"slow body without end":           {plain: true, part: func(int) string { return " " }, pause: time.Second},
	}
	for name, x := range table {
		t.Run(name, func(t *testing.T) {
			e := &endless{status: http.StatusOK, part: x.part, pause: x.pause}
			if x.status != 0 {
				e.status = x.status
			}
			task := batch.Task{Job: ledger.Job{ID: "j", Endpoint: chatPath}, Body: []byte(`{"model":"m"}`)}
			if x.plain {
				task.Body = []byte(`{"model":"m","n":2}`)
			}
			var got batch.Ending
			var took time.Duration
			synctest.Test(t, func(*testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Hour)
				defer cancel()
				began := time.Now()
				got = NewRunner(e, emptyCopy{}, nil).Run(ctx, catalog.Upstream{Name: "u"}, task)
				took = time.Since(began)
			})
			want := batch.Broken
			if x.end != 0 {
				want = x.end
			}
			require.Equal(t, want, got.End, "after %s and %d bytes", took, e.sent)
			require.Less(t, took, time.Hour)
			require.Less(t, e.sent, maxStalls*(maxWithoutChunks+maxStreamLine)+2*maxResponse)
			require.Less(t, len(got.Line), 1<<20)
			require.Zero(t, e.open, "connections are closed")
		})
	}
}

// TestSlowStreamFinishes sends comments for five minutes and then a chunk a second, every two in reverse order.
func TestSlowStreamFinishes(t *testing.T) {
	const comments, chunks = 300, 1000
	e := &endless{status: http.StatusOK, pause: time.Second, part: func(n int) string {
		switch k := n - comments; {
		case k <= 0:
			return ": wait\n\n"
		case k <= chunks:
			return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n", k+2*(k%2)-1)
		default:
			return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", chunks+1)
		}
	}}
	var got batch.Ending
	synctest.Test(t, func(t *testing.T) {
		got = NewRunner(e, emptyCopy{}, nil).Run(t.Context(), catalog.Upstream{Name: "u"}, batch.Task{Job: ledger.Job{Endpoint: chatPath}, Body: []byte("{}")})
	})
	require.Equal(t, batch.Finished, got.End)
	require.Contains(t, string(got.Line), strings.Repeat("x", chunks))
	require.Equal(t, 1, e.conns)
}

// TestBrokenResponseFailsNoItem guards against an item that is given up as faulty because of a response that is none, or that was cut: its upstream
// is at fault.
func TestBrokenResponseFailsNoItem(t *testing.T) {
	const body = `{"error":"no such model"}`
	for name, text := range map[string]string{
		"status below 100":        "HTTP/1.1 000 x\r\nContent-Length: 25\r\n\r\n" + body,
		"protocol switch":         "HTTP/1.1 101 x\r\n\r\n" + body,
		"name with a blank":       "HTTP/1.1 400 x\r\nContent-Length : 25\r\n\r\n" + body,
		"refusal that is cut":     "HTTP/1.1 400 x\r\n\r\n" + body[:10],
		"response that is no 200": "HTTP/1.1 999 x\r\nContent-Length: 25\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			c := upstream.New(network.New())
			defer c.Close()
			task := batch.Task{Job: ledger.Job{ID: "j", Endpoint: chatPath}, Body: fmt.Appendf(nil, `{"n":2,"model":%q}`, strings.Repeat("m", 4<<20))}
			e := NewRunner(c, emptyCopy{}, nil).Run(t.Context(), catalog.Upstream{Name: "u", Address: rawupstream.Serve(t, text, 1)}, task)
			require.Equal(t, batch.Broken, e.End, "%s", e.Line)
		})
	}
}
