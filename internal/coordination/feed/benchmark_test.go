package feed_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/feed"
	"snipetack/internal/state/catalog"
	"snipetack/internal/testing/sample"
)

// BenchmarkChangeMessage reports the bytes of one change on the wire and the time that a follower takes to decode it.
func BenchmarkChangeMessage(b *testing.B) {
	answers := func(n int) catalog.Op {
		return catalog.Op{Answers: &catalog.Answers{Team: "team-1", Document: make([]byte, n)}}
	}
	cases := []struct {
		name string
		ops  []catalog.Op
	}{
		{"withdrawal", []catalog.Op{{Withdraw: sample.Key(1, 1).ID}}},
		{"account", []catalog.Op{{Account: sample.Account(1)}}},
		{"account+answers=1000", []catalog.Op{answers(1000), {Account: sample.Account(1)}}},
		{"account+answers=4000", []catalog.Op{answers(4000), {Account: sample.Account(1)}}},
		{"account+answers=16000", []catalog.Op{answers(16000), {Account: sample.Account(1)}}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			e := feed.EncodeEvent(feed.Event{Applied: &catalog.Applied{Revision: 1_000_000, Change: catalog.Change{
				ID: "change-00000000-0000-0000-0000-000000000000", Base: 999_999, Author: "operator", At: time.Unix(1, 0), Ops: c.ops,
			}}})
			b.ReportAllocs()
			for b.Loop() {
				_, err := feed.DecodeEvent(e)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(e)), "message-B")
		})
	}
}

// BenchmarkPollMessage reports the bytes of a poll and its stamp together.
func BenchmarkPollMessage(b *testing.B) {
	for _, r := range []uint64{1, 1_000_000} {
		b.Run(fmt.Sprint("revision=", r), func(b *testing.B) {
			n := 0
			for b.Loop() {
				p := feed.EncodePoll(feed.Poll{Number: r, Revision: r})
				s := feed.EncodeEvent(feed.Event{Stamp: &feed.Stamp{Poll: r, Revision: r, Age: 150 * time.Millisecond}})
				n = len(p) + len(s)
			}
			b.ReportMetric(float64(n), "message-B")
		})
	}
}
