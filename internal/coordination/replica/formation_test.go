package replica

import (
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/testing/fakedisk"
)

// recorder records the frames that are sent.
type recorder struct {
	frames [][]byte
}

func (r *recorder) Send(_ string, frame []byte) {
	r.frames = append(r.frames, frame)
}

func newReplica(t *testing.T, vm string) (*Replica, *recorder) {
	s := &recorder{}
	r, err := New(Deps{
		VM:             vm,
		InitialMembers: []string{"vm-1", "vm-2", "vm-3"},
		Folder:         fakedisk.New(),
		Machines:       map[uint32]Machine{0: nil},
		Send:           s,
		Log:            slog.New(slog.DiscardHandler),
	})
	require.NoError(t, err)
	return r, s
}

func TestOnlyALeaderRecordsJoiningReplicas(t *testing.T) {
	r, s := newReplica(t, "vm-1")
	m := r.groups[0]
	r.onHello(time.Now(), m, "vm-2", hello{ID: 5})
	r.outbox.flush()
	require.Empty(t, m.joining)
	v, err := decodeEnvelope(s.frames[0], "vm-1")
	require.NoError(t, err)
	require.Equal(t, []hello{{ID: r.id, ResponseTo: 5}}, v.hellos)
}

// TestFirstInitialMemberWaitsForAllResponses checks that a group is bootstrapped only by the first initial member, and only
// when all others have responded that they are blank. Otherwise a second group could be created beside an existing one.
func TestFirstInitialMemberWaitsForAllResponses(t *testing.T) {
	table := []struct {
		name       string
		vm         string
		responses  []hello // of vm-2 (or vm-1) and vm-3
		bootstraps bool
	}{
		{"all blank", "vm-1", []hello{{ID: 5}, {ID: 6}}, true},
		{"one unresponsive", "vm-1", []hello{{ID: 5}}, false},
		{"one with state", "vm-1", []hello{{ID: 5}, {ID: 6, HasState: true}}, false},
		{"one with state meanwhile", "vm-1", []hello{{ID: 5}, {ID: 6}, {ID: 5, HasState: true}}, false},
		{"not the first", "vm-2", []hello{{ID: 5}, {ID: 6}}, false},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			r, _ := newReplica(t, c.vm)
			m := r.groups[0]
			others := []string{"vm-2", "vm-3", "vm-2"}
			if c.vm == "vm-2" {
				others[0] = "vm-1"
			}
			for i, h := range c.responses {
				h.ResponseTo = r.id
				r.onHello(time.Now(), m, others[i], h)
			}
			r.discoverGroups(time.Now())
			require.Equal(t, c.bootstraps, !m.core.Blank())
		})
	}
}

// TestResponsesToAnotherReplicaAreIgnored delivers a response to the replica that the VM had before it lost its disk.
func TestResponsesToAnotherReplicaAreIgnored(t *testing.T) {
	r, _ := newReplica(t, "vm-1")
	r.onHello(time.Now(), r.groups[0], "vm-2", hello{ID: 5, ResponseTo: r.id + 1})
	require.Empty(t, r.groups[0].blankPeers)
}

func FuzzDecodeEnvelope(f *testing.F) {
	s := &recorder{}
	o := newOutbox(s)
	o.message(7, consensus.Message{
		Kind: consensus.Heartbeat, From: consensus.Member{VM: "a", ID: 1}, To: consensus.Member{VM: "b", ID: 2}, Term: 3,
	})
	o.hello("b", hello{Group: 1, ID: 5, ResponseTo: 6, HasState: true})
	o.flush()
	v, err := decodeEnvelope(s.frames[0], "a")
	require.NoError(f, err)
	require.Len(f, v.messages, 1)
	require.Len(f, v.hellos, 1)
	f.Add(s.frames[0])
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := decodeEnvelope(b, "a")
		if err != nil {
			return
		}
		for _, m := range v.messages {
			require.Equal(t, "a", m.message.From.VM)
		}
	})
}
