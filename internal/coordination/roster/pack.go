package roster

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	minPackBytes = 1 << 10  // of a document; shorter ones are sent as they are
	maxUnpacked  = 32 << 20 // bytes of a document, above the largest that operators may send
)

// Packer compresses configurations and keeps the last one, as all VMs get the same. It is safe for concurrent use; the zero value is ready.
type Packer struct {
	mu       sync.Mutex
	document []byte
	packed   []byte
}

// Pack replaces the document of a bulletin by its compressed form where the reporting VM understands that.
func (p *Packer) Pack(r Report, b *Bulletin) error {
	if !r.Unpacks || len(b.Document) < minPackBytes {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !bytes.Equal(p.document, b.Document) {
		var x bytes.Buffer
		w, err := gzip.NewWriterLevel(&x, gzip.BestSpeed)
		if err == nil {
			_, err = w.Write(b.Document)
		}
		if err == nil {
			err = w.Close()
		}
		if err != nil {
			return errors.Wrap(err, "compressing a configuration")
		}
		p.document, p.packed = b.Document, x.Bytes()
	}
	b.Packed, b.Document = p.packed, nil
	return nil
}

// Unpack restores the document of a bulletin that was packed.
func Unpack(b *Bulletin) error {
	if len(b.Packed) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(b.Packed))
	if err != nil {
		return errors.Wrap(err, "reading a compressed configuration")
	}
	x, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return errors.Wrap(err, "reading a compressed configuration")
	}
	if len(x) > maxUnpacked {
		return errors.Errorf("a configuration exceeds %d bytes", maxUnpacked)
	}
	b.Document, b.Packed = x, nil
	return nil
}
