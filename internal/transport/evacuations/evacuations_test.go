package evacuations_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/evacuations"
)

// control notes orders and refuses those about the data centre "none".
type control struct{ orders []string }

func (c *control) order(name, zone string) error {
	c.orders = append(c.orders, name+" "+zone)
	if zone == "none" {
		return result.New(result.ZoneUnknown, "no such data centre")
	}
	return nil
}

func (c *control) Evacuate(_ context.Context, zone string) error      { return c.order("start", zone) }
func (c *control) EndEvacuation(_ context.Context, zone string) error { return c.order("end", zone) }
func (c *control) Evacuations(context.Context) (uint64, []plan.Evacuation, error) {
	return 3, []plan.Evacuation{{Zone: "a", Revision: 1}, {Zone: "b", Ended: true, Revision: 3}}, nil
}

// TestCalls guards against calls that reach the wrong order or lose the reason of a refusal, and against paths of others that are served here.
func TestCalls(t *testing.T) {
	c := &control{}
	s := httptest.NewServer(evacuations.Handler(c, http.NotFoundHandler()))
	defer s.Close()
	x := evacuations.NewClient(strings.TrimPrefix(s.URL, "http://"), s.Client())
	ctx := context.Background()
	require.NoError(t, x.Start(ctx, "a b/c"))
	require.NoError(t, x.End(ctx, "a"))
	require.ErrorContains(t, x.Start(ctx, "none"), "no such data centre")
	require.Equal(t, []string{"start a b/c", "end a", "start none"}, c.orders)
	l, err := x.List(ctx)
	require.NoError(t, err)
	require.Equal(t, evacuations.List{Revision: 3, Evacuations: []evacuations.Entry{{Zone: "a", State: "evacuated", Revision: 1}, {Zone: "b", State: "ended", Revision: 3}}}, l)
	for path, status := range map[string]int{"/other": 404, evacuations.Path + "/none": 404} {
		r, err := http.NewRequestWithContext(ctx, http.MethodPut, s.URL+path, nil)
		require.NoError(t, err)
		a, err := s.Client().Do(r)
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		require.Equal(t, status, a.StatusCode)
	}
}
