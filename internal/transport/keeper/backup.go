package keeper

import (
	"context"

	"snipetack/internal/coordination/pause"
	"snipetack/internal/protocol/frame"
	"snipetack/internal/state/result"
	"snipetack/internal/transport/mesh"
)

// backupChunk is the max size of one message of a backup, in bytes.
const backupChunk = 1 << 20

// BackupProvider returns the encoded state of all groups.
type BackupProvider interface {
	Backup(ctx context.Context) ([]byte, error)
}

// OpenProvider opens a stream to a VM.
type OpenProvider interface {
	Open(ctx context.Context, vm string, k frame.Kind) (*mesh.Stream, error)
}

// Backups fetches backups from the first keeper that returns one. It is safe for concurrent use.
type Backups struct {
	open    OpenProvider
	keepers []string
}

var _ BackupProvider = (*Backups)(nil)

// NewBackups returns Backups of the named keepers.
func NewBackups(o OpenProvider, keepers []string) *Backups {
	return &Backups{open: o, keepers: keepers}
}

// ServeBackup sends the state of all groups to VMs that request it, in chunks and then an empty message.
func ServeBackup(m *mesh.Mesh, p BackupProvider) {
	m.HandleStream(frame.Snapshot, func(ctx context.Context, _ string, s *mesh.Stream) error {
		b, err := p.Backup(ctx)
		if err != nil {
			return err
		}
		for len(b) > 0 {
			n := min(len(b), backupChunk)
			if err := send(s, b[:n]); err != nil {
				return err
			}
			b = b[n:]
		}
		if err := send(s, nil); err != nil {
			return err
		}
		_, err = s.Receive() // waits for the receiver to close the stream, which it does once it has the empty message
		return err
	})
}

// Backup returns the encoded state of all groups, including everything committed before the call.
func (b *Backups) Backup(ctx context.Context) ([]byte, error) {
	var last error
	for _, k := range b.keepers {
		l, err := b.fetch(ctx, k)
		if err == nil {
			return l, nil
		}
		last = err
		if !pause.For(ctx, retryDelay) {
			break
		}
	}
	return nil, result.New(result.NoQuorum, "no keeper gave a backup: %v", last)
}

func (b *Backups) fetch(ctx context.Context, keeper string) ([]byte, error) {
	s, err := b.open.Open(ctx, keeper, frame.Snapshot)
	if err != nil {
		return nil, err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	var l []byte
	for {
		s.SetReceiveTimeout(attemptTimeout)
		p, err := s.Receive()
		if err != nil {
			return nil, err
		}
		if len(p) == 0 {
			return l, nil
		}
		l = append(l, p...)
	}
}

func send(s *mesh.Stream, b []byte) error {
	s.SetSendTimeout(attemptTimeout)
	return s.Send(b)
}
