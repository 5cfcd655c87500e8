package sample

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/access"
	"snipetack/internal/state/catalog"
)

// Proportions of a sample configuration; the number of services does not grow with its size.
const (
	AccountsPerTeam = 8
	KeysPerAccount  = 2
	Services        = 16
	documentSize    = 4_000 // bytes of a team's questionnaire answers, about the size of those in examples/answers
)

// Configuration returns a configuration with the given numbers of client accounts and upstreams.
func Configuration(t testing.TB, accounts, upstreams int) *catalog.Configuration {
	c, err := catalog.NewConfiguration().With(Ops(accounts, upstreams))
	require.NoError(t, err)
	return c
}

// Ops returns the ops that build a configuration with the given numbers of client accounts and upstreams.
func Ops(accounts, upstreams int) []catalog.Op {
	var l []catalog.Op
	for i := range Services {
		l = append(l, catalog.Op{Service: &catalog.Service{
			Name:            service(i),
			Kind:            catalog.Engine,
			Models:          []string{fmt.Sprintf("model-%d", i)},
			ProgressTimeout: 5 * time.Second,
			Deadline:        time.Minute,
			QueueLimit:      256,
		}})
	}
	for i := range upstreams {
		l = append(l, catalog.Op{Upstream: upstream(i)})
	}
	for i := range accounts {
		l = append(l, accountOps(i)...)
	}
	return l
}

// accountOps adds the i-th account with its keys, and with the first account of a team the team's answers and route.
func accountOps(i int) []catalog.Op {
	l := []catalog.Op{{Account: Account(i)}}
	for j := range KeysPerAccount {
		l = append(l, catalog.Op{Key: Key(i, j)})
	}
	if i%AccountsPerTeam != 0 {
		return l
	}
	team := i / AccountsPerTeam
	return append(l,
		catalog.Op{Answers: &catalog.Answers{Team: fmt.Sprintf("team-%d", team), Document: []byte(strings.Repeat("x", documentSize))}},
		catalog.Op{Route: &catalog.Route{
			Name:       fmt.Sprintf("route-%d", team),
			PathPrefix: fmt.Sprintf("/services/team-%d", team),
			Service:    service(0),
		}})
}

// Account returns the i-th client account, from 0.
func Account(i int) *catalog.Account {
	return &catalog.Account{
		Name:       fmt.Sprintf("account-%d", i),
		Rate:       10,
		Burst:      20,
		BatchRate:  10,
		BatchBurst: 100,
		Weight:     1,
	}
}

// Secret returns the secret text of the j-th key of the i-th account, both from 0.
func Secret(i, j int) string {
	return fmt.Sprintf("sk-%010d%02d-secret", i, j)
}

// Key returns the configuration entry of the j-th key of the i-th account, which holds only the digest of its secret.
func Key(i, j int) *catalog.Key {
	return &catalog.Key{
		ID:       fmt.Sprintf("%010d%02d", i, j),
		Account:  Account(i).Name,
		Digest:   access.Digest(Secret(i, j)),
		IssuedAt: time.Unix(1, 0),
	}
}

func upstream(i int) *catalog.Upstream {
	return &catalog.Upstream{
		Name:       fmt.Sprintf("upstream-%d", i),
		Service:    service(i % Services),
		Address:    fmt.Sprintf("10.%d.%d.%d:8500", i>>16, i>>8&255, i&255),
		DataCentre: fmt.Sprintf("dc-%d", i%7),
		Slots:      16,
	}
}

func service(i int) string {
	return fmt.Sprintf("service-%d", i)
}
