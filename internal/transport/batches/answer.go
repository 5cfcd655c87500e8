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

// doneMarker is the data of the last event of a complete stream.
const doneMarker = "[DONE]"

// Bounds of a stream.
const (
	maxChunks        = 1 << 20
	maxEarlyChunks   = 256             // kept because an earlier one is missing
	maxEarlyBytes    = 4 << 20         // of these chunks
	maxStreamLine    = 1 << 20         // bytes
	maxWithoutChunks = 4 * maxResponse // bytes until the next chunk in order; an upstream may repeat the earlier ones
)

// resultLine is a line of a job's output or error file.
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

// responseOf returns an upstream's response for a result line; a body that is not JSON becomes a JSON string.
func responseOf(t batch.Task, status int, body []byte) *lineResponse {
	if !json.Valid(body) {
		body, _ = json.Marshal(string(body))
	}
	return &lineResponse{StatusCode: status, RequestID: requestID(t.Ref), Body: body}
}

// itemResponse assembles an item's response, which may arrive over several connections.
type itemResponse struct {
	task         batch.Task
	requestBody  []byte // sent to the upstream
	stream       bool
	chunks       int // received without a gap, those of earlier runs included
	text         strings.Builder
	outOfOrder   map[int]earlyChunk // chunks received before their predecessors, by number from 1
	earlyBytes   int                // of outOfOrder
	last         chat.Completion
	finishReason string
}

// earlyChunk is a chunk that was received before its predecessors.
type earlyChunk struct {
	chat.Completion
	bytes int
}

// streamable reports whether an item can be streamed: it is a chat completion, and no field of its request asks for a
// response that the assembled text chunks can't represent.
func streamable(endpoint string, fields map[string]json.RawMessage) bool {
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

func newItemResponse(t batch.Task) *itemResponse {
	a := &itemResponse{task: t, requestBody: t.Body, chunks: t.Partial.Chunks, outOfOrder: map[int]earlyChunk{}}
	a.text.WriteString(t.Partial.Text)
	var m map[string]json.RawMessage
	if json.Unmarshal(t.Body, &m) != nil || !streamable(t.Job.Endpoint, m) {
		return a
	}
	m["stream"] = json.RawMessage("true")
	b, err := json.Marshal(m)
	if err == nil {
		a.requestBody, a.stream = b, true
	}
	return a
}

func (a *itemResponse) header() http.Header {
	h := http.Header{"Content-Type": {"application/json"}, chat.RequestIDHeader: {requestID(a.task.Ref)}}
	if a.stream && a.chunks > 0 {
		h.Set(chat.ResumeHeader, strconv.Itoa(a.chunks))
	}
	return h
}

func (a *itemResponse) partial() batch.Partial {
	return batch.Partial{Chunks: a.chunks, Text: a.text.String()}
}

// readComplete reads a response that is not streamed; it returns false when the body is truncated, longer than
// maxResponse or not JSON.
func (a *itemResponse) readComplete(r io.Reader) (batch.Ending, bool) {
	b, err := io.ReadAll(io.LimitReader(r, maxResponse))
	if err != nil || !json.Valid(b) {
		return batch.Ending{}, false
	}
	return a.finishedEnding(b), true
}

// readStream reads a stream of numbered chunks and calls progress for each line.
//
// It returns false when the stream ends early or exceeds a bound; the chunks received so far are kept, so that another
// connection can resume after them. An event without an id counts as the next chunk.
func (a *itemResponse) readStream(r io.Reader, progress func()) (batch.Ending, bool) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxStreamLine)
	n, idle := 0, 0
	for s.Scan() {
		progress()
		l := s.Bytes()
		if idle += len(l) + 1; idle > maxWithoutChunks {
			return batch.Ending{}, false
		}
		if v, ok := bytes.CutPrefix(l, []byte("id:")); ok {
			n, _ = strconv.Atoi(string(bytes.TrimSpace(v)))
			continue
		}
		v, ok := bytes.CutPrefix(l, []byte("data:"))
		if !ok {
			continue
		}
		if string(bytes.TrimSpace(v)) == doneMarker {
			if a.finishReason == "" || len(a.outOfOrder) > 0 {
				return batch.Ending{}, false
			}
			return a.assemble()
		}
		var c chat.Completion
		if json.Unmarshal(v, &c) != nil {
			return batch.Ending{}, false
		}
		if n == 0 {
			n = a.chunks + 1
		}
		before := a.chunks
		if !a.addChunk(n, c, len(v)) {
			return batch.Ending{}, false
		}
		if n = 0; a.chunks > before {
			idle = 0
		}
	}
	return batch.Ending{}, false
}

// addChunk adds chunk n, of so many bytes, and the out-of-order chunks that follow it; a chunk received before is dropped. It
// returns false when the chunks, the text or the out-of-order chunks exceed their bounds.
func (a *itemResponse) addChunk(n int, c chat.Completion, size int) bool {
	if n <= a.chunks {
		return true
	}
	a.earlyBytes += size - a.outOfOrder[n].bytes
	a.outOfOrder[n] = earlyChunk{c, size}
	for {
		c, ok := a.outOfOrder[a.chunks+1]
		if !ok {
			return len(a.outOfOrder) <= maxEarlyChunks && a.earlyBytes <= maxEarlyBytes
		}
		if a.chunks == maxChunks || a.text.Len()+c.bytes > maxResponse {
			return false
		}
		a.chunks++
		delete(a.outOfOrder, a.chunks)
		a.earlyBytes -= c.bytes
		a.last = c.Completion
		for _, x := range c.Choices {
			if x.Delta != nil {
				a.text.WriteString(x.Delta.Content)
			}
			if x.FinishReason != nil {
				a.finishReason = *x.FinishReason
			}
		}
	}
}

// assemble returns the complete response made of the chunks.
func (a *itemResponse) assemble() (batch.Ending, bool) {
	c := chat.NewCompletion(requestID(a.task.Ref), a.last.Model, a.text.String(), 0, a.chunks-1)
	c.Created = a.last.Created
	c.Choices[0].FinishReason = &a.finishReason
	b, err := json.Marshal(c)
	if err != nil {
		return batch.Ending{}, false
	}
	return a.finishedEnding(b), true
}

func (a *itemResponse) finishedEnding(body []byte) batch.Ending {
	l := resultLine{
		ID:       ledger.LineID(a.task.Ref.Job, a.task.Ref.Item),
		CustomID: a.task.CustomID,
		Response: responseOf(a.task, http.StatusOK, body),
	}
	return batch.Ending{End: batch.Finished, Line: l.encode()}
}
