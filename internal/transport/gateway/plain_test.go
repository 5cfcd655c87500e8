package gateway

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPlainResponseCutAtAnyByteIsRefused guards against a response of a plain service that breaks off within its head or body and is forwarded as complete.
func TestPlainResponseCutAtAnyByteIsRefused(t *testing.T) {
	request, err := http.NewRequest(http.MethodPost, "http://h/", nil)
	require.NoError(t, err)
	for _, body := range []string{`{"id":12,"list":[1,2]}`, `[true,null]`, `"text"`, `1234`, `-12.5e3`, `false`} {
		for _, framing := range []string{fmt.Sprintf("Content-Length: %d\r\n", len(body)), ""} {
			whole := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + framing + "\r\n" + body
			for cut := range whole {
				r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(whole[:cut])), request)
				if err != nil {
					continue
				}
				p := &plainResponse{Response: r}
				require.Error(t, p.readPrefix(), "%q of %q", p.prefix, body)
				require.NoError(t, r.Body.Close())
			}
		}
	}
}
