package batches

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"snipetack/internal/coordination/batch"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/ledger"
)

// lastData ends a whole stream.
const lastData = "[DONE]"

// resultLine is a line of a results or errors file.
type resultLine struct {
	ID       string        `json:"id"`
	CustomID string        `json:"custom_id"`
	Response *lineResponse `json:"response"`
	Error    *lineError    `json:"error"`
}

type lineResponse struct {
	StatusCode int             `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type lineError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

func (l resultLine) encode() []byte {
	b, err := json.Marshal(l)
	if err != nil {
		return nil
	}
	return b
}

// responseOf holds an upstream's answer; one that is not JSON becomes a JSON string.
func responseOf(t batch.Task, status int, body []byte) *lineResponse {
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	return &lineResponse{StatusCode: status, RequestID: requestID(t.Ref), Body: body}
}

// answer gathers an item's answer over one or more connections.
type answer struct {
	task   batch.Task
	body   []byte // of the request
	stream bool
	chunks int // received in order
	text   strings.Builder
	early  map[int]chat.Completion // chunks that came before their turn
	last   chat.Completion
	finish string
}

// streamed names the request fields whose answers plain text chunks can't carry; such items are not streamed.
func streamed(endpoint string, fields map[string]json.RawMessage) bool {
	if endpoint != chatPath {
		return false
	}
	for _, n := range []string{"tools", "functions", "logprobs", "n", "audio", "modalities", "response_format", "prediction"} {
		if _, ok := fields[n]; ok {
			return false
		}
	}
	return true
}

func newAnswer(t batch.Task) *answer {
	a := &answer{task: t, body: t.Body, chunks: t.Partial.Chunks, early: map[int]chat.Completion{}}
	a.text.WriteString(t.Partial.Text)
	var m map[string]json.RawMessage
	if json.Unmarshal(t.Body, &m) != nil || !streamed(t.Job.Endpoint, m) {
		return a
	}
	m["stream"] = json.RawMessage("true")
	b, err := json.Marshal(m)
	if err == nil {
		a.body, a.stream = b, true
	}
	return a
}

func (a *answer) header() http.Header {
	h := http.Header{"Content-Type": {"application/json"}, chat.RequestIDHeader: {requestID(a.task.Ref)}}
	if a.stream && a.chunks > 0 {
		h.Set(chat.ResumeHeader, strconv.Itoa(a.chunks))
	}
	return h
}

func (a *answer) partial() batch.Partial {
	return batch.Partial{Chunks: a.chunks, Text: a.text.String()}
}

// readWhole takes an answer in one piece.
func (a *answer) readWhole(r io.Reader) (batch.Ending, bool) {
	b, err := io.ReadAll(io.LimitReader(r, maxAnswer))
	if err != nil || !json.Valid(b) {
		return batch.Ending{}, false
	}
	return a.finished(b), true
}

// readStream takes numbered chunks, puts them in order, and calls progress for each line.
func (a *answer) readStream(r io.Reader, progress func()) (batch.Ending, bool) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxAnswer)
	n := 0
	for s.Scan() {
		progress()
		l := s.Bytes()
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			n, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
			continue
		}
		v, ok := bytes.CutPrefix(l, []byte("data:"))
		if !ok {
			continue
		}
		if string(bytes.TrimSpace(v)) == lastData {
			if a.finish == "" || len(a.early) > 0 {
				return batch.Ending{}, false
			}
			return a.assembled()
		}
		var c chat.Completion
		if json.Unmarshal(v, &c) != nil {
			return batch.Ending{}, false
		}
		if n == 0 {
			n = a.chunks + 1
		}
		a.take(n, c)
		n = 0
	}
	return batch.Ending{}, false
}

// take adds a chunk and those that waited for it; one seen before is dropped.
func (a *answer) take(n int, c chat.Completion) {
	if n <= a.chunks {
		return
	}
	a.early[n] = c
	for {
		c, ok := a.early[a.chunks+1]
		if !ok {
			return
		}
		a.chunks++
		delete(a.early, a.chunks)
		a.last = c
		for _, x := range c.Choices {
			if x.Delta != nil {
				a.text.WriteString(x.Delta.Content)
			}
			if x.FinishReason != nil {
				a.finish = *x.FinishReason
			}
		}
	}
}

// assembled returns the whole answer that the chunks make.
func (a *answer) assembled() (batch.Ending, bool) {
	c := chat.NewCompletion(requestID(a.task.Ref), a.last.Model, a.text.String(), 0, a.chunks-1)
	c.Created = a.last.Created
	c.Choices[0].FinishReason = &a.finish
	b, err := json.Marshal(c)
	if err != nil {
		return batch.Ending{}, false
	}
	return a.finished(b), true
}

func (a *answer) finished(body []byte) batch.Ending {
	l := resultLine{
		ID:       ledger.LineID(a.task.Ref.Job, a.task.Ref.Item),
		CustomID: a.task.CustomID,
		Response: responseOf(a.task, http.StatusOK, body),
	}
	return batch.Ending{End: batch.Finished, Line: l.encode()}
}
