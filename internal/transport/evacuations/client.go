package evacuations

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/pkg/errors"
)

// maxResponse is the largest response of a control VM that a Client reads, in bytes.
const maxResponse = 1 << 20

// Client makes the calls at a control VM.
type Client struct {
	address string // host:port for operators
	http    *http.Client
}

// NewClient returns a Client of a control VM.
func NewClient(address string, c *http.Client) *Client { return &Client{address: address, http: c} }

// Start orders the evacuation of a data centre.
func (c *Client) Start(ctx context.Context, zone string) error {
	return c.call(ctx, http.MethodPut, Path+"/"+url.PathEscape(zone), nil)
}

// End ends the evacuation of a data centre.
func (c *Client) End(ctx context.Context, zone string) error {
	return c.call(ctx, http.MethodDelete, Path+"/"+url.PathEscape(zone), nil)
}

// List returns the committed evacuations.
func (c *Client) List(ctx context.Context) (List, error) {
	var l List
	err := c.call(ctx, http.MethodGet, Path, &l)
	return l, err
}

// call makes a call and decodes the response into to, if that is not nil.
func (c *Client) call(ctx context.Context, method, path string, to any) error {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, nil)
	if err != nil {
		return errors.Wrap(err, "calling the control VM")
	}
	a, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "calling the control VM")
	}
	defer a.Body.Close()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxResponse))
	if err != nil {
		return errors.Wrap(err, "reading the response of the control VM")
	}
	if a.StatusCode != http.StatusOK {
		var f wireFailure
		if json.Unmarshal(b, &f) == nil && f.Error != "" {
			return errors.New(f.Error)
		}
		return errors.Errorf("the control VM responded with status %d", a.StatusCode)
	}
	if to == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(b, to), "decoding the response of the control VM")
}
