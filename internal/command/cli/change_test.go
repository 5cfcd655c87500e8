package cli

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEndlessResponseToAChangeIsNotRead guards against an address that fills the memory of an operator's machine.
func TestEndlessResponseToAChangeIsNotRead(t *testing.T) {
	sent := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for sent < 1<<28 {
			n, err := w.Write(make([]byte, 1<<20))
			if err != nil {
				return
			}
			sent += n
		}
	}))
	file := filepath.Join(t.TempDir(), "token")
	require.NoError(t, os.WriteFile(file, []byte("token"), 0o600))
	f := operatorFlags{Operator: strings.TrimPrefix(s.URL, "http://"), TokenFile: file}
	_, err := f.call(&environment{ctx: t.Context()}, http.MethodPost, "/", nil)
	s.Close()
	require.ErrorContains(t, err, "longer than")
	require.Less(t, sent, 1<<27)
}
