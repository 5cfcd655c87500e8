package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/quarantine"
	"snipetack/internal/coordination/roster"
	"snipetack/internal/coordination/throttle"
	"snipetack/internal/coordination/warmup"
	"snipetack/internal/state/plan"
	"snipetack/internal/state/result"
)

func vm(c roster.Class, n int, zone string) roster.VM {
	return roster.VM{Name: fmt.Sprint(c, "-", n), Address: fmt.Sprintf("10.0.0.%d:7000", n), Class: c, Zone: zone}
}

func TestReportAndBulletinRoundTrip(t *testing.T) {
	cold := []warmup.Word{{Upstream: "u", Age: time.Second, Left: time.Minute}, {Upstream: "v", Event: true}}
	r := roster.Report{Apart: true, Cold: cold, VM: vm(roster.Entry, 1, "a"), Incarnation: 7, Version: 3, DirectoryTag: 1 << 63, ListTag: 5,
		Shares: map[string]float64{"x": 0.25}, Demand: map[string]float64{"x": 3}, Leads: true, Members: []string{"m"}, QuarantineRevision: 2, Unpacks: true, PatchesLists: true,
		Crashes: []quarantine.Crash{{Upstream: "u", Age: time.Second, Observed: 30, Sound: []quarantine.SegmentCount{{Segment: "a", Count: 3}},
			Suspects: []quarantine.Suspect{{Begun: true, Segments: []string{"a", "p"}}, {Segments: []string{"b"}}}}},
		Matched: []string{"p"}, Cleared: []quarantine.Clearance{{Segment: "a", Age: time.Minute}}, Awaited: []string{"b"}, Refuted: []string{"c,d"},
		Limits: []throttle.Limit{{Upstream: "u", Rate: 2.5, Age: time.Second}, {Upstream: "v"}}}
	d, err := roster.DecodeReport(roster.EncodeReport(r))
	require.NoError(t, err)
	require.Equal(t, r, d)
	b := roster.Bulletin{Cold: cold, Leader: "l", Leads: true, Version: 9, Document: []byte("{}"), DirectoryTag: 4, VMs: []roster.VM{r.VM},
		ListTag: 6, ListBase: 5, Removed: []string{"r"}, Upstreams: []roster.Upstream{{ID: "i", Service: "s", Address: "a", Zone: "z", Slots: 8, Draining: true, Cold: time.Second}},
		ListAge: time.Minute, InitialMembers: []string{"f"}, Leaving: []string{"g"}, Shares: map[string]float64{"x": 1}, BatchLeader: "bl",
		BatchMembers: []string{"bm"}, Controls: []string{"c"}, Epoch: 77, QuarantineRevision: 4,
		Quarantines: []plan.Quarantine{{Segments: []string{"p", "q"}}, {Segments: []string{"r"}}}, Suspects: []string{"s"},
		Limits: []throttle.Limit{{Upstream: "u", Rate: 2.5, Age: time.Second}}, Even: 0.5, Fleet: 9, Entries: 7, Mirrors: true, Age: time.Second, Packed: []byte{1}}
	c, err := roster.DecodeBulletin(roster.EncodeBulletin(b))
	require.NoError(t, err)
	require.Equal(t, b, c)
}

func FuzzDecode(f *testing.F) {
	f.Add(roster.EncodeReport(roster.Report{VM: vm(roster.Batch, 1, "a")}))
	f.Add([]byte{0x0a, 0x05})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = roster.DecodeReport(b)
		_, _ = roster.DecodeBulletin(b)
	})
}

// TestBulletinOmitsWhatTheReporterHas reports twice; the second response repeats neither directory nor list nor document.
func TestBulletinOmitsWhatTheReporterHas(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(now, nil, 0, []roster.Upstream{{ID: "i"}}, now)
	s := plan.State{Version: 4, Document: []byte("doc")}
	p := roster.Report{VM: vm(roster.Entry, 1, "a"), Incarnation: 1}
	b := r.Report(now, p, s, nil)
	require.Equal(t, []byte("doc"), b.Document)
	require.Len(t, b.VMs, 1)
	require.Len(t, b.Upstreams, 1)
	p.Version, p.DirectoryTag, p.ListTag = b.Version, b.DirectoryTag, b.ListTag
	b = r.Report(now, p, s, nil)
	require.Nil(t, b.Document)
	require.Nil(t, b.VMs)
	require.Nil(t, b.Upstreams)
}

// TestNewLeaderNamesTheBatchLeader lets a control VM take over that has not heard of the leading batch VM: it names the one of before, for as long
// as a batch leader may be silent, or until another one reports.
func TestNewLeaderNamesTheBatchLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(now, nil, 0, nil, now)
	r.InheritBatchLeader(now, "b1")
	p := roster.Report{VM: vm(roster.Entry, 1, "a")}
	b := r.Report(now.Add(2*time.Second), p, plan.State{}, nil)
	require.Equal(t, "b1", b.BatchLeader)
	require.Empty(t, b.BatchMembers)
	require.Empty(t, r.Report(now.Add(4*time.Second), p, plan.State{}, nil).BatchLeader)
	l := vm(roster.Batch, 2, "a")
	r.Report(now.Add(4*time.Second), roster.Report{VM: l, Leads: true, Members: []string{l.Address}}, plan.State{}, nil)
	b = r.Report(now.Add(5*time.Second), p, plan.State{}, nil)
	require.Equal(t, l.Address, b.BatchLeader)
	require.Equal(t, []string{l.Address}, b.BatchMembers)
}

func TestInitialMembersAreOddAndSpreadOverDataCentres(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(now, nil, 0, nil, now)
	for i, z := range []string{"a", "a", "b", "b", "c", "c"} {
		r.Report(now, roster.Report{VM: vm(roster.Batch, i, z)}, plan.State{}, nil)
	}
	require.Nil(t, r.InitialMembers(now.Add(time.Second), 5), "more VMs may still come")
	l := r.InitialMembers(now.Add(2*time.Second), 4)
	require.Equal(t, []string{"10.0.0.0:7000", "10.0.0.2:7000", "10.0.0.4:7000"}, l)
}

func TestVMThatStopsReportingIsDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	r := roster.New(now, []roster.VM{vm(roster.Entry, 1, "a"), vm(roster.Entry, 2, "a")}, 0, nil, now)
	now = now.Add(15 * time.Second)
	r.Report(now, roster.Report{VM: vm(roster.Entry, 2, "a")}, plan.State{}, nil)
	r.Expire(now.Add(10 * time.Second))
	require.Equal(t, []roster.VM{vm(roster.Entry, 2, "a")}, r.VMs())
}

// TestCheckLeave guards against draining one of three batch VMs: the loss of a second one would then cost the group its
// quorum for good.
func TestCheckLeave(t *testing.T) {
	l := []roster.VM{vm(roster.Batch, 1, "a"), vm(roster.Batch, 2, "b"), vm(roster.Batch, 3, "c"), vm(roster.Entry, 4, "a")}
	four := append([]roster.VM{vm(roster.Batch, 5, "a")}, l...)
	table := []struct {
		name    string
		vms     []roster.VM
		leaving []string
		vm      string
		code    result.Code
	}{
		{"unknown", l, nil, "batch-9", result.VMUnknown},
		{"another class", l, nil, "entry-4", result.VMUnknown},
		{"too few", l, nil, "batch-1", result.TooFewVMs},
		{"enough", four, nil, "batch-1", result.OK},
		{"too few with one that is already leaving", four, []string{"batch-5"}, "batch-1", result.TooFewVMs},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			err := roster.CheckLeave(c.vms, c.leaving, c.vm, 3)
			if c.code == result.OK {
				require.NoError(t, err)
				return
			}
			require.Equal(t, c.code, result.Of(err).Code)
		})
	}
}
