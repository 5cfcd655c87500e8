package vm_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/standin/engine"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/fleet"
)

// caller is a client of a fleet's files and batches API with the key of one account.
type caller struct {
	f    *fleet.Fleet
	http *http.Client
	key  string
}

type batchView struct {
	ID           string                                 `json:"id"`
	Status       string                                 `json:"status"`
	OutputFileID string                                 `json:"output_file_id"`
	ErrorFileID  string                                 `json:"error_file_id"`
	Counts       struct{ Total, Completed, Failed int } `json:"request_counts"`
}

func newCaller(f *fleet.Fleet, key string) *caller {
	return &caller{f: f, http: f.Client(), key: key}
}

// do sends a request and returns the status and body of the response, or status 0 if the connection fails.
func (c *caller) do(method, vm, path string, body io.Reader, header ...string) (int, []byte) {
	q, err := http.NewRequestWithContext(c.f.T.Context(), method, c.f.URL(vm, path), body)
	require.NoError(c.f.T, err)
	q.Header.Set("Authorization", "Bearer "+c.key)
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	r, err := c.http.Do(q)
	if err != nil {
		return 0, nil
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, nil
	}
	return r.StatusCode, b
}

func (c *caller) upload(vm, lines string, header ...string) (int, []byte) {
	var b bytes.Buffer
	m := multipart.NewWriter(&b)
	_ = m.WriteField("purpose", "batch")
	p, err := m.CreateFormFile("file", "items.jsonl")
	require.NoError(c.f.T, err)
	_, _ = p.Write([]byte(lines))
	_ = m.Close()
	return c.do("POST", vm, "/v1/files", &b, append(header, "Content-Type", m.FormDataContentType())...)
}

// start uploads a file and creates a job from it; the headers go with the creation.
func (c *caller) start(vm, lines string, header ...string) batchView {
	s, b := c.upload(vm, lines)
	require.Equal(c.f.T, http.StatusOK, s, string(b))
	var f struct{ ID string }
	require.NoError(c.f.T, json.Unmarshal(b, &f))
	return c.create(vm, f.ID, header...)
}

func (c *caller) create(vm, file string, header ...string) batchView {
	body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, file)
	s, b := c.do("POST", vm, "/v1/batches", strings.NewReader(body), header...)
	require.Equal(c.f.T, http.StatusOK, s, string(b))
	return c.view(b)
}

func (c *caller) view(b []byte) batchView {
	var v batchView
	require.NoError(c.f.T, json.Unmarshal(b, &v), string(b))
	return v
}

// await waits until a job has a status and returns the job.
func (c *caller) await(vm, id string, limit time.Duration, status string) batchView {
	var v batchView
	c.f.Await(limit, "job "+status, func() bool {
		s, b := c.do("GET", vm, "/v1/batches/"+id, nil)
		if s != http.StatusOK {
			return false
		}
		v = c.view(b)
		return v.Status == status
	})
	return v
}

// results returns the text or error code of each result in a results file by custom id, and fails if an item has two.
func (c *caller) results(vm, file string) map[string]string {
	s, b := c.do("GET", vm, "/v1/files/"+file+"/content", nil)
	require.Equal(c.f.T, http.StatusOK, s, string(b))
	m := map[string]string{}
	for l := range strings.Lines(string(b)) {
		var v struct {
			CustomID string `json:"custom_id"`
			Response struct {
				Body struct {
					Choices []struct{ Message struct{ Content string } }
				}
			}
			Error *struct{ Code string }
		}
		require.NoError(c.f.T, json.Unmarshal([]byte(l), &v))
		require.NotContains(c.f.T, m, v.CustomID, "two results of one item")
		switch {
		case v.Error != nil:
			m[v.CustomID] = v.Error.Code
		default:
			m[v.CustomID] = v.Response.Body.Choices[0].Message.Content
		}
	}
	return m
}

// items returns a batch input file of n items.
func items(n, tokens int, word string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"item-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":"%s %d"}]}}`+"\n",
			i, fleet.Model, tokens, word, i)
	}
	return b.String()
}

func requireAnswers(t *testing.T, got map[string]string, n, tokens int, word string) {
	t.Helper()
	require.Len(t, got, n)
	for i := range n {
		require.Equal(t, engine.Answer(fmt.Sprintf("user %s %d\n", word, i), tokens), got[fmt.Sprint("item-", i)])
	}
}

// TestBatchEndToEnd submits a job through one entry VM and reads its results through another.
func TestBatchEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 1, Keepers: 1, Entries: 2, Engines: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
		c := newCaller(f, k[0])
		j := c.start("entry-1", items(40, 20, "statement"))
		v := c.await("entry-2", j.ID, time.Minute, "completed")
		require.Equal(t, 40, v.Counts.Completed)
		requireAnswers(t, c.results("entry-2", v.OutputFileID), 40, 20, "statement")
	})
}

func TestBatchCancelStopsStreamsAndKeepsResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 2, Keepers: 1, Entries: 2, Engines: 2})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
		c := newCaller(f, k[0])
		j := c.start("entry-1", items(500, 50, "statement"))
		f.Await(time.Minute, "some results", func() bool {
			_, b := c.do("GET", "entry-1", "/v1/batches/"+j.ID, nil)
			return c.view(b).Counts.Completed >= 20
		})
		s, b := c.do("POST", "entry-2", "/v1/batches/"+j.ID+"/cancel", nil)
		require.Equal(t, http.StatusOK, s, string(b))
		v := c.await("entry-2", j.ID, 2*time.Second, "cancelled")
		admitted := f.Engines[0].Stats().Admitted + f.Engines[1].Stats().Admitted
		got := c.results("entry-2", v.OutputFileID)
		require.GreaterOrEqual(t, len(got), 20)
		require.Len(t, got, v.Counts.Completed)
		time.Sleep(5 * time.Second)
		for _, e := range f.Engines {
			require.Zero(t, e.Load().Running+e.Load().Waiting, "streams of a cancelled job still run")
		}
		require.Equal(t, admitted, f.Engines[0].Stats().Admitted+f.Engines[1].Stats().Admitted)
	})
}

// TestBatchFileWithOneBadLineIsRejected checks that no part of a file with one bad line is stored, and that the error
// names the line.
func TestBatchFileWithOneBadLineIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 3, Keepers: 1, Entries: 1, Engines: 1})
		defer f.Close()
		k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
		c := newCaller(f, k[0])
		good := items(3, 5, "statement")
		for _, x := range []struct{ line, code, detail string }{
			{"{\"custom_id\":", "file_invalid", "line 4"},
			{items(1, 5, "again"), "file_invalid", "line 4"},
			{strings.Replace(items(1, 5, "x"), "item-0", "\xff", 1), "invalid_text", "line 4"},
			{strings.Replace(items(1, 5, "x"), fleet.Model, "other", 1), "file_invalid", "line 4"},
			{strings.Replace(items(1, 5, "x"), "POST", "GET", 1), "file_invalid", "line 4"},
		} {
			s, b := c.upload("entry-1", good+x.line)
			require.Equal(t, http.StatusBadRequest, s, string(b))
			require.Contains(t, string(b), x.code)
			require.Contains(t, string(b), x.detail)
			require.Contains(t, string(b), `"ran":"not_run"`)
		}
		s, b := c.do("GET", "entry-1", "/v1/files", nil)
		require.Equal(t, http.StatusOK, s)
		require.Contains(t, string(b), `"data":[]`)
	})
}

// awaitProgress waits until at least n items of a job are completed.
func (c *caller) awaitProgress(vm, id string, n int) {
	c.f.T.Helper()
	c.f.Await(time.Minute, "progress", func() bool {
		s, b := c.do("GET", vm, "/v1/batches/"+id, nil)
		return s == http.StatusOK && c.view(b).Counts.Completed >= n
	})
}

// TestBatchJobSurvivesFaults checks that a job completes, with one correct result for each item, when VMs are lost or
// restarted or an engine fails while it runs.
func TestBatchJobSurvivesFaults(t *testing.T) {
	kill := func(vm string) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) { f.Kill(vm) }
	}
	restart := func(vm string) func(*fleet.Fleet) {
		return func(f *fleet.Fleet) {
			f.Kill(vm)
			time.Sleep(3 * time.Second)
			f.Start(vm)
		}
	}
	breakEngine := func(f *fleet.Fleet) {
		f.Engines[0].SetFaults(engine.Faults{Refuse: true})
		time.Sleep(time.Second)
		f.Engines[0].SetFaults(engine.Faults{CutAfter: 5, Reorder: true})
	}
	for i, x := range []struct {
		name   string
		faults []func(*fleet.Fleet)
	}{
		{"an entry VM dies", []func(*fleet.Fleet){kill("entry-1")}},
		{"each keeper restarts in turn", []func(*fleet.Fleet){restart("keeper-1"), restart("keeper-2"), restart("keeper-3")}},
		{"an engine breaks", []func(*fleet.Fleet){breakEngine}},
		{"a keeper and an entry VM die", []func(*fleet.Fleet){kill("keeper-2"), kill("entry-2")}},
		{"a VM is lost after the repair of another", []func(*fleet.Fleet){restart("keeper-1"), kill("keeper-2")}},
		{"an engine breaks and a keeper dies", []func(*fleet.Fleet){breakEngine, kill("keeper-1")}},
	} {
		t.Run(x.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.New(t, fleet.Shape{Seed: uint64(i), Keepers: 3, Entries: 3, Engines: 3})
				defer f.Close()
				k := f.Onboard("entry-3", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
				c := newCaller(f, k[0])
				j := c.start("entry-3", items(600, 40, "statement"), "Idempotency-Key", "evening")
				c.awaitProgress("entry-3", j.ID, 20)
				for _, g := range x.faults {
					g(f)
				}
				v := c.await("entry-3", j.ID, 3*time.Minute, "completed")
				require.Equal(t, 600, v.Counts.Completed)
				requireAnswers(t, c.results("entry-3", v.OutputFileID), 600, 40, "statement")
			})
		})
	}
}

func TestBatchNothingIsDispatchedAfterTheCancelIsCommitted(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			f := fleet.New(t, fleet.Shape{Seed: seed, Keepers: 3, Entries: 3, Engines: 3})
			defer f.Close()
			k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1})
			c := newCaller(f, k[0])
			j := c.start("entry-1", items(3000, 4, "statement"))
			c.awaitProgress("entry-1", j.ID, 100)
			s, b := c.do("POST", "entry-2", "/v1/batches/"+j.ID+"/cancel", nil)
			require.Equal(t, http.StatusOK, s, string(b))
			at := admitted(f)
			v := c.await("entry-2", j.ID, 2*time.Second, "cancelled")
			require.Less(t, v.Counts.Completed, 3000)
			time.Sleep(3 * time.Second)
			require.Equal(t, at, admitted(f), "seed %d: an item was dispatched after the cancel", seed)
		})
	}
}

// admitted returns how many requests the engines have admitted in all.
func admitted(f *fleet.Fleet) int {
	n := 0
	for _, e := range f.Engines {
		n += e.Stats().Admitted
	}
	return n
}

// TestRepeatedBatchRequestReturnsTheSameJob repeats the creation of a job through another VM: with an idempotency key,
// and without one within and after the account's resend window.
func TestRepeatedBatchRequestReturnsTheSameJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 4, Keepers: 1, Entries: 2, Engines: 1})
		defer f.Close()
		k := f.Onboard("entry-1",
			catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1, ResendWindow: 10 * time.Minute},
			catalog.Account{Name: "equals", Rate: 10, Burst: 10, Weight: 1})
		c, o := newCaller(f, k[0]), newCaller(f, k[1])
		lines := items(5, 4, "statement")
		first := c.start("entry-1", lines)
		require.Equal(t, first.ID, c.start("entry-2", lines).ID, "the same file uploaded again")
		keyed := c.start("entry-1", lines, "Idempotency-Key", "evening")
		require.NotEqual(t, first.ID, keyed.ID)
		require.Equal(t, keyed.ID, c.start("entry-2", lines, "Idempotency-Key", "evening").ID)
		require.NotEqual(t, o.start("entry-1", lines).ID, o.start("entry-1", lines).ID, "no window")
		s, b := c.upload("entry-1", items(6, 4, "other"))
		require.Equal(t, http.StatusOK, s)
		var v struct{ ID string }
		require.NoError(t, json.Unmarshal(b, &v))
		body := fmt.Sprintf(`{"input_file_id":%q,"endpoint":"/v1/chat/completions","completion_window":"24h"}`, v.ID)
		s, b = c.do("POST", "entry-1", "/v1/batches", strings.NewReader(body), "Idempotency-Key", "evening")
		require.Equal(t, http.StatusConflict, s)
		require.Contains(t, string(b), "idempotency_clash")
		time.Sleep(11 * time.Minute)
		require.NotEqual(t, first.ID, c.start("entry-1", lines).ID, "the window is over")
	})
}

func TestBatchFilesAreReadByRangeAndPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleet.New(t, fleet.Shape{Seed: 5, Keepers: 1, Entries: 1, Engines: 1, Engine: slowEngine()})
		defer f.Close()
		f.Engines[0].SetFaults(engine.Faults{FailItems: true})
		k := f.Onboard("entry-1", catalog.Account{Name: "clerks", Rate: 10, Burst: 10, Weight: 1}, catalog.Account{Name: "others", Rate: 1, Burst: 1, Weight: 1})
		c := newCaller(f, k[0])
		bad := strings.Replace(items(1, 5, "unreadable"), "item-0", "bad", 1)
		j := c.start("entry-1", items(60, 40, "statement")+bad)
		c.awaitProgress("entry-1", j.ID, 5)
		_, b := c.do("GET", "entry-1", "/v1/batches/"+j.ID, nil)
		running := c.results("entry-1", c.view(b).OutputFileID)
		require.NotEmpty(t, running, "results are readable while the job runs")
		v := c.await("entry-1", j.ID, 2*time.Minute, "completed")
		require.Equal(t, 60, v.Counts.Completed)
		require.Equal(t, 1, v.Counts.Failed)
		require.Equal(t, map[string]string{"bad": "item_failed"}, c.results("entry-1", v.ErrorFileID))
		path := "/v1/files/" + v.OutputFileID + "/content"
		_, whole := c.do("GET", "entry-1", path, nil)
		s, part := c.do("GET", "entry-1", path, nil, "Range", "bytes=1000-2999")
		require.Equal(t, http.StatusPartialContent, s)
		require.Equal(t, string(whole[1000:3000]), string(part))
		s, _ = newCaller(f, k[1]).do("GET", "entry-1", path, nil)
		require.Equal(t, http.StatusNotFound, s, "another account's file")
		seen := map[string]bool{}
		for after, more := "", true; more; {
			var l struct {
				Data    []struct{ ID string }
				LastID  string `json:"last_id"`
				HasMore bool   `json:"has_more"`
			}
			_, b := c.do("GET", "entry-1", "/v1/files?limit=1&after="+after, nil)
			require.NoError(t, json.Unmarshal(b, &l))
			require.Len(t, l.Data, 1)
			seen[l.Data[0].ID] = true
			after, more = l.LastID, l.HasMore
		}
		require.Len(t, seen, 3)
	})
}

// slowEngine returns the settings of an engine with one slot, so that a job is still running when a test reads its
// results.
func slowEngine() engine.Settings {
	s := engine.DefaultSettings()
	s.Slots = 1
	return s
}
