package disk

import (
	"os"
	"path/filepath"
	"sort"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"snipetack/internal/state/journal"
)

// lockFile is locked while the folder is open, so that a second process can't use it. List leaves it out.
const lockFile = "lock"

// File is an open file of a data folder; what is written to it is durable only once Sync has returned.
type File = journal.File

// Folder is the data folder of a VM. Names of files are relative to it.
type Folder interface {
	// Open opens a file for reading and appending. If it is missing, it is created; its name is durable on return.
	Open(name string) (File, error)
	// List returns the names of the files, sorted.
	List() ([]string, error)
	// Rename renames a file and atomically replaces the one called to; this is durable on return.
	Rename(from, to string) error
	// Remove deletes a file; this is durable on return.
	Remove(name string) error
	// Sync makes the names of all files durable: those created, renamed and removed.
	Sync() error
	// Close releases the folder's lock; open files stay open.
	Close() error
}

type folder struct {
	path string
	lock *os.File
}

var _ Folder = (*folder)(nil)

// New opens a data folder and creates it if it is missing. It fails if another process has the folder open.
func New(path string) (Folder, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, errors.Wrapf(err, "creating data folder %s", path)
	}
	l, err := os.OpenFile(filepath.Join(path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "opening the lock of data folder %s", path)
	}
	if err := unix.Flock(int(l.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = l.Close()
		return nil, errors.Wrapf(err, "data folder %s is in use by another process", path)
	}
	return &folder{path: path, lock: l}, nil
}

func (f *folder) Open(name string) (File, error) {
	p := filepath.Join(f.path, name)
	_, err := os.Stat(p)
	isNew := os.IsNotExist(err)
	h, err := os.OpenFile(p, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrapf(err, "opening %s", p)
	}
	if isNew {
		err = f.Sync()
	}
	return &file{File: h}, err
}

func (f *folder) List() ([]string, error) {
	l, err := os.ReadDir(f.path)
	if err != nil {
		return nil, errors.Wrapf(err, "listing %s", f.path)
	}
	var n []string
	for _, e := range l {
		if e.Name() != lockFile {
			n = append(n, e.Name())
		}
	}
	sort.Strings(n)
	return n, nil
}

func (f *folder) Rename(from, to string) error {
	err := os.Rename(filepath.Join(f.path, from), filepath.Join(f.path, to))
	if err != nil {
		return errors.Wrapf(err, "renaming %s in %s", from, f.path)
	}
	return f.Sync()
}

func (f *folder) Remove(name string) error {
	if err := os.Remove(filepath.Join(f.path, name)); err != nil {
		return errors.Wrapf(err, "removing %s from %s", name, f.path)
	}
	return f.Sync()
}

func (f *folder) Close() error {
	return f.lock.Close()
}

func (f *folder) Sync() error {
	d, err := os.Open(f.path)
	if err != nil {
		return errors.Wrapf(err, "opening %s", f.path)
	}
	defer d.Close()
	return errors.Wrapf(d.Sync(), "syncing %s", f.path)
}

type file struct {
	*os.File
}

func (f *file) Size() (int64, error) {
	i, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}
