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

// requireBadResponse answers a request with a text, on a new connection and on a used one: the request must fail with a BadResponse, and must not be
// sent again.
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

// badNames are fields whose names are no token (RFC 9110, 5.6.2), or no field at all.
func badNames() []string {
	return []string{"X-A b: c", "X-A : b", "X A : b", "X-A\t: b", "Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "X-A\r\n b: c",
		"X-\x01A: b", "X-\x00A: b", "X-\x7fA: b", "X-A\r: b", "X-\x80A: b", "X(A): b", ": b", "no colon"}
}

// TestFieldNameThatIsNoTokenIsNoResponse guards against a field whose name is no token: net/http keeps one with a blank, and does not see a length or
// chunks that it announces.
func TestFieldNameThatIsNoTokenIsNoResponse(t *testing.T) {
	for _, field := range badNames() {
		t.Run(field, func(t *testing.T) {
			const start = "HTTP/1.1 200 OK\r\nId: x\r\n"
			requireBadResponse(t, start+field+"\r\n\r\nok")
			requireBadResponse(t, start+field+"\r\nContent-Length: 2\r\n\r\nok")
			requireBadResponse(t, start+"Content-Length: 2\r\n"+field+"\r\n\r\nok")
			requireBadResponse(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+okResponse("x"))
			requireBadResponse(t, "HTTP/1.1 200 OK\r\nId: y\r\nContent-Length: 2\r\n"+field+"\r\n\r\nok"+okResponse("x"))
		})
	}
}

// TestTrailerNameThatIsNoTokenIsNoEnd guards against a body that counts as complete though its trailer section is none.
func TestTrailerNameThatIsNoTokenIsNoEnd(t *testing.T) {
	for _, field := range badNames() {
		t.Run(field, func(t *testing.T) {
			for id, next := range map[string]string{"x": "", "y": okResponse("x")} { // y is that of an earlier request
				u := &upstream{respond: write("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s\r\n\r\n%s", id, field, next)}
				withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
					b, err := do(p, "x", 0)
					require.Error(t, err, "got the body %q", b)
					require.False(t, p.Idle(address))
				})
			}
		})
	}
}

// TestFieldsThatAreSound sends heads that look odd but are valid: the response is read.
func TestFieldsThatAreSound(t *testing.T) {
	for _, field := range []string{"X-A:b", "X-A:\t b \t", "x!#$%&'*+-.^_`|~9: b", "X-Folded: a,\r\n b", "X-Empty:", "X-Obs: \x80"} {
		u := &upstream{respond: write("HTTP/1.1 200 OK\r\nId: x\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n%s\r\n\r\n", field, field)}
		withUpstream(t, u, func(p *httpconn.Pool, _ *fakenet.Net) {
			for range 2 {
				b, err := do(p, "x", 0)
				require.NoError(t, err, "%q", field)
				require.Equal(t, "ok", b)
			}
			require.Equal(t, 1, u.conns, "the connection is used again")
		})
	}
}
