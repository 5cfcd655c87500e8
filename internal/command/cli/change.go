package cli

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Limits of the response to a change.
const (
	changeTimeout = 30 * time.Second
	maxOutcome    = 1 << 20 // bytes
)

// operatorFlags are the operator address and token of the change command, which requires both as flags; all other commands
// use fleetFlags, which may come from the environment.
type operatorFlags struct {
	Operator  string `long:"operator" description:"operator address of any VM" value-name:"IP:PORT" required:"yes"`
	TokenFile string `long:"token-file" description:"file with the operator's token" value-name:"FILE" required:"yes"`
}

type change struct {
	operatorFlags
	File string `long:"file" description:"change in JSON with comments" value-name:"FILE" required:"yes"`
}

func (c change) run(e *environment) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "reading the change")
	}
	b, err = hujson.Standardize(b)
	if err != nil {
		return invalid{errors.Wrap(err, c.File)}
	}
	a, err := c.call(e, http.MethodPost, "/operator/v1/changes", b)
	if err != nil {
		return err
	}
	_, err = e.out.Write(a)
	return err
}

// call sends an authenticated request to the operator address and returns the response's body. A status of 400 or above is
// returned as an error that holds the body.
func (f operatorFlags) call(e *environment, method, path string, body []byte) ([]byte, error) {
	t, err := readToken(f.TokenFile)
	if err != nil {
		return nil, invalid{err}
	}
	ctx, cancel := context.WithTimeout(e.ctx, changeTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+f.Operator+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "creating the request")
	}
	q.Header.Set("Authorization", "Bearer "+t)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil, errors.Wrapf(err, "sending the request to %s", f.Operator)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxOutcome+1))
	if err != nil {
		return nil, errors.Wrapf(err, "reading the response of %s", f.Operator)
	}
	if len(b) > maxOutcome {
		return nil, errors.Errorf("the response of %s is longer than %d bytes", f.Operator, maxOutcome)
	}
	if r.StatusCode >= http.StatusBadRequest {
		return nil, errors.Errorf("%s responded with status %d: %s", f.Operator, r.StatusCode, b)
	}
	return b, nil
}
