package fakedisk

import (
	"io"
	"sort"
	"sync"
	"time"

	"github.com/pkg/errors"

	"snipetack/internal/transport/disk"
)

// ErrFault is returned for injected faults and by files that were opened before a crash.
var ErrFault = errors.New("disk fault")

// Folder is an in-memory data folder. Create, remove and truncate are durable immediately, create and remove together
// with all earlier renames; a rename is durable when Rename returns. Written bytes survive Crash only once they are
// synced. It is safe for concurrent use.
type Folder struct {
	mu        sync.Mutex
	files     map[string]*content
	renames   []rename // not durable yet, oldest first
	syncDelay time.Duration
	failSync  bool
	failWrite bool
	syncs     int
	bytes     int
	ends      int // crashes, kills and wipes so far; a file opened before the last one fails
}

// rename is a rename that a crash undoes.
type rename struct {
	from, to string
	replaced *content // nil if there was no target
}

type content struct {
	b      []byte
	synced int // the first bytes that survive a crash
}

var _ disk.Folder = (*Folder)(nil)

// New returns an empty Folder.
func New() *Folder {
	return &Folder{files: map[string]*content{}}
}

// SetSyncDelay makes each sync take d longer, also the sync of a rename.
func (f *Folder) SetSyncDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.syncDelay = d
}

// SetFailSync makes each sync fail with ErrFault; the bytes stay unsynced and are lost in a crash.
func (f *Folder) SetFailSync(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failSync = fail
}

// SetFailWrite makes each write fail with ErrFault and write nothing, as on a full disk.
func (f *Folder) SetFailWrite(fail bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failWrite = fail
}

// Syncs returns the number of successful syncs so far.
func (f *Folder) Syncs() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncs
}

// Bytes returns the number of bytes written so far, synced or not.
func (f *Folder) Bytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Crash drops the unsynced bytes of each file except the first torn ones, which stand for a torn write, and undoes
// renames that were not synced. Files that are open now fail every write, sync and truncate from then on, and so do
// renames that have not returned.
func (f *Folder) Crash(torn int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends++
	for i := len(f.renames) - 1; i >= 0; i-- {
		r := f.renames[i]
		f.files[r.from] = f.files[r.to]
		delete(f.files, r.to)
		if r.replaced != nil {
			f.files[r.to] = r.replaced
		}
	}
	f.renames = nil
	for n, c := range f.files {
		k := min(len(c.b), c.synced+torn)
		f.files[n] = &content{b: append([]byte(nil), c.b[:k]...), synced: k}
	}
}

// Kill ends the process that uses the folder, but loses nothing: a later Crash still drops what was not synced. Open
// files and renames fail as after Crash.
func (f *Folder) Kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends++
}

// Wipe removes all files, as when a VM loses its disk; open files fail as after Crash.
func (f *Folder) Wipe() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ends++
	f.files = map[string]*content{}
	f.renames = nil
}

// Flip inverts all bits of the byte at an offset of a file, which must exist.
func (f *Folder) Flip(name string, at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.files[name].b[at] ^= 0xff
}

// Open opens a file for appending and reading, and creates it when it is missing.
func (f *Folder) Open(name string) (disk.File, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		f.files[name] = &content{}
		f.renames = nil
	}
	return &file{f: f, name: name, c: f.files[name], endsAtOpen: f.ends}, nil
}

// List returns the names of the files in lexical order.
func (f *Folder) List() ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []string
	for n := range f.files {
		l = append(l, n)
	}
	sort.Strings(l)
	return l, nil
}

// Rename renames a file atomically, replacing the target; unsynced bytes stay unsynced. The new name is visible
// immediately and durable on return.
func (f *Folder) Rename(from, to string) error {
	f.mu.Lock()
	c, ok := f.files[from]
	if !ok {
		f.mu.Unlock()
		return errors.Errorf("renaming %s: no such file", from)
	}
	f.renames = append(f.renames, rename{from: from, to: to, replaced: f.files[to]})
	delete(f.files, from)
	f.files[to] = c
	f.mu.Unlock()
	return f.Sync()
}

// Sync makes the renames so far durable.
func (f *Folder) Sync() error {
	f.mu.Lock()
	d, n, ends := f.syncDelay, len(f.renames), f.ends
	f.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failSync || ends != f.ends {
		return ErrFault
	}
	f.renames = f.renames[min(n, len(f.renames)):]
	return nil
}

// Remove deletes a file; files that have it open keep its bytes.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.files[name] == nil {
		return errors.Errorf("removing %s: no such file", name)
	}
	delete(f.files, name)
	f.renames = nil
	return nil
}

// Close does nothing.
func (f *Folder) Close() error { return nil }

// file is an open file; writes append.
type file struct {
	f          *Folder
	name       string
	c          *content
	endsAtOpen int // Folder.ends when the file was opened
}

func (h *file) Write(b []byte) (int, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.failWrite || h.endsAtOpen != h.f.ends {
		return 0, ErrFault
	}
	h.c.b = append(h.c.b, b...)
	h.f.bytes += len(b)
	return len(b), nil
}

func (h *file) ReadAt(b []byte, at int64) (int, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if at >= int64(len(h.c.b)) {
		return 0, io.EOF
	}
	n := copy(b, h.c.b[at:])
	if n < len(b) {
		return n, io.EOF
	}
	return n, nil
}

func (h *file) Sync() error {
	h.f.mu.Lock()
	d := h.f.syncDelay
	n := len(h.c.b)
	h.f.mu.Unlock()
	if d > 0 {
		time.Sleep(d)
	}
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.f.failSync || h.endsAtOpen != h.f.ends {
		return ErrFault
	}
	h.f.syncs++
	h.c.synced = min(n, len(h.c.b))
	return nil
}

func (h *file) Truncate(size int64) error {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	if h.endsAtOpen != h.f.ends {
		return ErrFault
	}
	h.c.b = h.c.b[:min(int(size), len(h.c.b))]
	h.c.synced = min(h.c.synced, len(h.c.b))
	return nil
}

func (h *file) Size() (int64, error) {
	h.f.mu.Lock()
	defer h.f.mu.Unlock()
	return int64(len(h.c.b)), nil
}

func (h *file) Close() error { return nil }
