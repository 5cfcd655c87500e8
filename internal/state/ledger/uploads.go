package ledger

import (
	"fmt"
	"time"

	"snipetack/internal/state/result"
)

func (m *Machine) open(f File, at time.Time) Outcome {
	if o, ok := m.files[f.ID]; ok && o.Account == f.Account {
		return fileOutcome(o)
	}
	if f.Key != "" {
		for _, o := range m.files {
			if o.Sealed && o.Account == f.Account && o.Key == f.Key {
				return fileOutcome(o)
			}
		}
	}
	if n := m.reserved(f.Account); n+f.Declared > m.limits.AccountBytes {
		return refused(result.JobLimit, fmt.Sprintf("account %s holds %d of %d bytes", f.Account, n, m.limits.AccountBytes))
	}
	if m.stored >= m.limits.TotalBytes {
		return refused(result.JobLimit, fmt.Sprintf("all accounts hold %d of %d compressed bytes", m.stored, m.limits.TotalBytes))
	}
	n := f
	n.CreatedAt = at
	m.files[f.ID] = &n
	return fileOutcome(&n)
}

// reserved returns the uncompressed bytes of an account's uploads; one that is not sealed counts with its declared size.
func (m *Machine) reserved(account string) int64 {
	var n int64
	for _, f := range m.files {
		if f.Account == account {
			n += max(f.Bytes, f.Declared)
		}
	}
	return n
}

func (m *Machine) append(a Append) Outcome {
	f, ok := m.files[a.File]
	switch {
	case !ok:
		return refused(result.FileUnknown, "the upload was dropped")
	case a.Number < len(f.chunks):
		return Outcome{}
	case f.Sealed || a.Number > len(f.chunks):
		return refused(result.FileInvalid, fmt.Sprintf("chunk %d does not follow chunk %d", a.Number, len(f.chunks)))
	case f.Bytes+int64(a.Chunk.Raw) > f.Declared:
		return refused(result.JobLimit, "the file is longer than was declared")
	}
	m.stored += f.add(a.Chunk)
	return Outcome{}
}

func (m *Machine) seal(s Seal) Outcome {
	f, ok := m.files[s.File]
	if !ok {
		return refused(result.FileUnknown, "the upload was dropped")
	}
	if f.Sealed {
		return fileOutcome(f)
	}
	f.Sealed = true
	f.Declared = 0
	f.Digest = s.Digest
	f.Model = s.Model
	f.Endpoint = s.Endpoint
	f.Tokens = s.Tokens
	return fileOutcome(f)
}

func (m *Machine) drop(d Drop) Outcome {
	f, ok := m.files[d.File]
	if !ok || f.Account != d.Account {
		return refused(result.FileUnknown, "the account has no such file")
	}
	for _, w := range m.jobs {
		if w.File == d.File && w.EndedAt.IsZero() {
			return refused(result.FileInvalid, "job "+w.ID+" still reads the file")
		}
	}
	m.stored -= f.stored
	delete(m.files, d.File)
	return Outcome{}
}

func fileOutcome(f *File) Outcome {
	h := f.header()
	return Outcome{File: &h}
}
