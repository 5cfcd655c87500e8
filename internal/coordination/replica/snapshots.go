package replica

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"snipetack/internal/coordination/consensus"
	"snipetack/internal/state/journal"
)

// Parts of the names of snapshot files.
const (
	snapshotPrefix = "snapshot-"
	partialSuffix  = ".part"
)

// snapshotFiles reads and writes the files with the content of snapshots. A file is written under its name with
// partialSuffix and renamed when it is complete and synced.
type snapshotFiles struct {
	folder journal.Folder
}

func snapshotName(group uint32, index uint64) string {
	return fmt.Sprintf("%s%d-%d", snapshotPrefix, group, index)
}

// write stores the complete content of a snapshot.
func (s snapshotFiles) write(group uint32, index uint64, content []byte) error {
	n := snapshotName(group, index)
	if err := s.writePart(n, 0, content); err != nil {
		return err
	}
	return s.finish(group, index)
}

// writeChunk adds a received chunk to the partial file of a snapshot.
func (s snapshotFiles) writeChunk(group uint32, c consensus.Chunk) error {
	return s.writePart(snapshotName(group, c.Snapshot.Index), c.Offset, c.Data)
}

// finish syncs the partial file of a snapshot and renames it to its final name.
func (s snapshotFiles) finish(group uint32, index uint64) error {
	n := snapshotName(group, index)
	f, err := s.folder.Open(n + partialSuffix)
	if err != nil {
		return err
	}
	err = f.Sync()
	_ = f.Close()
	if err != nil {
		return errors.Wrapf(err, "syncing %s", n)
	}
	return s.folder.Rename(n+partialSuffix, n)
}

// read returns the content of a snapshot, or an error if its size or checksum differs from the description.
func (s snapshotFiles) read(group uint32, d consensus.Snapshot) ([]byte, error) {
	n := snapshotName(group, d.Index)
	f, err := s.folder.Open(n)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b, err := journal.Read(f)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", n)
	}
	if uint64(len(b)) != d.Size || xxhash.Sum64(b) != d.Checksum {
		return nil, errors.Errorf("%s is damaged: its size or checksum differs from that in the journal", n)
	}
	return b, nil
}

// readChunk returns up to consensus.ChunkBytes of a snapshot's content from offset on; nil at the end. It does not check
// the checksum.
func (s snapshotFiles) readChunk(group uint32, d consensus.Snapshot, offset uint64) ([]byte, error) {
	n := snapshotName(group, d.Index)
	f, err := s.folder.Open(n)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	b := make([]byte, min(d.Size-offset, consensus.ChunkBytes))
	if len(b) == 0 {
		return nil, nil
	}
	k, err := f.ReadAt(b, int64(offset))
	if k < len(b) {
		return nil, errors.Wrapf(err, "reading %s at %d", n, offset)
	}
	return b, nil
}

// cleanUp removes all snapshot files, also partial ones, except those in keep.
func (s snapshotFiles) cleanUp(keep map[string]bool) error {
	l, err := s.folder.List()
	if err != nil {
		return err
	}
	for _, n := range l {
		if strings.HasPrefix(n, snapshotPrefix) && !keep[n] {
			if err := s.folder.Remove(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// writePart appends content to a partial file, which it truncates first if offset is 0.
func (s snapshotFiles) writePart(name string, offset uint64, content []byte) error {
	f, err := s.folder.Open(name + partialSuffix)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	if offset == 0 {
		if err := f.Truncate(0); err != nil {
			return errors.Wrapf(err, "truncating %s", name)
		}
	}
	_, err = f.Write(content)
	return errors.Wrapf(err, "writing %s", name)
}
