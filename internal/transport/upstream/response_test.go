package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/placement"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/order"
	"snipetack/internal/state/result"
	"snipetack/internal/testing/fakenet"
	"snipetack/internal/testing/rawupstream"
	"snipetack/internal/transport/network"
	"snipetack/internal/transport/upstream"
)

// sound is a complete response.
const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// withResponses calls f with a Client of an upstream that answers the requests of all connections with the texts in turn and keeps the connections
// open.
func withResponses(t *testing.T, texts []string, f func(c *upstream.Client, u catalog.Upstream)) {
	synctest.Test(t, func(t *testing.T) {
		n := fakenet.New(1, fakenet.Link{Delay: time.Millisecond})
		defer n.Close()
		l, err := n.Host("10.0.0.2").Listen("10.0.0.2:80")
		require.NoError(t, err)
		defer l.Close()
		next := make(chan string, len(texts))
		for _, s := range texts {
			next <- s
		}
		close(next)
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go respondInTurn(c, next)
			}
		}()
		c := upstream.New(n.Host("10.0.0.1"))
		defer c.Close()
		f(c, catalog.Upstream{Name: "u", Address: "10.0.0.2:80"})
	})
}

func respondInTurn(c net.Conn, next <-chan string) {
	defer c.Close()
	b := make([]byte, 64<<10)
	for {
		if _, err := c.Read(b); err != nil {
			return
		}
		if _, err := io.WriteString(c, <-next); err != nil {
			return
		}
	}
}

// get makes a call and returns the body of the response.
func get(c *upstream.Client, u catalog.Upstream) (string, error) {
	r, err := c.Do(context.Background(), upstream.Call{Upstream: u, Method: http.MethodGet, Path: "/", ProgressTimeout: time.Second})
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return string(b), err
}

// requireBroken answers a call with a text, on a new connection and on one that served another call: it must fail as one that may have run, and the
// next call must be served.
func requireBroken(t *testing.T, text string) {
	for _, earlier := range []int{0, 1} {
		texts := []string{text, sound}
		if earlier == 1 {
			texts = []string{sound, text, sound}
		}
		withResponses(t, texts, func(c *upstream.Client, u catalog.Upstream) {
			for range earlier {
				b, err := get(c, u)
				require.NoError(t, err)
				require.Equal(t, "ok", b)
				time.Sleep(10 * time.Millisecond)
			}
			b, err := get(c, u)
			require.Error(t, err, "got the body %q", b)
			require.Equal(t, result.UpstreamBroken, result.Of(err).Code)
			require.NotEqual(t, result.NotRun, result.Of(err).Ran)
			time.Sleep(10 * time.Millisecond)
			b, err = get(c, u)
			require.NoError(t, err, "the connection is used again")
			require.Equal(t, "ok", b)
		})
	}
}

// TestStatusOutOfPlaceIsNoResponse guards against a response whose status no final response has, or that switches to a protocol that no call asks for.
func TestStatusOutOfPlaceIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 OK", "000", "099 x", "+99 x", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			requireBroken(t, "HTTP/1.1 "+status+"\r\nContent-Length: 5\r\n\r\ninner")
			requireBroken(t, "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n"+sound)
			requireBroken(t, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+"\r\n\r\n"+sound)
		})
	}
}

// TestOrderWithoutResponseIsUnknown guards against an order that counts as done by a response with a status that no final response has.
func TestOrderWithoutResponseIsUnknown(t *testing.T) {
	for _, status := range []string{"000 OK", "101 Switching Protocols"} {
		withResponses(t, []string{"HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n"}, func(c *upstream.Client, u catalog.Upstream) {
			require.Equal(t, placement.Unknown, c.Order(context.Background(), u, order.Intent{}), status)
		})
	}
}

// TestFieldNameThatIsNoTokenIsNoResponse guards against a field in a head or a trailer whose name is no token: net/http keeps one with a blank, and
// does not see a length or chunks that it announces.
func TestFieldNameThatIsNoTokenIsNoResponse(t *testing.T) {
	for _, field := range []string{"X-A b: c", "X-A : b", "Content-Length : 2", "Content Length: 2", "Transfer-Encoding : chunked", "X-\x01A: b", "X-A\t: b"} {
		t.Run(field, func(t *testing.T) {
			requireBroken(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 2\r\n\r\nok")
			requireBroken(t, "HTTP/1.1 200 OK\r\n"+field+"\r\nContent-Length: 0\r\n\r\n"+sound)
			requireBroken(t, "HTTP/1.1 103 Early Hints\r\n"+field+"\r\n\r\n"+sound)
			requireBroken(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+field+"\r\n\r\n")
		})
	}
}

// TestUnframedResponseToAnUploadThatIsCutIsBroken guards against a part of a body that counts as the whole: the response has neither a length nor
// chunks, and the connection ends while the request is being written.
func TestUnframedResponseToAnUploadThatIsCutIsBroken(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusBadRequest} {
		for _, read := range []int{1, 100 << 10} {
			t.Run(fmt.Sprintf("status %d after %d bytes", status, read), func(t *testing.T) {
				_, b, err := upload(t, fmt.Sprintf("HTTP/1.1 %d x\r\n\r\na part of it", status), read, 4<<20)
				require.Error(t, err, "got the body %q", b)
				require.Equal(t, result.UpstreamBroken, result.Of(err).Code)
				require.NotEqual(t, result.NotRun, result.Of(err).Ran)
			})
		}
	}
}

// TestResponseToAnUploadIsWhole lets an upstream answer before it has read the request, with a length or chunks, and after it without either.
func TestResponseToAnUploadIsWhole(t *testing.T) {
	const size = 4 << 20
	for name, x := range map[string]struct {
		text string
		read int
	}{
		"length":  {text: "HTTP/1.1 413 x\r\nContent-Length: 8\r\n\r\nno, why?", read: 1},
		"chunks":  {text: "HTTP/1.1 413 x\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nno, why?\r\n0\r\n\r\n", read: 1},
		"neither": {text: "HTTP/1.1 413 x\r\n\r\nno, why?", read: size},
	} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				status, b, err := upload(t, x.text, x.read, size)
				require.NoError(t, err)
				require.Equal(t, http.StatusRequestEntityTooLarge, status)
				require.Equal(t, "no, why?", b)
			}
		})
	}
}

// upload sends a request with a body to an upstream that answers with a text after it has read so many bytes of the body; it returns the status and body
// of the response.
func upload(t *testing.T, text string, read, size int) (int, string, error) {
	c := upstream.New(network.New())
	defer c.Close()
	u := catalog.Upstream{Name: "u", Address: rawupstream.Serve(t, text, int64(read))}
	r, err := c.Do(t.Context(), upstream.Call{Upstream: u, Method: http.MethodPost, Path: "/", Body: make([]byte, size), ProgressTimeout: 5 * time.Second})
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}
