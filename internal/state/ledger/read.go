package ledger

import (
	"sort"
	"strings"
)

// responseBytes limits the compressed bytes of the chunks in one Response; the last chunk may exceed it.
const responseBytes = 1 << 20

// Subject is what a Query reads; numbers are part of the wire form.
type Subject uint64

// The subjects, each with the fields of Query that it uses.
const (
	OneJob   Subject = 1 // ID and Account
	ListJobs Subject = 2 // Account, After, Limit; newest first
	OneFile  Subject = 3 // ID and Account
	AllFiles Subject = 4 // Account, After, Limit; newest first
	Content  Subject = 5 // ID, Account, Offset: the file and its chunks from an uncompressed offset in bytes on
	Item     Subject = 6 // ID of an input file, Offset: the chunk that holds the line of this number, from 0
	Open     Subject = 7 // none: all jobs that have not ended, and all leases
)

// Query selects a part of the state.
type Query struct {
	Subject Subject
	Account string
	ID      string
	After   string // id of the last entry of the previous page; empty for the first page
	Limit   int    // entries in a page; 0 means all
	Offset  int64  // in bytes or lines, see Subject
}

// Response holds what a Query found; it is empty if nothing was found.
type Response struct {
	Jobs   []Job
	Files  []File
	Chunks []Chunk
	Leases []Lease
	More   bool // another page follows
}

// Read executes a query on the state applied so far.
func (m *Machine) Read(q Query) Response {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var a Response
	switch q.Subject {
	case OneJob:
		if w, ok := m.jobs[q.ID]; ok && w.Account == q.Account {
			a.Jobs = []Job{w.header()}
		}
	case ListJobs:
		a.Jobs, a.More = m.listJobs(q)
	case OneFile:
		if f := m.readableFile(q.ID); f != nil && f.Account == q.Account {
			a.Files = []File{f.header()}
		}
	case AllFiles:
		a.Files, a.More = m.listFiles(q)
	case Content:
		if f := m.readableFile(q.ID); f != nil && f.Account == q.Account {
			a.Files = []File{f.header()}
			a.Chunks = f.chunksFrom(q.Offset, responseBytes)
		}
	case Item:
		if f, ok := m.files[q.ID]; ok {
			if c, ok := f.chunkWithLine(int(q.Offset)); ok {
				a.Chunks = []Chunk{c}
			}
		}
	case Open:
		m.readOpen(&a)
	}
	return a
}

// readableFile returns a sealed upload or a result file of a job, or nil.
func (m *Machine) readableFile(id string) *File {
	if f, ok := m.files[id]; ok && f.Sealed {
		return f
	}
	if j, ok := strings.CutPrefix(id, OutputFile("")); ok && m.jobs[j] != nil {
		return &m.jobs[j].output
	}
	if j, ok := strings.CutPrefix(id, ErrorsFile("")); ok && m.jobs[j] != nil {
		return &m.jobs[j].errors
	}
	return nil
}

func (m *Machine) listJobs(q Query) ([]Job, bool) {
	var l []*jobState
	for _, w := range m.jobs {
		if w.Account == q.Account {
			l = append(l, w)
		}
	}
	sort.Slice(l, func(i, j int) bool { return earlier(l[j], l[i]) })
	l, more := page(l, func(w *jobState) string { return w.ID }, q)
	jobs := make([]Job, 0, len(l))
	for _, w := range l {
		jobs = append(jobs, w.header())
	}
	return jobs, more
}

func (m *Machine) listFiles(q Query) ([]File, bool) {
	var l []File
	for _, f := range m.files {
		if f.Account == q.Account && f.Sealed {
			l = append(l, f.header())
		}
	}
	for _, w := range m.jobs {
		if w.Account != q.Account {
			continue
		}
		for _, f := range []*File{&w.output, &w.errors} {
			if f.Lines > 0 {
				l = append(l, f.header())
			}
		}
	}
	sort.Slice(l, func(i, j int) bool {
		if !l[i].CreatedAt.Equal(l[j].CreatedAt) {
			return l[i].CreatedAt.After(l[j].CreatedAt)
		}
		return l[i].ID < l[j].ID
	})
	return page(l, func(f File) string { return f.ID }, q)
}

func (m *Machine) readOpen(a *Response) {
	for _, w := range m.jobs {
		if w.EndedAt.IsZero() {
			a.Jobs = append(a.Jobs, w.header())
		}
	}
	sort.Slice(a.Jobs, func(i, j int) bool { return a.Jobs[i].ID < a.Jobs[j].ID })
	for _, h := range m.leases {
		l := h.Lease
		l.Held = len(h.held)
		a.Leases = append(a.Leases, l)
	}
	sort.Slice(a.Leases, func(i, j int) bool { return a.Leases[i].Upstream < a.Leases[j].Upstream })
}

// page returns the entries after q.After, at most q.Limit of them, and whether more follow. If the entry q.After no
// longer exists, it starts at the first one.
func page[T any](l []T, id func(T) string, q Query) ([]T, bool) {
	if q.After != "" {
		for i, v := range l {
			if id(v) == q.After {
				l = l[i+1:]
				break
			}
		}
	}
	if q.Limit > 0 && len(l) > q.Limit {
		return l[:q.Limit], true
	}
	return l, false
}
