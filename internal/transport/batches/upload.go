package batches

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"hash"
	"hash/maphash"
	"io"

	"github.com/pkg/errors"

	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// upload validates a file line by line and commits it in chunks, so that only one chunk is in memory.
type upload struct {
	client       *Client
	file         ledger.File
	nextChunk    int // number of the next chunk, from 0
	lines        int
	pending      bytes.Buffer
	pendingLines int // lines in pending, which are not committed yet
	hash         hash.Hash
	model        string
	endpoint     string
	tokens       int
	seed         maphash.Seed
	lineOfID     map[uint64]int // line number by hash of its custom id
}

func newUpload(c *Client, f ledger.File) *upload {
	return &upload{client: c, file: f, hash: sha256.New(), seed: maphash.MakeSeed(), lineOfID: map[uint64]int{}}
}

// run reads and commits the file and returns it sealed. If a line is invalid or reading fails, the chunks committed so
// far are dropped. A repeated upload with the same idempotency key returns the file that exists.
func (u *upload) run(ctx context.Context, r io.Reader) (ledger.File, error) {
	o, err := u.client.Commit(ctx, ledger.Command{Open: &u.file})
	if err != nil {
		return ledger.File{}, err
	}
	if o.File != nil && o.File.Sealed {
		return u.existing(*o.File, r)
	}
	if err := u.readLines(ctx, r); err != nil {
		_, _ = u.client.Commit(context.WithoutCancel(ctx), ledger.Command{Drop: &ledger.Drop{File: u.file.ID, Account: u.file.Account}})
		return ledger.File{}, err
	}
	s := ledger.Seal{File: u.file.ID, Model: u.model, Endpoint: u.endpoint, Tokens: u.tokens}
	u.hash.Sum(s.Digest[:0])
	o, err = u.client.Commit(ctx, ledger.Command{Seal: &s})
	if err != nil {
		return ledger.File{}, err
	}
	return *o.File, nil
}

// existing reads an upload whose idempotency key belongs to f and returns f if the content is the same; otherwise it
// fails with IdempotencyClash.
func (u *upload) existing(f ledger.File, r io.Reader) (ledger.File, error) {
	if _, err := io.Copy(u.hash, normalise(r)); err != nil {
		return f, result.New(result.MalformedRequest, "the file could not be read")
	}
	var d [32]byte
	u.hash.Sum(d[:0])
	if d != f.Digest {
		return f, result.New(result.IdempotencyClash, "the idempotency key belongs to file %s with another content", f.ID)
	}
	return f, nil
}

func (u *upload) readLines(ctx context.Context, r io.Reader) error {
	s := newLineScanner(r)
	for s.Scan() {
		l := bytes.TrimRight(s.Bytes(), "\r")
		if len(bytes.TrimSpace(l)) == 0 {
			continue
		}
		if err := u.addLine(l); err != nil {
			return err
		}
		if u.pending.Len() >= ledger.ChunkSize {
			if err := u.flush(ctx); err != nil {
				return err
			}
		}
	}
	if err := s.Err(); err != nil {
		if errors.Is(err, bufio.ErrTooLong) {
			return result.New(result.FileInvalid, "line %d is longer than %d bytes", u.lines+1, maxLine)
		}
		return readFailure(err)
	}
	if u.lines == 0 {
		return result.New(result.FileInvalid, "the file has no lines")
	}
	return u.flush(ctx)
}

func (u *upload) addLine(l []byte) error {
	u.lines++
	i, b, err := parseItem(l, u.lines)
	if err != nil {
		return err
	}
	if u.lines == 1 {
		u.model, u.endpoint = b.Model, i.URL
	}
	if b.Model != u.model || i.URL != u.endpoint {
		return result.New(result.FileInvalid, "line %d: model and url differ from line 1", u.lines)
	}
	h := maphash.String(u.seed, i.CustomID)
	if n, ok := u.lineOfID[h]; ok {
		return result.New(result.FileInvalid, "line %d: custom_id %q stands in line %d already", u.lines, i.CustomID, n)
	}
	u.lineOfID[h] = u.lines
	u.tokens += b.tokenLimit()
	u.pendingLines++
	u.pending.Write(l)
	u.pending.WriteByte('\n')
	return nil
}

func (u *upload) flush(ctx context.Context) error {
	if u.pendingLines == 0 {
		return nil
	}
	t := u.pending.Bytes()
	_, _ = u.hash.Write(t)
	d, err := ledger.Compress(t)
	if err != nil {
		return err
	}
	a := ledger.Append{File: u.file.ID, Number: u.nextChunk, Chunk: ledger.Chunk{Lines: u.pendingLines, Raw: len(t), Data: d}}
	if _, err := u.client.Commit(ctx, ledger.Command{Append: &a}); err != nil {
		return err
	}
	u.nextChunk++
	u.pendingLines = 0
	u.pending.Reset()
	return nil
}

func newLineScanner(r io.Reader) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	return s
}

// normalise returns a file's content as chunks hold it: without blank lines, each line ended by a single line feed.
func normalise(r io.Reader) io.Reader {
	p, w := io.Pipe()
	go func() {
		s := newLineScanner(r)
		for s.Scan() {
			l := bytes.TrimRight(s.Bytes(), "\r")
			if len(bytes.TrimSpace(l)) == 0 {
				continue
			}
			if _, err := w.Write(append(bytes.Clone(l), '\n')); err != nil {
				return
			}
		}
		_ = w.CloseWithError(s.Err())
	}()
	return p
}
