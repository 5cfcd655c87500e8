package batches

import (
	"context"
	"io"
	"mime/multipart"
	"net/http"

	"github.com/pkg/errors"

	"snipetack/internal/protocol/reply"
	"snipetack/internal/state/catalog"
	"snipetack/internal/state/ledger"
	"snipetack/internal/state/result"
)

// Limits of an upload.
const (
	MaxFile    = 1 << 30 // bytes
	maxPurpose = 64      // bytes
	purpose    = "batch" // the only purpose accepted
)

// idempotencyKeyHeader carries the idempotency key of an upload or job.
const idempotencyKeyHeader = "Idempotency-Key"

func (i *API) upload(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	if r.ContentLength > MaxFile {
		return result.New(result.BodyTooLarge, "the file exceeds %d bytes", MaxFile)
	}
	size := r.ContentLength
	if size < 0 {
		size = MaxFile
	}
	r.Body = http.MaxBytesReader(w, r.Body, MaxFile)
	m, err := r.MultipartReader()
	if err != nil {
		return result.New(result.MalformedRequest, "send the file as multipart/form-data")
	}
	f, err := i.readForm(r, m, ledger.File{
		ID:       newID("file-"),
		Account:  a.Name,
		Purpose:  purpose,
		Key:      r.Header.Get(idempotencyKeyHeader),
		Declared: size + 1, // a line end is added to the last line if it has none
	})
	if err != nil {
		return err
	}
	i.d.Log.Info("file accepted", "file", f.ID, "account", a.Name, "lines", f.Lines, "bytes", f.Bytes)
	reply.JSON(w, http.StatusOK, fileOf(f))
	return nil
}

// readForm stores the file part of a form, whose parts may come in any order. If the purpose is wrong, the file is
// dropped again.
func (i *API) readForm(r *http.Request, m *multipart.Reader, f ledger.File) (ledger.File, error) {
	var done *ledger.File
	given := ""
	for {
		p, err := m.NextPart()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return f, readFailure(err)
		}
		switch p.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(p, maxPurpose))
			if err != nil {
				return f, readFailure(err)
			}
			given = string(b)
		case "file":
			f.Name = p.FileName()
			v, err := newUpload(i.d.Client, f).run(r.Context(), p)
			if err != nil {
				return f, err
			}
			done = &v
		}
	}
	switch {
	case done == nil:
		return f, result.New(result.MalformedRequest, "the form has no part named file")
	case given != purpose:
		_, _ = i.d.Client.Commit(r.Context(), ledger.Command{Drop: &ledger.Drop{File: done.ID, Account: f.Account}})
		return f, result.New(result.MalformedRequest, "purpose is not %q", purpose)
	}
	return *done, nil
}

func (i *API) files(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	q, err := pageQuery(r, ledger.AllFiles, a.Name)
	if err != nil {
		return err
	}
	v, err := i.d.Client.ReadLatest(r.Context(), q)
	if err != nil {
		return err
	}
	l := list[fileObject]{Object: "list", Data: []fileObject{}, HasMore: v.More}
	for _, f := range v.Files {
		l.Data = append(l.Data, fileOf(f))
	}
	if n := len(l.Data); n > 0 {
		l.FirstID, l.LastID = l.Data[0].ID, l.Data[n-1].ID
	}
	reply.JSON(w, http.StatusOK, l)
	return nil
}

func (i *API) file(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	f, err := i.findFile(r.Context(), a.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	reply.JSON(w, http.StatusOK, fileOf(f))
	return nil
}

func (i *API) deleteFile(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	id := r.PathValue("id")
	if _, err := i.d.Client.Commit(r.Context(), ledger.Command{Drop: &ledger.Drop{File: id, Account: a.Name}}); err != nil {
		return err
	}
	reply.JSON(w, http.StatusOK, deletedObject{ID: id, Object: "file", Deleted: true})
	return nil
}

// content serves a file or byte ranges of it. The output of a running job is served as far as it is committed.
func (i *API) content(w http.ResponseWriter, r *http.Request, a catalog.Account) error {
	f, err := i.findFile(r.Context(), a.Name, r.PathValue("id"))
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	http.ServeContent(w, r, "", f.CreatedAt, &contentReader{ctx: r.Context(), client: i.d.Client, file: f})
	return nil
}

// contentReader reads a file's uncompressed content; it keeps one uncompressed chunk in memory.
type contentReader struct {
	ctx        context.Context
	client     *Client
	file       ledger.File
	position   int64
	chunk      []byte // uncompressed, starts at chunkStart
	chunkStart int64
	queue      []ledger.Chunk
}

var _ io.ReadSeeker = (*contentReader)(nil)

func (x *contentReader) Read(p []byte) (int, error) {
	if x.position >= x.file.Bytes {
		return 0, io.EOF
	}
	for x.position < x.chunkStart || x.position >= x.chunkStart+int64(len(x.chunk)) {
		if err := x.fetch(); err != nil {
			return 0, err
		}
	}
	n := copy(p, x.chunk[x.position-x.chunkStart:])
	n = int(min(int64(n), x.file.Bytes-x.position))
	x.position += int64(n)
	return n, nil
}

func (x *contentReader) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += x.position
	case io.SeekEnd:
		offset += x.file.Bytes
	}
	if offset < 0 {
		return 0, errors.New("seeking before the start of a file")
	}
	x.position = offset
	return offset, nil
}

// fetch loads the chunk that holds the current position, from the queue or from a keeper.
//
// A keeper that lags may not have the chunk yet; then the query is repeated with all committed state.
func (x *contentReader) fetch() error {
	for len(x.queue) > 0 && x.queue[0].Start+int64(x.queue[0].Raw) <= x.position {
		x.queue = x.queue[1:]
	}
	if len(x.queue) == 0 || x.queue[0].Start > x.position {
		q := ledger.Query{Subject: ledger.Content, Account: x.file.Account, ID: x.file.ID, Offset: x.position}
		a, err := x.client.Read(x.ctx, q)
		if err == nil && len(a.Chunks) == 0 {
			a, err = x.client.ReadLatest(x.ctx, q)
		}
		if err != nil {
			return err
		}
		if len(a.Chunks) == 0 {
			return errors.Errorf("file %s ends before byte %d", x.file.ID, x.position)
		}
		x.queue = a.Chunks
	}
	t, err := x.queue[0].Text()
	if err != nil {
		return err
	}
	x.chunk, x.chunkStart = t, x.queue[0].Start
	x.queue = x.queue[1:]
	return nil
}

func readFailure(err error) error {
	var e *http.MaxBytesError
	if errors.As(err, &e) {
		return result.New(result.BodyTooLarge, "the file exceeds %d bytes", e.Limit)
	}
	return result.New(result.MalformedRequest, "the file could not be read")
}
