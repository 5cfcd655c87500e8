package httpconn_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/testing/fakenet"
	"snipetack/internal/transport/httpconn"
)

// requireBadResponse serves the second request of a connection with a text, and each on a new connection too: both must end with a BadResponse, and
// neither may be sent again.
func requireBadResponse(t *testing.T, text string) {
	for _, earlier := range []int{0, 1} {
		u := &upstream{}
		u.respond = func(c net.Conn, n int) bool {
			if n <= earlier {
				return write("%s", okResponse("x"))(c, n)
			}
			return write("%s", text)(c, n)
		}
		withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
			for range earlier {
				b, err := do(p, "x", 0)
				require.NoError(t, err)
				require.Equal(t, "ok", b)
			}
			b, err := do(p, "x", 0)
			require.ErrorAs(t, err, &httpconn.BadResponse{}, "got the body %q on a connection that served %d requests", b, earlier)
			require.NotErrorAs(t, err, &httpconn.NotSent{})
			require.False(t, p.Idle(address), "the connection is used again")
			require.Equal(t, earlier+1, u.requests, "the request was sent again")
		})
	}
}

// TestStatusBelow100IsNoResponse guards against a status below 100 that counts as an interim one: what follows it would be read as the response.
func TestStatusBelow100IsNoResponse(t *testing.T) {
	const body = "Id: x\r\nContent-Length: 5\r\n\r\ninner"
	for _, status := range []string{"000 OK", "000", "001 x", "099 x", "-00 x", "+99 x"} {
		t.Run(status, func(t *testing.T) {
			bad := "HTTP/1.1 " + status + "\r\n"
			requireBadResponse(t, bad+body)
			requireBadResponse(t, bad+body+okResponse("x"))
			requireBadResponse(t, bad+"\r\n"+okResponse("x"))
			requireBadResponse(t, bad+"Id: x\r\nContent-Length: 44\r\n\r\n"+okResponse("x"))
			requireBadResponse(t, "HTTP/1.1 103 Early Hints\r\n\r\n"+bad+"\r\n"+okResponse("x"))
			requireBadResponse(t, okResponse("y")+bad+"\r\n"+okResponse("x"))
		})
	}
}

// TestStatusOutOfRangeIsAResponse sends a status that no class has: the response is framed, and its receiver treats it as a 5xx (RFC 9110, 15).
func TestStatusOutOfRangeIsAResponse(t *testing.T) {
	u := &upstream{respond: write("HTTP/1.1 999 x\r\nId: x\r\nContent-Length: 2\r\n\r\nok")}
	withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a, err := p.Do(ctx, address, get(), nil, func(*http.Response, bool) bool { return true })
		require.NoError(t, err)
		defer a.Body.Close()
		require.Equal(t, 999, a.StatusCode)
	})
}
