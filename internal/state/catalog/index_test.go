package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/sample"
)

func TestLookupsFollowEachRevision(t *testing.T) {
	c := sample.Configuration(t, 1, 40)
	require.Len(t, c.UpstreamsOf("service-3"), 3)
	require.Equal(t, "upstream-19", c.UpstreamsOf("service-3")[0].Name)
	moved := c.Upstreams["upstream-3"]
	moved.Service = "service-4"
	s := c.Services["service-4"]
	s.Models = []string{"model-new"}
	n, err := c.With([]catalog.Op{
		{Upstream: &moved},
		{Service: &s},
		{Delete: &catalog.Deletion{Table: catalog.Upstreams, Name: "upstream-19"}},
	})
	require.NoError(t, err)
	decoded, err := catalog.DecodeConfiguration(catalog.EncodeConfiguration(n))
	require.NoError(t, err)
	assembled := catalog.NewConfiguration()
	assembled.Services, assembled.Upstreams = n.Services, n.Upstreams
	for _, v := range []*catalog.Configuration{n, decoded, assembled} {
		require.Len(t, v.UpstreamsOf("service-3"), 1)
		require.Len(t, v.UpstreamsOf("service-4"), 4)
		_, ok := v.ServiceOfModel("model-4")
		require.False(t, ok)
		got, ok := v.ServiceOfModel("model-new")
		require.True(t, ok)
		require.Equal(t, "service-4", got.Name)
	}
	require.Len(t, c.UpstreamsOf("service-3"), 3)
}
