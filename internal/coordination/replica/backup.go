package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/journal"
	"snipetack/internal/state/result"
	"snipetack/internal/state/wire"
)

// backupVersion is the version of the backup format.
const backupVersion = 1

// groupState is the applied state of a group.
type groupState struct {
	group    uint32
	snapshot consensus.Snapshot // Configuration is not set
	content  []byte
}

// Backup returns the encoded state of all groups, including everything committed before the call. The groups' states
// are copied one after the other, so they may belong to different points in time.
func (r *Replica) Backup(ctx context.Context) ([]byte, error) {
	e := wire.NewEncoder()
	e.Uint(1, backupVersion)
	for _, n := range r.groupIDs {
		if err := r.Barrier(ctx, n); err != nil {
			return nil, err
		}
		s, err := r.copyState(ctx, n)
		if err != nil {
			return nil, err
		}
		e.Record(2, func(e *wire.Encoder) {
			e.Uint(1, uint64(s.group))
			e.Record(2, func(e *wire.Encoder) { consensus.EncodeSnapshot(e, s.snapshot) })
			e.Bytes(3, s.content)
		})
	}
	return e.Encoded(), nil
}

// RestoreBackup formats an empty data folder with the state of a backup, under a new replica ID. The VM is then the only
// voter of all groups. It returns an error if the folder is not empty or the backup is damaged.
func RestoreBackup(f journal.Folder, vm string, backup []byte) error {
	l, err := decodeBackup(backup)
	if err != nil {
		return err
	}
	records := 0
	j, err := journal.Open(f, journalName, func(journal.Payload) error { records++; return nil })
	if err != nil {
		return err
	}
	defer func() { _ = j.Close() }()
	if records > 0 {
		return errors.New("the data folder is not empty")
	}
	id := newID()
	e := wire.NewEncoder()
	e.Uint(1, id)
	for _, s := range l {
		s.snapshot.Configuration = consensus.Configuration{Voters: []consensus.Member{{VM: vm, ID: id}}}
		if err := (snapshotFiles{folder: f}).write(s.group, s.snapshot.Index, s.content); err != nil {
			return err
		}
		encodeGroupChange(e, groupChange{
			group:     s.group,
			snapshot:  &s.snapshot,
			install:   true,
			hardState: &consensus.HardState{Term: s.snapshot.Term},
		})
	}
	return j.Append(e.Encoded())
}

// copyState returns a copy of the applied state of a group. It is encoded by the goroutine that applies commands.
func (r *Replica) copyState(ctx context.Context, group uint32) (groupState, error) {
	done := make(chan groupState, 1)
	err := r.runInLoop(ctx, func(time.Time) {
		m := r.groups[group]
		m.copies = append(m.copies, done)
	})
	if err != nil {
		return groupState{}, err
	}
	select {
	case s := <-done:
		return s, nil
	case <-ctx.Done():
	case <-r.done:
	}
	return groupState{}, result.New(result.NoQuorum, "no copy of group %d in time", group)
}

func decodeBackup(b []byte) ([]groupState, error) {
	var l []groupState
	version := uint64(0)
	d := wire.NewDecoder(b)
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			version = d.Uint()
		case 2:
			s, err := decodeGroupState(d.Record())
			d.Fail(err)
			l = append(l, s)
		}
	}
	if d.Err() == nil && (version != backupVersion || len(l) == 0) {
		return nil, errors.Errorf("not a backup of version %d", backupVersion)
	}
	return l, errors.Wrap(d.Err(), "decoding a backup")
}

func decodeGroupState(d *wire.Decoder) (groupState, error) {
	var s groupState
	for f, ok := d.Next(); ok; f, ok = d.Next() {
		switch f {
		case 1:
			s.group = uint32(d.Uint())
		case 2:
			x, err := consensus.DecodeSnapshot(d.Record())
			d.Fail(err)
			s.snapshot = x
		case 3:
			s.content = d.Bytes()
		}
	}
	if d.Err() == nil && (s.snapshot.Checksum != xxhash.Sum64(s.content) || s.snapshot.Index == 0) {
		return s, errors.Errorf("the state of group %d does not match its checksum", s.group)
	}
	return s, d.Err()
}

// newID returns a random replica ID. It is never 0, which stands for no replica.
func newID() uint64 {
	return rand.Uint64()>>1 | 1
}
