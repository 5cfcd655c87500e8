package ledger

import (
	"sort"
	"time"
)

// File is an uploaded file, or the results or errors file of a job, which grows until the job ends.
type File struct {
	ID        string
	Account   string
	Name      string
	Purpose   string
	Key       string // idempotency key of the upload, may be empty
	CreatedAt time.Time
	Lines     int
	Bytes     int64    // uncompressed
	Digest    [32]byte // SHA-256 of the content
	Sealed    bool     // the upload is complete; always set for the files of a job
	Declared  int64    // max uncompressed bytes of the upload, reserved until the file is sealed
	Model     string   // named by every item
	Endpoint  string   // named by every item
	Tokens    int      // max tokens that all items together may generate
	chunks    []Chunk
	stored    int64 // compressed bytes of chunks
}

// add appends a chunk at the end of the file and returns its compressed size in bytes.
func (f *File) add(c Chunk) int64 {
	c.First = f.Lines
	c.Start = f.Bytes
	f.chunks = append(f.chunks, c)
	f.Lines += c.Lines
	f.Bytes += int64(c.Raw)
	n := int64(len(c.Data))
	f.stored += n
	return n
}

// chunksFrom returns chunks from the one that holds an uncompressed offset on, limited by limitSize.
func (f *File) chunksFrom(offset int64, size int) []Chunk {
	i := sort.Search(len(f.chunks), func(i int) bool {
		return f.chunks[i].Start+int64(f.chunks[i].Raw) > offset
	})
	return limitSize(f.chunks[i:], size)
}

// chunkWithLine returns the chunk that holds a line, counted from 0.
func (f *File) chunkWithLine(line int) (Chunk, bool) {
	i := sort.Search(len(f.chunks), func(i int) bool {
		return f.chunks[i].First+f.chunks[i].Lines > line
	})
	if i == len(f.chunks) {
		return Chunk{}, false
	}
	return f.chunks[i], true
}

// header returns the file without its chunks.
func (f *File) header() File {
	h := *f
	h.chunks = nil
	return h
}

// limitSize returns the first chunks, up to and including the one at which their compressed bytes reach size.
func limitSize(l []Chunk, size int) []Chunk {
	n := 0
	for i, c := range l {
		n += len(c.Data)
		if n >= size {
			return l[:i+1]
		}
	}
	return l
}
