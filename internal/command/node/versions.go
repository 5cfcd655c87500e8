package node

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/coordination/origin"
	"snipetack/internal/coordination/pause"
	"snipetack/internal/transport/disk"
)

// The file in which a batch VM keeps the versions that it has seen, so that it knows after a loss of all power whether there was only one.
const (
	versionsFile     = "versions"
	versionsPart     = "versions.part"
	versionsInterval = time.Second // between checks whether they have changed
	maxVersionsFile  = 1 << 20     // bytes
)

// keepVersions writes the versions of services to the data folder when they change, until ctx ends. ready reports whether the folder
// has other files already: a folder with this file alone would be taken for one that belongs to a group.
func (m *member) keepVersions(ctx context.Context, ready func() bool) error {
	var saved []origin.Origin
	for pause.For(ctx, versionsInterval) {
		l := m.history.Versions()
		if !ready() || slices.Equal(l, saved) {
			continue
		}
		if err := saveVersions(m.n.Disk, l); err != nil {
			m.n.Log.Warn("versions of upstreams not saved; after a loss of all power, streams may not be taken up", "error", err)
		}
		saved = l // a failed write is repeated with the next change
	}
	return nil
}

func saveVersions(d disk.Folder, l []origin.Origin) error {
	f, err := d.Open(versionsPart)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // what counts is synced
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.Write(origin.EncodeVersions(l)); err != nil {
		return err
	}
	if err := f.Sync(); err != nil {
		return err
	}
	return d.Rename(versionsPart, versionsFile)
}

// restoreVersions reads what the former process has saved, if there is anything.
func (m *member) restoreVersions() {
	l, err := loadVersions(m.n.Disk)
	if err != nil {
		m.n.Log.Warn("versions of upstreams not read", "error", err)
		return
	}
	m.history.Restore(l, time.Now())
}

func loadVersions(d disk.Folder) ([]origin.Origin, error) {
	names, err := d.List()
	if err != nil || !slices.Contains(names, versionsFile) {
		return nil, err
	}
	f, err := d.Open(versionsFile)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	if n > maxVersionsFile {
		return nil, errors.Errorf("the file has %d bytes", n)
	}
	b, err := io.ReadAll(io.NewSectionReader(f, 0, n))
	if err != nil {
		return nil, err
	}
	return origin.DecodeVersions(b)
}
