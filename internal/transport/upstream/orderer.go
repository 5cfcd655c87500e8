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

// orderTimeout bounds an order; after it, its outcome counts as unknown.
const orderTimeout = 5 * time.Second

// Order sends a committed order and returns the upstream's answer.
//
// It takes a connection of its own and closes it, so that an order which timed out does not stay under way.
func (c *Client) Order(ctx context.Context, u catalog.Upstream, i order.Intent) placement.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	b, err := json.Marshal(chat.Order{Fence: i.Fence, Action: string(i.Action), Target: i.Target})
	if err != nil {
		return placement.Failed
	}
	r, err := c.Do(ctx, Call{
		Upstream: u,
		Method:   http.MethodPost,
		Path:     "/orders",
		Header:   http.Header{"Content-Type": {"application/json"}},
		Body:     b,
		Progress: orderTimeout,
		Fresh:    true,
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
