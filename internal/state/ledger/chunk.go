package ledger

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// ChunkSize is the uncompressed size in bytes at which a sender ends a chunk.
const ChunkSize = 256 << 10

// minTextLimit is how many bytes the Data of any chunk may decompress to; with more than its Raw and Cuts a larger one is not
// read.
const minTextLimit = 2 << 20

// Chunk is a run of complete lines of a file, compressed. The Machine sets First and Start when it stores the chunk.
type Chunk struct {
	First int   // number of its first line in the file, from 0
	Lines int   // without those in Cuts
	Start int64 // uncompressed offset in the file
	Raw   int   // uncompressed bytes, without those in Cuts
	Cuts  []Cut // in order of At
	Data  []byte
}

// Cut is a range of a chunk's uncompressed text that is not part of the file: the result line of an item that already
// had a result.
type Cut struct {
	At     int // offset in the chunk's text, in bytes
	Length int // in bytes
}

// Compress returns text in the compressed form of Chunk.Data and Bundle.Data.
func Compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compressing a chunk")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compressing a chunk")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a chunk")
	}
	return b.Bytes(), nil
}

// size returns the bytes that Data should hold when it is decompressed.
func (c Chunk) size() int {
	n := c.Raw
	for _, x := range c.Cuts {
		n += x.Length
	}
	return n
}

// Text returns the uncompressed lines of the chunk, without its Cuts.
func (c Chunk) Text() ([]byte, error) {
	limit := max(c.size(), minTextLimit)
	t, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(c.Data)), int64(limit)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompressing a chunk")
	}
	if len(t) > limit {
		return nil, errors.Errorf("the text of a chunk is larger than %d bytes", limit)
	}
	if len(c.Cuts) == 0 {
		return t, nil
	}
	var out []byte
	at := 0
	for _, x := range c.Cuts {
		out = append(out, t[at:x.At]...)
		at = x.At + x.Length
	}
	return append(out, t[at:]...), nil
}

// Line returns line i of the file, from 0, without its line end. It fails if the chunk does not hold the line.
func (c Chunk) Line(i int) ([]byte, error) {
	t, err := c.Text()
	if err != nil {
		return nil, err
	}
	l := bytes.Split(t, []byte("\n"))
	if i < c.First || i-c.First >= c.Lines || i-c.First >= len(l) {
		return nil, errors.Errorf("line %d is not in the chunk", i)
	}
	return l[i-c.First], nil
}
