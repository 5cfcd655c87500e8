package batch

import (
	"bytes"
	"context"
	"sync"

	"github.com/pkg/errors"

	"snipetack/internal/state/ledger"
)

// maxCachedChunks bounds the cached chunks of input files, of about 256 KiB each.
const maxCachedChunks = 24

// payloads reads lines of input files and caches the chunks used last, since items of a chunk are often leased
// together. It is safe for concurrent use.
type payloads struct {
	ledger LedgerProvider
	mu     sync.Mutex
	chunks []cachedChunk // least recently used first
}

type cachedChunk struct {
	file  string
	first int
	lines [][]byte
}

// line returns the line of an item of an input file, from 0, without line end.
func (p *payloads) line(ctx context.Context, file string, item int) ([]byte, error) {
	if l := p.find(file, item); l != nil {
		return l, nil
	}
	a, err := p.ledger.Read(ctx, ledger.Query{Subject: ledger.Item, ID: file, Offset: int64(item)})
	if err != nil {
		return nil, err
	}
	if len(a.Chunks) == 0 {
		return nil, errors.Errorf("file %s has no line %d yet", file, item)
	}
	c := a.Chunks[0]
	t, err := c.Text()
	if err != nil {
		return nil, err
	}
	l := bytes.Split(t, []byte("\n"))
	p.add(cachedChunk{file: file, first: c.First, lines: l[:min(len(l), c.Lines)]})
	if item-c.First >= len(l) {
		return nil, errors.Errorf("file %s has no line %d", file, item)
	}
	return l[item-c.First], nil
}

func (p *payloads) find(file string, item int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, k := range p.chunks {
		if k.file == file && item >= k.first && item < k.first+len(k.lines) {
			p.chunks = append(append(p.chunks[:i:i], p.chunks[i+1:]...), k)
			return k.lines[item-k.first]
		}
	}
	return nil
}

func (p *payloads) add(n cachedChunk) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.chunks = append(p.chunks, n)
	if len(p.chunks) > maxCachedChunks {
		p.chunks = append([]cachedChunk(nil), p.chunks[1:]...)
	}
}
