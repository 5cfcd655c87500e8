package rawupstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/transport/network"
)

// closeDelay is the time in which a caller reads a response before its connection ends.
const closeDelay = 20 * time.Millisecond

// Serve answers each request, on a connection of its own, with a text after it has read so many bytes of the request's body, and closes the
// connection. It returns its address and stops at the end of the test.
func Serve(t *testing.T, text string, read int64) string {
	l, err := network.New().Listen("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, text, read)
		}
	}()
	return l.Addr().String()
}

func answer(c net.Conn, text string, read int64) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, q.Body, read)
	_, _ = io.WriteString(c, text)
	time.Sleep(closeDelay)
}
