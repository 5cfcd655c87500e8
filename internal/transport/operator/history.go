package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/result"
)

// historyForm is the JSON form of an applied change: what was changed, by whom and when.
type historyForm struct {
	Revision uint64   `json:"revision"`
	ID       string   `json:"id"`
	Operator string   `json:"operator"`
	At       int64    `json:"at"` // Unix seconds
	Ops      []opForm `json:"ops"`
}

// History returns the changes that were committed after a revision, oldest first, without their base revisions.
func (c *Client) History(ctx context.Context, after uint64) ([]catalog.Applied, error) {
	var f []historyForm
	if err := c.Get(ctx, fmt.Sprint("/operator/v1/history?after=", after), &f); err != nil {
		return nil, err
	}
	l := make([]catalog.Applied, 0, len(f))
	for _, h := range f {
		a, err := h.applied()
		if err != nil {
			return nil, err
		}
		l = append(l, a)
	}
	return l, nil
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, _ string) {
	n, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply.Failure(w, result.New(result.MalformedRequest, "after=%q is no revision", r.URL.Query().Get("after")))
		return
	}
	l, err := s.d.History.History(r.Context(), n)
	if err != nil {
		reply.Failure(w, err)
		return
	}
	f := make([]historyForm, 0, len(l))
	for _, a := range l {
		f = append(f, historyOf(a))
	}
	reply.JSON(w, http.StatusOK, f)
}
