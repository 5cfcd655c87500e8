package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

// rewriteSuffix is added to the name of the file that Rewrite fills before it replaces the journal.
const rewriteSuffix = ".next"

// File is an open file of a data folder.
type File interface {
	io.Writer // appends
	io.ReaderAt
	// Sync returns when everything written so far is durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
	// Size returns the length in bytes.
	Size() (int64, error)
	// Close closes the file without a sync.
	Close() error
}

// Folder holds the files of one replica.
type Folder interface {
	// Open opens a file for reading and appending, and creates it when it is missing.
	Open(name string) (File, error)
	// List returns the sorted names of the files.
	List() ([]string, error)
	// Rename renames a file and atomically replaces the one called to. The change is durable when it returns.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(name string) error
	// Sync makes the names of all files durable.
	Sync() error
}

// Damage is the error of Open for a record that was synced and can no longer be read.
type Damage struct {
	File   string
	Offset int64
}

// Error returns a message with the file and the record's offset in bytes.
func (d Damage) Error() string {
	return fmt.Sprintf("%s is damaged at offset %d: a valid record follows one that can't be read", d.File, d.Offset)
}

// Journal is an open journal; it is not safe for concurrent use.
type Journal struct {
	folder     Folder
	name       string
	file       File
	lastNumber uint64 // of the last record; the first has number 1
	size       int64  // bytes
	failed     error  // the first error of a write or Close; every later write returns it
}

// Open opens a journal, creates it when it is missing, and returns its payloads in order. It cuts off an invalid
// rest of the file, unless a valid record is in it: then it fails with a Damage. The payloads are durable on return, also
// if a process was killed before it had synced them.
func Open(f Folder, name string) (*Journal, [][]byte, error) {
	h, err := f.Open(name)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "opening %s", name)
	}
	j := &Journal{folder: f, name: name, file: h}
	l, err := j.recover()
	if err != nil {
		_ = h.Close()
		return nil, nil, err
	}
	return j, l, nil
}

// Append writes a payload of at most MaxPayload bytes and returns when it is synced. After an error it is unknown what
// the file ends with, so every later Append and Rewrite fails, too, until the journal is opened again.
func (j *Journal) Append(payload []byte) error {
	if j.failed != nil {
		return j.failed
	}
	b := appendRecord(make([]byte, 0, headerSize+len(payload)), j.lastNumber+1, payload)
	if err := write(j.file, b); err != nil {
		j.failed = errors.Wrapf(err, "appending to %s", j.name)
		return j.failed
	}
	j.lastNumber++
	j.size += int64(len(b))
	return nil
}

// Rewrite atomically replaces all records by one for each payload. After an error every later Append and Rewrite fails.
func (j *Journal) Rewrite(payloads [][]byte) error {
	if j.failed != nil {
		return j.failed
	}
	if err := j.rewrite(payloads); err != nil {
		j.failed = errors.Wrapf(err, "rewriting %s", j.name)
		return j.failed
	}
	return nil
}

// Size returns the length in bytes.
func (j *Journal) Size() int64 {
	return j.size
}

// Close closes the file; every later Append and Rewrite fails.
func (j *Journal) Close() error {
	if j.failed == nil {
		j.failed = errors.Errorf("%s is closed", j.name)
	}
	return j.file.Close()
}

func (j *Journal) recover() ([][]byte, error) {
	b, err := Read(j.file)
	if err != nil {
		return nil, errors.Wrapf(err, "reading %s", j.name)
	}
	l, valid, err := parse(j.name, b)
	if err != nil {
		return nil, err
	}
	j.lastNumber = uint64(len(l))
	j.size = int64(valid)
	if valid < len(b) {
		if err := j.file.Truncate(j.size); err != nil {
			return nil, errors.Wrapf(err, "cutting off the torn record at the end of %s", j.name)
		}
	}
	if err := j.file.Sync(); err != nil {
		return nil, errors.Wrapf(err, "syncing %s", j.name)
	}
	return l, errors.Wrapf(j.folder.Sync(), "syncing the name of %s", j.name)
}

func (j *Journal) rewrite(payloads [][]byte) error {
	n := j.name + rewriteSuffix
	h, err := j.folder.Open(n)
	if err != nil {
		return err
	}
	if err := h.Truncate(0); err != nil {
		_ = h.Close()
		return err
	}
	var b []byte
	for i, p := range payloads {
		b = appendRecord(b, uint64(i+1), p)
	}
	if err := write(h, b); err != nil {
		_ = h.Close()
		return err
	}
	if err := j.folder.Rename(n, j.name); err != nil {
		_ = h.Close()
		return err
	}
	_ = j.file.Close()
	j.file = h
	j.lastNumber = uint64(len(payloads))
	j.size = int64(len(b))
	return nil
}

// Read returns the complete content of a file.
func Read(f File) ([]byte, error) {
	n, err := f.Size()
	if err != nil {
		return nil, err
	}
	b := make([]byte, n)
	k, err := f.ReadAt(b, 0)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return b[:k], nil
}

func write(f File, b []byte) error {
	if _, err := f.Write(b); err != nil {
		return err
	}
	return f.Sync()
}

// parse returns the payloads of the valid records at the start of b and the length of these records. It fails when a
// valid record follows an invalid one.
func parse(name string, b []byte) (payloads [][]byte, valid int, err error) {
	for valid < len(b) {
		n, p, k := readRecord(b[valid:])
		if k == 0 || n != uint64(len(payloads)+1) {
			break
		}
		payloads = append(payloads, p)
		valid += k
	}
	if valid < len(b) && containsRecord(b[valid:]) {
		return nil, 0, Damage{File: name, Offset: int64(valid)}
	}
	return payloads, valid, nil
}

// containsRecord reports whether a valid record starts anywhere in b.
func containsRecord(b []byte) bool {
	m := binary.LittleEndian.AppendUint32(nil, marker)
	for {
		i := bytes.Index(b, m)
		if i < 0 {
			return false
		}
		if _, _, k := readRecord(b[i:]); k > 0 {
			return true
		}
		b = b[i+1:]
	}
}
