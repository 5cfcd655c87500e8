package vm_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
	"snipetack/internal/transport/gateway"
)

// hostileRequest is a raw request to a VM, with the expected response and number of calls at the plain service.
type hostileRequest struct {
	name     string
	raw      string // KEY stands for a caller's key
	status   int    // of the first response; zero if the connection is closed without one
	reusable bool   // the connection stays open for a further request
	calls    int
}

func hostileRequests() []hostileRequest {
	post := func(path, headers, body string) string {
		return "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\n" + headers + "\r\n" + body
	}
	const now, note = "/services/tour-app/dispatch/now", "Content-Length: 4\r\n"
	smuggled := "0\r\n\r\nPOST /services/tour-app/open/now HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
	return []hostileRequest{
		{"ordinary", post(now, note, "note"), 200, true, 1},
		{"both lengths", post(now, "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", smuggled), 200, false, 1},
		{"two lengths", post(now, "Content-Length: 4\r\nContent-Length: 5\r\n", "note"), 400, false, 0},
		{"unknown transfer coding", post(now, "Transfer-Encoding: xchunked\r\n", smuggled), 501, false, 0},
		{"folded transfer coding", post(now, "Transfer-Encoding:\r\n chunked\r\n", smuggled), 200, false, 1},
		{"space before colon", post(now, "Content-Length : 4\r\n", "note"), 400, false, 0},
		{"negative length", post(now, "Content-Length: -4\r\n", "note"), 400, false, 0},
		{"bad chunk", post(now, "Transfer-Encoding: chunked\r\n", "zz\r\nnote\r\n0\r\n\r\n"), 400, false, 0},
		{"trailer", post(now, "Transfer-Encoding: chunked\r\nTrailer: X-Api-Key\r\n", "4\r\nnote\r\n0\r\nX-Api-Key: KEY\r\n\r\n"), 400, false, 0},
		{"unannounced trailer", post(now, "Transfer-Encoding: chunked\r\n", "4\r\nnote\r\n0\r\nX-Api-Key: KEY\r\n\r\n"), 200, false, 1},
		{"upgrade", post(now, note+"Connection: upgrade\r\nUpgrade: h2c\r\n", "note"), 400, true, 0},
		{"header too large", post(now, "X-Big: "+strings.Repeat("x", 2*gateway.MaxHeader)+"\r\n", ""), 431, false, 0},
		{"body too large", post(now, fmt.Sprintf("Content-Length: %d\r\n", gateway.MaxBody+1), ""), 413, false, 0},
		{"key in the query", post(now+"?k=KEY", note, "note"), 400, true, 0},
		{"encoded key in the query", post(now+"?k=%73k%2dKEYTAIL", note, "note"), 400, true, 0},
		{"key in the path", post(now+"/KEY", note, "note"), 400, true, 0},
		{"key in a passed header", post(now, note+"Accept-Language: KEY\r\n", "note"), 400, true, 0},
		{"key in the body", post(now, "Content-Length: 64\r\n", "KEY"), 400, true, 0},
		{"key and cookie on an open route", post("/services/tour-app/open/x", note+"Cookie: k=KEY\r\nProxy-Authorization: KEY\r\n", "note"), 200, true, 1},
		{"dots out of an open route", post("/services/tour-app/open/%2e%2e/dispatch", note, "note"), 400, true, 0},
		{"encoded slashes", post("/services/tour-app/open%2f..%2fdispatch", note, "note"), 400, true, 0},
		{"encoded backslash", post("/services/tour-app/open/%5c..%5cdispatch", note, "note"), 400, true, 0},
		{"doubly encoded dots", post("/services/tour-app/open/%252e%252e/dispatch", note, "note"), 400, true, 0},
		{"absolute target", post("http://10.3.0.1:8600/dispatch", note, "note"), 404, true, 0},
		{"trace", "TRACE " + now + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer KEY\r\n\r\n", 405, true, 0},
		{"connect", "CONNECT 10.3.0.1:8600 HTTP/1.1\r\nHost: 10.3.0.1:8600\r\n\r\n", 404, true, 0},
		{"no key", "POST " + now + " HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nnote", 401, true, 0},
		{"half a header", "POST " + now + " HTTP/1.1\r\nHost: x\r\nX-Slow: a", 0, false, 0},
		{"half a body", post(now, "Content-Length: 400\r\n", "note"), 400, false, 0},
		{"half a body without a key", "POST " + now + " HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\nnote", 401, false, 0},
		{"nothing", "", 0, false, 0},
	}
}

// TestHostileRequestsAreRefused sends malformed, smuggled, incomplete and oversized requests, and requests with a key
// where none belongs. It checks the response, that every connection is closed within its idle timeout, and that the
// upstream gets the expected calls only and never a key.
func TestHostileRequestsAreRefused(t *testing.T) {
	for _, h := range hostileRequests() {
		t.Run(h.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runHostile(t, h) })
		})
	}
}

func runHostile(t *testing.T, h hostileRequest) {
	const limit = 2*time.Minute + 20*time.Second // the idle timeout of a connection, with a margin
	f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1, Plains: 1})
	defer f.Close()
	k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})[0]
	v, _ := f.Settings.VM("entry-1")
	c, err := f.Net.Host(fleet.CallerIP).Dial(context.Background(), v.Callers)
	require.NoError(t, err)
	defer c.Close()
	raw := strings.ReplaceAll(h.raw, "KEYTAIL", strings.TrimPrefix(k, "sk-"))
	go func() { _, _ = io.WriteString(c, strings.ReplaceAll(raw, "KEY", k)) }()
	start := time.Now()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(2*limit)))
	r := bufio.NewReader(c)
	if h.status != 0 {
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err)
		b, err := io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, h.status, a.StatusCode, string(b))
		require.NotContains(t, string(b), k)
		require.Equal(t, h.reusable, !a.Close, "whether the connection stays open")
	}
	_, err = r.ReadByte()
	require.Error(t, err, "an unexpected second response")
	require.Less(t, time.Since(start), limit)
	require.Len(t, f.Plains[0].Calls(), h.calls)
	for _, l := range f.Plains[0].Calls() {
		require.NotContains(t, fmt.Sprint(l), k)
	}
}

// TestSlowCallerIsDisconnected checks that the stream of a caller which reads nothing is cancelled when a write to it
// times out, so that the caller does not hold memory or an engine's slot for longer.
func TestSlowCallerIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})[0]
		v, _ := f.Settings.VM("entry-1")
		c, err := f.Net.Host(fleet.CallerIP).Dial(context.Background(), v.Callers)
		require.NoError(t, err)
		defer c.Close()
		require.NoError(t, f.Chat(context.Background(), "entry-1", k, "long", 1_000_000, true).Write(c))
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, f.Engines[0].Load().Running)
		f.Await(40*time.Second, "the engine's slot released", func() bool { return f.Engines[0].Load().Running == 0 })
		require.Equal(t, 1, f.Engines[0].Stats().Cancelled)
	})
}

// TestIdempotencyKeyIsBoundToOneBody checks that a repeated request gets the first response through another VM too,
// that the same key with another body is refused, and that keys of different accounts are independent.
func TestIdempotencyKeyIsBoundToOneBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 3, Entries: 2, Engines: 1, Plains: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1},
			catalog.Account{Name: "fitters", Rate: 10, Burst: 10, Weight: 1})
		send := func(vm, key, body string) (int, string) {
			q, err := http.NewRequest(http.MethodPost, f.URL(vm, "/services/tour-app/dispatch/now"), strings.NewReader(body))
			require.NoError(t, err)
			q.Header.Set("Authorization", "Bearer "+key)
			q.Header.Set("Idempotency-Key", "crew-7")
			a, err := f.Client().Do(q)
			require.NoError(t, err)
			defer a.Body.Close()
			b, err := io.ReadAll(a.Body)
			require.NoError(t, err)
			return a.StatusCode, string(b)
		}
		status, first := send("entry-1", k[0], "note")
		require.Equal(t, http.StatusOK, status, first)
		status, again := send("entry-2", k[0], "note")
		require.Equal(t, http.StatusOK, status, again)
		require.Equal(t, first, again)
		status, other := send("entry-2", k[0], "another note")
		require.Equal(t, http.StatusConflict, status, other)
		require.Contains(t, other, "idempotency_clash")
		status, foreign := send("entry-2", k[1], "another note")
		require.Equal(t, http.StatusOK, status, foreign)
		require.Len(t, append(f.Plains[0].Calls(), f.Plains[1].Calls()...), 2)
	})
}

// TestPlannedStopWaitsForALongStream checks that a planned stop lets a stream finish that takes nearly as long as its
// service allows.
func TestPlannedStopWaitsForALongStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := engine.DefaultSettings()
		e.StepBase = 20 * time.Millisecond
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1, Engine: e})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})
		const tokens = 2500 // 50 s of the 60 s that the service allows
		x := exchange{kind: "stream"}
		var caller sync.WaitGroup
		caller.Go(func() {
			r, err := f.Client().Do(f.Chat(context.Background(), "entry-1", k[0], "long", tokens, true))
			require.NoError(t, err)
			defer r.Body.Close()
			require.NoError(t, x.read(r))
		})
		time.Sleep(time.Second)
		start := time.Now()
		require.NoError(t, f.Stop("entry-1"))
		require.Greater(t, time.Since(start), 45*time.Second)
		caller.Wait()
		require.Equal(t, engine.Answer("user long\n", tokens), x.text)
		require.True(t, x.ended)
	})
}

// TestLostSequenceIsRerunOnTheOnlyEngine checks that a caller gets the complete text although the only engine cuts the
// stream and has lost the sequence, so that a resume fails and the request must be run there again from the start.
func TestLostSequenceIsRerunOnTheOnlyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "drivers", Rate: 10, Burst: 10, Weight: 1})
		f.Engines[0].SetFaults(engine.Faults{CutAfter: 5, Forget: true})
		var repair sync.WaitGroup
		repair.Go(func() {
			f.Await(10*time.Second, "a resume", func() bool { return len(f.Engines[0].Arrivals()) > 1 })
			f.Engines[0].SetFaults(engine.Faults{Forget: true})
		})
		x := exchange{kind: "stream"}
		r, err := f.Client().Do(f.Chat(context.Background(), "entry-1", k[0], "again", 20, true))
		require.NoError(t, err)
		defer r.Body.Close()
		require.NoError(t, x.read(r))
		require.Equal(t, engine.Answer("user again\n", 20), x.text)
		require.True(t, x.ended)
		repair.Wait()
		require.GreaterOrEqual(t, len(f.Engines[0].Arrivals()), 3, "the first run, the failed resume and the run from the start")
	})
}

// TestOperatorWithAnEndlessBodyKeepsNoConnection guards against clients of the operators' port, which may be strangers, that
// hold a connection forever with a body that never ends.
func TestOperatorWithAnEndlessBodyKeepsNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 1, Engines: 1})
		defer f.Close()
		time.Sleep(time.Second) // until it listens
		v, _ := f.Settings.VM("entry-1")
		c, err := f.Net.Host(fleet.CallerIP).Dial(context.Background(), v.Operators)
		require.NoError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "POST /operator/v1/changes HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
		require.NoError(t, err)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(3*time.Minute)))
		_, err = io.Copy(io.Discard, c)
		require.NoError(t, err, "the connection is still open")
	})
}
