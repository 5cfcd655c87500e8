package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/transport/operator"
)

// endlessBody is a response that has no end.
type endlessBody struct{ read int }

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.read > 1<<30 {
		return 0, io.ErrUnexpectedEOF
	}
	b.read += len(p)
	return len(p), nil
}

func (b *endlessBody) Close() error { return nil }

// roundTrip is a transport that returns the same body for each request.
type roundTrip struct{ body *endlessBody }

func (t roundTrip) RoundTrip(q *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	r := w.Result()
	r.Body, r.Request, r.ContentLength = t.body, q, -1
	return r, nil
}

// TestEndlessResponseIsNotRead guards against a VM that fills the memory of an operator's tool with a response.
func TestEndlessResponseIsNotRead(t *testing.T) {
	b := &endlessBody{}
	c := operator.NewClient("10.0.0.1:1", "token", &http.Client{Transport: roundTrip{b}})
	var to struct{}
	require.ErrorContains(t, c.Get(t.Context(), "/", &to), "longer than")
	require.Less(t, b.read, 256<<20)
}
