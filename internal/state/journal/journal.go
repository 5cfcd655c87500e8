package journal

import (
	"fmt"
	"io"
	"slices"

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

// Open opens a journal, creates it when it is missing, and calls replay with each payload in order. It cuts off an invalid
// rest of the file, unless a valid record is in it: then it fails with a Damage. The payloads are durable on return, also
// if a process was killed before it had synced them. Payloads can be read until replay returns, and later by ReadAt until
// the next Rewrite. Open needs no memory for the file or a record. It removes what an unfinished Rewrite has left.
func Open(f Folder, name string, replay func(Payload) error) (*Journal, error) {
	if err := removeUnfinished(f, name); err != nil {
		return nil, err
	}
	h, err := f.Open(name)
	if err != nil {
		return nil, errors.Wrapf(err, "opening %s", name)
	}
	j := &Journal{folder: f, name: name, file: h}
	if err := j.recover(replay); err != nil {
		_ = h.Close()
		return nil, err
	}
	return j, nil
}

// Append writes a payload of at most MaxPayload bytes and returns when it is synced. After an error it is unknown what
// the file ends with, so every later Append and Rewrite fails, too, until the journal is opened again.
func (j *Journal) Append(payload []byte) error {
	if j.failed != nil {
		return j.failed
	}
	w := recordWriter{f: j.file, number: j.lastNumber, size: j.size}
	err := w.add(payload)
	if err == nil {
		err = w.finish()
	}
	if err != nil {
		j.failed = errors.Wrapf(err, "appending to %s", j.name)
		return j.failed
	}
	j.lastNumber, j.size = w.number, w.size
	return nil
}

// Rewrite atomically replaces all records by those for which write calls add, each with a payload of at most MaxPayload bytes.
// If the new file can't be written, for example because the disk is full, it is removed, and the journal goes on with its
// records. If the file can't take the journal's name, every later Append and Rewrite fails.
func (j *Journal) Rewrite(write func(add func(payload []byte) error) error) error {
	if j.failed != nil {
		return j.failed
	}
	n := j.name + rewriteSuffix
	w, err := j.writeNext(n, write)
	if err != nil {
		if x := removeUnfinished(j.folder, j.name); x != nil {
			j.failed = x
		}
		return errors.Wrapf(err, "rewriting %s", j.name)
	}
	if err := j.folder.Rename(n, j.name); err != nil {
		_ = w.f.Close()
		j.failed = errors.Wrapf(err, "rewriting %s", j.name)
		return j.failed
	}
	_ = j.file.Close()
	j.file, j.lastNumber, j.size = w.f, w.number, w.size
	return nil
}

// Usable reports whether Append and Rewrite may still succeed.
func (j *Journal) Usable() bool {
	return j.failed == nil
}

// ReadAt reads from an offset in the file, as Payload.Offset gives it.
func (j *Journal) ReadAt(b []byte, at int64) (int, error) {
	return j.file.ReadAt(b, at)
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

// recover passes the valid records to replay and cuts off what follows them.
func (j *Journal) recover(replay func(Payload) error) error {
	w, err := newWindow(j.file)
	for err == nil {
		n, p, k, e := w.record(j.size)
		if e != nil {
			return errors.Wrapf(e, "reading %s", j.name)
		}
		if k == 0 || n != j.lastNumber+1 {
			break
		}
		j.lastNumber = n
		j.size += k
		err = errors.Wrapf(replay(p), "replaying record %d of %s", n, j.name)
	}
	if err != nil {
		return err
	}
	if j.size < w.size {
		if err := j.cutOff(w); err != nil {
			return err
		}
	}
	if err := j.file.Sync(); err != nil {
		return errors.Wrapf(err, "syncing %s", j.name)
	}
	return errors.Wrapf(j.folder.Sync(), "syncing the name of %s", j.name)
}

// cutOff truncates the file behind its valid records, unless a further valid record shows that the file is damaged.
func (j *Journal) cutOff(w *window) error {
	damaged, err := w.containsRecord(j.size)
	if err != nil {
		return errors.Wrapf(err, "reading %s", j.name)
	}
	if damaged {
		return Damage{File: j.name, Offset: j.size}
	}
	return errors.Wrapf(j.file.Truncate(j.size), "cutting off the torn record at the end of %s", j.name)
}

// writeNext writes and syncs the file that replaces the journal. On an error the file is closed.
func (j *Journal) writeNext(name string, write func(add func(payload []byte) error) error) (recordWriter, error) {
	h, err := j.folder.Open(name)
	if err != nil {
		return recordWriter{}, err
	}
	w := recordWriter{f: h}
	err = h.Truncate(0)
	if err == nil {
		err = write(w.add)
	}
	if err == nil {
		err = w.finish()
	}
	if err != nil {
		_ = h.Close()
	}
	return w, err
}

// removeUnfinished removes the file of a Rewrite that has not finished, which may fill the disk.
func removeUnfinished(f Folder, name string) error {
	l, err := f.List()
	if err != nil || !slices.Contains(l, name+rewriteSuffix) {
		return errors.Wrap(err, "looking for an unfinished rewrite")
	}
	return errors.Wrap(f.Remove(name+rewriteSuffix), "removing an unfinished rewrite")
}

// flushBytes is how many bytes of records are collected for one write.
const flushBytes = 64 << 10

// recordWriter appends records to a file, small ones together and large ones without a copy.
type recordWriter struct {
	f      File
	b      []byte // not written yet
	number uint64 // of the last record
	size   int64  // of the file with all records
}

func (w *recordWriter) add(payload []byte) error {
	w.number++
	w.size += headerSize + int64(len(payload))
	w.b = appendHeader(w.b, w.number, payload)
	if len(w.b)+len(payload) <= flushBytes {
		w.b = append(w.b, payload...)
		return nil
	}
	if err := w.flush(); err != nil {
		return err
	}
	_, err := w.f.Write(payload)
	return err
}

// flush writes what was collected.
func (w *recordWriter) flush() error {
	b := w.b
	w.b = w.b[:0]
	if len(b) == 0 {
		return nil
	}
	_, err := w.f.Write(b)
	return err
}

// finish writes what was collected and syncs the file.
func (w *recordWriter) finish() error {
	if err := w.flush(); err != nil {
		return err
	}
	return w.f.Sync()
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
