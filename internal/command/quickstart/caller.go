package quickstart

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/result"
)

// caller calls the API of a VM with a client account's key.
type caller struct {
	base string // http://ip:port
	key  string // sent as the bearer token, unless empty
	http *http.Client
}

// refusal is an error response, with its result code and whether the request was run.
type refusal struct {
	status int
	code   result.Code
	ran    result.Ran
	text   string
}

var _ error = refusal{}

func (r refusal) Error() string {
	return errors.Errorf("%d, result code %d (%s, %s): %s", r.status, int(r.code), r.code.Meaning().Name, r.ran, r.text).Error()
}

// uploadedFile is the part of the API's file object that the quickstart reads.
type uploadedFile struct {
	ID string `json:"id"`
}

// batchJob is the part of the API's batch object that the quickstart reads.
type batchJob struct {
	ID         string `json:"id"`
	Status     string `json:"status"`
	OutputFile string `json:"output_file_id"`
	ErrorFile  string `json:"error_file_id"`
	Counts     struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// streamedResponse is what was received of a streamed response.
type streamedResponse struct {
	text       string
	firstToken time.Duration // from the request to the first chunk; zero if none came
	complete   bool          // ended with [DONE]
}

// stream requests a streamed chat completion and reads it to its end.
func (c caller) stream(ctx context.Context, prompt string, tokens int) (streamedResponse, error) {
	b, err := json.Marshal(map[string]any{
		"model":      "sprach-1",
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return streamedResponse{}, err
	}
	start := time.Now()
	r, err := c.do(ctx, http.MethodPost, "/v1/chat/completions", "application/json", bytes.NewReader(b))
	if err != nil {
		return streamedResponse{}, err
	}
	defer r.Body.Close()
	var s streamedResponse
	l := bufio.NewScanner(r.Body)
	for l.Scan() {
		d, ok := strings.CutPrefix(l.Text(), "data: ")
		if !ok {
			continue
		}
		if d == "[DONE]" {
			s.complete = true
			break
		}
		if s.firstToken == 0 {
			s.firstToken = time.Since(start)
		}
		s.text += content(d)
	}
	return s, l.Err()
}

// call posts a text to a plain service and returns the response body.
func (c caller) call(ctx context.Context, path, body string) (string, error) {
	r, err := c.do(ctx, http.MethodPost, path, "text/plain", strings.NewReader(body))
	if err != nil {
		return "", err
	}
	defer r.Body.Close()
	b, err := readBody(r.Body)
	return string(b), err
}

func (c caller) upload(ctx context.Context, name string, content []byte) (uploadedFile, error) {
	var b bytes.Buffer
	m := multipart.NewWriter(&b)
	if err := m.WriteField("purpose", "batch"); err != nil {
		return uploadedFile{}, err
	}
	w, err := m.CreateFormFile("file", name)
	if err != nil {
		return uploadedFile{}, err
	}
	if _, err := w.Write(content); err != nil {
		return uploadedFile{}, err
	}
	if err := m.Close(); err != nil {
		return uploadedFile{}, err
	}
	var f uploadedFile
	err = c.json(ctx, http.MethodPost, "/v1/files", m.FormDataContentType(), &b, &f)
	return f, err
}

func (c caller) submit(ctx context.Context, file string) (batchJob, error) {
	b, err := json.Marshal(map[string]string{
		"input_file_id":     file,
		"endpoint":          "/v1/chat/completions",
		"completion_window": "24h",
	})
	if err != nil {
		return batchJob{}, err
	}
	var j batchJob
	err = c.json(ctx, http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(b), &j)
	return j, err
}

func (c caller) job(ctx context.Context, id string) (batchJob, error) {
	var j batchJob
	err := c.json(ctx, http.MethodGet, "/v1/batches/"+id, "", nil, &j)
	return j, err
}

// maxBodyBytes bounds the bodies that the quick start reads; its own are a few KiB.
const maxBodyBytes = 8 << 20

// readBody reads a body to its end. It fails when the body exceeds maxBodyBytes.
func readBody(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(b) > maxBodyBytes {
		err = errors.Errorf("the body exceeds %d bytes", maxBodyBytes)
	}
	return b, err
}

// lines returns the lines of a results or errors file. An empty id, which a job has instead of an empty file, gives none.
func (c caller) lines(ctx context.Context, file string) ([]string, error) {
	if file == "" {
		return nil, nil
	}
	r, err := c.do(ctx, http.MethodGet, "/v1/files/"+file+"/content", "", nil)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	b, err := readBody(r.Body)
	if err != nil {
		return nil, err
	}
	return strings.FieldsFunc(string(b), func(r rune) bool { return r == '\n' }), nil
}

func (c caller) json(ctx context.Context, method, path, kind string, body io.Reader, to any) error {
	r, err := c.do(ctx, method, path, kind, body)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	return errors.Wrapf(json.NewDecoder(r.Body).Decode(to), "decoding the response of %s", path)
}

// do sends a request; a status of 400 or above is returned as a refusal. The caller closes the body.
func (c caller) do(ctx context.Context, method, path, kind string, body io.Reader) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, err
	}
	if kind != "" {
		q.Header.Set("Content-Type", kind)
	}
	if c.key != "" {
		q.Header.Set("Authorization", "Bearer "+c.key)
	}
	r, err := c.http.Do(q)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s", method, path)
	}
	if r.StatusCode >= http.StatusBadRequest {
		defer r.Body.Close()
		return nil, refusalOf(r)
	}
	return r, nil
}

// refusalOf reads an error response. If its body is not one of the API's errors, the refusal has only the status.
func refusalOf(r *http.Response) error {
	var f struct {
		Error struct {
			Message string `json:"message"`
			Code    int    `json:"result_code"`
			Ran     string `json:"ran"`
		} `json:"error"`
	}
	_ = json.NewDecoder(r.Body).Decode(&f)
	return refusal{status: r.StatusCode, code: result.Code(f.Error.Code), ran: result.Ran(f.Error.Ran), text: f.Error.Message}
}

// content returns the text of a streamed chunk, or an empty string if the chunk has none or can't be decoded.
func content(data string) string {
	var c chat.Completion
	if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 || c.Choices[0].Delta == nil {
		return ""
	}
	return c.Choices[0].Delta.Content
}
