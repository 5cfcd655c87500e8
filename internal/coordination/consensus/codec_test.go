package consensus_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/consensus"
)

func messages() []consensus.Message {
	f := consensus.Configuration{
		Voters:   []consensus.Member{{VM: "a", ID: 1}, {VM: "b", ID: 2}},
		Learners: []consensus.Member{{VM: "c", ID: 3}},
	}
	from := consensus.Member{VM: "a", ID: 1}
	to := consensus.Member{ID: 2}
	return []consensus.Message{
		{Kind: consensus.PreVote, From: from, To: to, Term: 3, Index: 7, LogTerm: 2},
		{Kind: consensus.Vote, From: from, To: to, Term: 3, Index: 7, LogTerm: 2, Force: true},
		{Kind: consensus.Append, From: from, To: to, Term: 3, Index: 7, LogTerm: 2, Commit: 6, Entries: []consensus.Entry{
			{Index: 8, Term: 2, Kind: consensus.Command, Data: []byte("x")},
			{Index: 9, Term: 3, Kind: consensus.NoOp},
			{Index: 10, Term: 3, Kind: consensus.Membership, Data: consensus.EncodeConfiguration(f)},
		}},
		{Kind: consensus.AppendResponse, From: from, To: to, Term: 3, Index: 7, Reject: true, Hint: 4},
		{Kind: consensus.Heartbeat, From: from, To: to, Term: 3, Commit: 6, Sent: 99},
		{Kind: consensus.SnapshotChunk, From: from, To: to, Term: 3, Offset: 5, Data: []byte("yz"), Snapshot: &consensus.Snapshot{
			Index: 5, Term: 2, Configuration: f, Size: 7, Checksum: 1 << 63,
		}},
		{Kind: consensus.ReadIndex, From: from, To: to, Term: 3, Read: 12},
	}
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range messages() {
		n, err := consensus.DecodeMessage(consensus.EncodeMessage(m), "a")
		require.NoError(t, err)
		require.Equal(t, m, n)
	}
}

func TestMalformedMessagesAreRefused(t *testing.T) {
	good := messages()[2]
	table := map[string]func(m *consensus.Message){
		"no kind":               func(m *consensus.Message) { m.Kind = 0 },
		"unknown kind":          func(m *consensus.Message) { m.Kind = 99 },
		"no sender":             func(m *consensus.Message) { m.From.ID = 0 },
		"no receiver":           func(m *consensus.Message) { m.To.ID = 0 },
		"no term":               func(m *consensus.Message) { m.Term = 0 },
		"entry of a later term": func(m *consensus.Message) { m.Entries[0].Term = 4 },
		"entry missing":         func(m *consensus.Message) { m.Entries = m.Entries[1:] },
		"unknown entry":         func(m *consensus.Message) { m.Entries[0].Kind = 9 },
		"bad configuration":     func(m *consensus.Message) { m.Entries[2].Data = []byte{0xff} },
		"no snapshot":           func(m *consensus.Message) { m.Kind = consensus.SnapshotChunk },
	}
	for name, corrupt := range table {
		t.Run(name, func(t *testing.T) {
			m := good
			m.Entries = append([]consensus.Entry(nil), good.Entries...)
			corrupt(&m)
			_, err := consensus.DecodeMessage(consensus.EncodeMessage(m), "a")
			require.Error(t, err)
		})
	}
}

// FuzzDecodeMessage checks that any message that the decoder accepts is the same after encoding and decoding it again.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range messages() {
		f.Add(consensus.EncodeMessage(m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := consensus.DecodeMessage(b, "a")
		if err != nil {
			return
		}
		n, err := consensus.DecodeMessage(consensus.EncodeMessage(m), "a")
		require.NoError(t, err)
		require.Equal(t, m, n)
	})
}
