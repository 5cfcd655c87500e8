package httpconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/transport/httpconn"
	"snipetack/internal/transport/network"
)

// endings are ways in which an upstream ends a connection within a response.
func endings() map[string]func(c *net.TCPConn) {
	return map[string]func(c *net.TCPConn){
		"closed":      func(c *net.TCPConn) { _ = c.Close() },
		"half-closed": func(c *net.TCPConn) { _ = c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			_ = c.Close()
		},
	}
}

// cutServer answers the first request of a connection with first, unless that is "", and the next with prefix and response, which it ends after cut bytes.
type cutServer struct {
	first, prefix, response string
	cut                     int
	end                     func(c *net.TCPConn)
}

func (s *cutServer) serve(l net.Listener) {
	n, err := l.Accept()
	if err != nil {
		return
	}
	c := n.(*net.TCPConn)
	if s.first != "" {
		_, _ = c.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(c, s.first)
	}
	_, _ = c.Read(make([]byte, 4<<10))
	_, _ = io.WriteString(c, s.prefix+s.response[:s.cut/2])
	time.Sleep(100 * time.Microsecond) // the rest comes in a packet of its own
	_, _ = io.WriteString(c, s.response[s.cut/2:s.cut])
	s.end(c)
}

// ask makes a request and returns the status and body of the response; an error means that it is not complete.
func ask(t *testing.T, p *httpconn.Pool, to, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r := &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}}
	a, err := p.Do(ctx, to, r, nil, func(a *http.Response, fresh bool) bool {
		return a.Header.Get("Id") == id || a.Header.Get("Id") == "" && fresh
	})
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// TestResponseCutAtAnyByteIsAnError guards against a response that breaks off within its head, or its framed body, and counts as complete: on new
// and used connections, after interim responses and after one to an earlier request.
func TestResponseCutAtAnyByteIsAnError(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: b\r\nX-Folded: a,\r\n b\r\n"
	responses := map[string]string{
		"length":  head + "Content-Length: 12\r\n\r\ntwelve bytes",
		"chunks":  head + "Transfer-Encoding: chunked\r\n\r\n6\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n",
		"neither": head + "\r\n",
		"no id":   "HTTP/1.0 200 OK\nContent-Length: 2\n\nok",
	}
	earlier := okResponse("a")
	before := map[string]struct{ first, prefix string }{
		"new connection":             {},
		"used connection":            {first: earlier},
		"after interim responses":    {first: earlier, prefix: "HTTP/1.1 103 x\r\n\r\nHTTP/1.1 102 x\r\nId: b\r\n\r\n"},
		"after an earlier one again": {first: earlier, prefix: earlier},
	}
	for framing, response := range responses {
		for name, x := range before {
			for ending, end := range endings() {
				if framing == "no id" && x.first != "" {
					continue // not a response to the request there
				}
				t.Run(fmt.Sprintf("%s, %s, %s", framing, name, ending), func(t *testing.T) {
					for cut := range len(response) + 1 {
						if cut == 0 && x.first != "" || cut == len(response) && ending == "reset" {
							continue
						}
						l, err := network.New().Listen("127.0.0.1:0")
						require.NoError(t, err)
						s := &cutServer{first: x.first, prefix: x.prefix, response: response, cut: cut, end: end}
						go s.serve(l)
						p := httpconn.New(network.New())
						to := l.Addr().String()
						if x.first != "" {
							_, b, err := ask(t, p, to, "a")
							require.NoError(t, err)
							require.Equal(t, "ok", b)
						}
						status, b, err := ask(t, p, to, "b")
						require.NoError(t, l.Close())
						if cut == len(response) {
							require.NoError(t, err, "the whole response")
							require.Equal(t, http.StatusOK, status)
							continue
						}
						require.Error(t, err, "%d of %d bytes: status %d, body %q, %q", cut, len(response), status, b, response[:cut])
						require.False(t, p.Idle(to), "the connection is not used again")
					}
				})
			}
		}
	}
}

// Request bodies of uploads.
const (
	uploadBytes     = 4 << 20
	endlessUpload   = 32 << 20 // exceeds what the kernels of both ends take of it
	uploadReadBytes = 64 << 10 // buffer of the upstream's kernel
)

// answerUpload answers the first request that l gets with a text while the request is being written, after reading so many bytes of it, and ends
// the connection.
func answerUpload(l net.Listener, text string, read int, end func(c *net.TCPConn)) {
	n, err := l.Accept()
	if err != nil {
		return
	}
	c := n.(*net.TCPConn)
	_ = c.SetReadBuffer(uploadReadBytes)
	_, _ = io.ReadFull(c, make([]byte, read))
	_, _ = io.WriteString(c, text)
	time.Sleep(20 * time.Millisecond) // the caller reads the text before the connection ends
	end(c)
}

// upload sends a request with a body and returns the status and body of the response.
func upload(t *testing.T, to string, size int) (int, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	a, err := httpconn.New(network.New()).Do(ctx, to, &http.Request{Method: http.MethodPost, URL: &url.URL{Path: "/"}, Host: "h", Header: http.Header{}},
		make([]byte, size), func(*http.Response, bool) bool { return true })
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// TestUnframedResponseToAnUploadThatIsCutIsAnError guards against a part of a body that counts as the whole: without a length or chunks its end is
// that of the connection, and when the request is still being written the error of a reset goes to the writer alone.
func TestUnframedResponseToAnUploadThatIsCutIsAnError(t *testing.T) {
	for ending, end := range endings() {
		for _, read := range []int{1, 100 << 10} {
			for _, size := range []int{20_000, 60_000, 300_000, uploadBytes, endlessUpload} {
				if read > size || size < endlessUpload && ending == "half-closed" {
					continue // the request may be written whole, and no error follows
				}
				t.Run(fmt.Sprintf("%s after %d of %d bytes", ending, read, size), func(t *testing.T) {
					for range 5 {
						l, err := network.New().Listen("127.0.0.1:0")
						require.NoError(t, err)
						go answerUpload(l, "HTTP/1.1 200 OK\r\nId: x\r\n\r\na part of it", read, end)
						status, b, err := upload(t, l.Addr().String(), size)
						require.NoError(t, l.Close())
						require.Error(t, err, "got status %d and %q", status, b)
					}
				})
			}
		}
	}
}

// TestFramedResponseToAnUploadIsWhole lets an upstream answer before it has read the request: a response that says where it ends is whole.
func TestFramedResponseToAnUploadIsWhole(t *testing.T) {
	for framing, rest := range map[string]string{
		"length": "Content-Length: 8\r\n\r\nno, why?",
		"chunks": "Transfer-Encoding: chunked\r\n\r\n8\r\nno, why?\r\n0\r\n\r\n",
	} {
		for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusInternalServerError} {
			for ending, end := range endings() {
				t.Run(fmt.Sprintf("%s, %d, %s", framing, status, ending), func(t *testing.T) {
					l, err := network.New().Listen("127.0.0.1:0")
					require.NoError(t, err)
					defer l.Close()
					go answerUpload(l, fmt.Sprintf("HTTP/1.1 %d x\r\n%s", status, rest), 1, end)
					s, b, err := upload(t, l.Addr().String(), uploadBytes)
					require.NoError(t, err)
					require.Equal(t, status, s)
					require.Equal(t, "no, why?", b)
				})
			}
		}
	}
}

// TestUnframedResponseToAWholeUploadIsWhole lets an upstream read the request to its end before it answers and closes the connection at once.
func TestUnframedResponseToAWholeUploadIsWhole(t *testing.T) {
	for range 50 {
		l, err := network.New().Listen("127.0.0.1:0")
		require.NoError(t, err)
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			q, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, q.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nall of it")
		}()
		_, b, err := upload(t, l.Addr().String(), uploadBytes)
		require.NoError(t, l.Close())
		require.NoError(t, err)
		require.Equal(t, "all of it", b)
	}
}
