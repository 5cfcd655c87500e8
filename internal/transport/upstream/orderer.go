package upstream

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"snipetack/internal/coordination/placement"
	"snipetack/internal/protocol/chat"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/order"
	"snipetack/internal/state/result"
)

// orderTimeout bounds an order; after it, the outcome of an order that was sent is unknown.
const orderTimeout = 5 * time.Second

// Order sends a committed order and returns its result: Done for status 2xx, Refused for 409, Failed for another 3xx or
// 4xx or if nothing was sent, and Unknown if the upstream may have carried out the order.
//
// Each order uses a new connection, which is closed afterwards, so that an order that timed out is not left in flight.
func (c *Client) Order(ctx context.Context, u catalog.Upstream, i order.Intent) placement.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	b, err := json.Marshal(chat.Order{Fence: i.Fence, Action: string(i.Action), Target: i.Target})
	if err != nil {
		return placement.Failed
	}
	r, err := c.Do(ctx, Call{
		Upstream:        u,
		Method:          http.MethodPost,
		Path:            "/orders",
		Header:          http.Header{"Content-Type": {"application/json"}},
		Body:            b,
		ProgressTimeout: orderTimeout,
		NewConnection:   true,
	})
	if err != nil {
		if result.Of(err).Ran == result.NotRun {
			return placement.Failed
		}
		return placement.Unknown
	}
	defer r.Body.Close()
	switch {
	case r.StatusCode < http.StatusMultipleChoices:
		return placement.Done
	case r.StatusCode == http.StatusConflict:
		return placement.Refused
	case r.StatusCode < http.StatusInternalServerError:
		return placement.Failed
	default:
		return placement.Unknown
	}
}
