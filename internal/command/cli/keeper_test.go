package cli

import (
	"context"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/coordination/replica"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/keeper"
)

// fakeKeepers reports two keepers, one of which does not respond.
type fakeKeepers struct{}

func (fakeKeepers) Keepers(context.Context) []keeper.Report {
	return []keeper.Report{
		{VM: "keeper-1", ID: 7, Groups: []replica.Status{{
			Group:   0,
			Leader:  consensus.Member{VM: "keeper-1", ID: 7},
			Leads:   true,
			Term:    3,
			Commit:  12,
			Applied: 11,
			Configuration: consensus.Configuration{
				Voters:   []consensus.Member{{VM: "keeper-1", ID: 7}, {VM: "keeper-2", ID: 8}},
				Learners: []consensus.Member{{VM: "keeper-3", ID: 9}},
			},
		}}},
		{VM: "keeper-2", Error: "silent"},
	}
}

func (fakeKeepers) Act(_ context.Context, _ keeper.Action, vm string) (int, error) {
	if vm == "keeper-1" {
		return 0, result.New(result.NoQuorum, "group 0 would have no quorum without VM %q", vm)
	}
	return 2, nil
}

func (fakeKeepers) Backup(context.Context) ([]byte, error) {
	return []byte("state"), nil
}
