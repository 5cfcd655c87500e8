package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// Retries of a change, whose id makes a repeated request harmless, and the timeout of each request.
const (
	commitAttempts = 5 // the first one included
	retryDelay     = 500 * time.Millisecond
	requestTimeout = 15 * time.Second
)

// Limits of responses, in bytes.
const (
	maxResponse = 64 << 20
	maxBackup   = 4 << 30
)

// Client sends requests to the operators' interface of one VM.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// NewClient returns a Client that sends to a VM's operator address, ip:port, with an operator's token.
func NewClient(address, token string, h *http.Client) *Client {
	return &Client{address: address, token: token, http: h}
}

// Configuration returns the VM's copy of the configuration.
func (c *Client) Configuration(ctx context.Context) (*catalog.Configuration, error) {
	var f configurationForm
	if err := c.Get(ctx, "/operator/v1/configuration", &f); err != nil {
		return nil, err
	}
	return f.configuration()
}

// Document returns the VM's copy of the configuration as indented JSON.
func (c *Client) Document(ctx context.Context) ([]byte, error) {
	var f configurationForm
	if err := c.Get(ctx, "/operator/v1/configuration", &f); err != nil {
		return nil, err
	}
	b, err := json.MarshalIndent(f, "", "  ")
	return append(b, '\n'), errors.Wrap(err, "encoding the configuration")
}

// Commit sends a change, and retries it under the same id when no response arrives or the VM fails with a 5xx status. A
// change that is refused yields no error but an outcome whose code is not OK.
func (c *Client) Commit(ctx context.Context, h catalog.Change) (catalog.Outcome, error) {
	b, err := json.Marshal(requestOf(h))
	if err != nil {
		return catalog.Outcome{}, errors.Wrap(err, "encoding the change")
	}
	for i := 1; ; i++ {
		o, retryable, err := c.send(ctx, b)
		if !retryable || i == commitAttempts {
			return o, errors.Wrapf(err, "sending change %s", h.ID)
		}
		pause.For(ctx, retryDelay)
	}
}

// Get decodes the JSON response of a path into to, which is a pointer.
func (c *Client) Get(ctx context.Context, path string, to any) error {
	b, _, err := c.call(ctx, http.MethodGet, path, nil, maxResponse)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, to), "reading the response of %s", c.address)
}

// Post sends a request without a body and decodes the JSON response into to, which is a pointer.
func (c *Client) Post(ctx context.Context, path string, to any) error {
	b, _, err := c.call(ctx, http.MethodPost, path, nil, maxResponse)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(b, to), "reading the response of %s", c.address)
}

// send makes one attempt to commit a change and reports whether a retry may succeed.
func (c *Client) send(ctx context.Context, body []byte) (catalog.Outcome, bool, error) {
	b, retryable, err := c.call(ctx, http.MethodPost, "/operator/v1/changes", body, maxResponse)
	if err != nil {
		return catalog.Outcome{}, retryable && ctx.Err() == nil, err
	}
	var f outcomeForm
	err = json.Unmarshal(b, &f)
	return f.outcome(), false, errors.Wrapf(err, "reading the response of %s", c.address)
}

// call sends a request and returns the body of the response, which has at most limit bytes. A failure that the VM reports is
// the error, a *result.Failure; retryable is set when no complete response arrived or the failure has a 5xx status.
func (c *Client) call(ctx context.Context, method, path string, body []byte, limit int64) (response []byte, retryable bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, false, errors.Wrap(err, "making the request")
	}
	q.Header.Set("Authorization", "Bearer "+c.token)
	r, err := c.http.Do(q)
	if err != nil {
		return nil, true, errors.Wrapf(err, "asking %s", c.address)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, true, errors.Wrapf(err, "reading the response of %s", c.address)
	}
	if int64(len(b)) > limit {
		return nil, false, errors.Errorf("the response of %s is longer than %d bytes", c.address, limit)
	}
	var f failureForm
	if json.Unmarshal(b, &f) == nil && f.Error.ResultCode != 0 {
		n := result.New(result.Code(f.Error.ResultCode), "%s", f.Error.Message).WithRan(result.Ran(f.Error.Ran))
		return nil, r.StatusCode >= http.StatusInternalServerError, n
	}
	return b, false, nil
}
