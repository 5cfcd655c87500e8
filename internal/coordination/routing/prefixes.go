package routing

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the estimate of an upstream's prompt cache.
const (
	blockWords      = 16   // must equal the engines' block size: their cache events carry the same hashes
	maxPrefixes     = 4096 // max blocks kept for one upstream
	maxPromptBlocks = 256  // max blocks of a prompt that are hashed and looked up
)

// Blocks returns the hashes of a prompt's prefixes: the first block, the first two, and so on. It leaves out an
// incomplete last block and stops reading after maxPromptBlocks.
func Blocks(prompt string) []uint64 {
	var l []uint64
	h := xxhash.New()
	n := 0
	for w := range strings.FieldsSeq(prompt) {
		if n%blockWords != 0 {
			_, _ = h.WriteString(" ")
		}
		_, _ = h.WriteString(w)
		if n++; n%blockWords != 0 {
			continue
		}
		if l = append(l, h.Sum64()); len(l) == maxPromptBlocks {
			break
		}
	}
	return l
}

// prefixCache estimates what an upstream's prompt cache holds, from its cache events and the prompts sent to it.
type prefixCache struct {
	blocks    map[uint64]bool
	order     []uint64 // oldest first; may contain blocks that were evicted
	lastEvent uint64   // number of the last event applied
}

func newPrefixCache() *prefixCache {
	return &prefixCache{blocks: map[uint64]bool{}}
}

// addSent adds the blocks of a prompt that was just sent, which the upstream will cache.
func (p *prefixCache) addSent(blocks []uint64) {
	for _, b := range blocks {
		p.store(b)
	}
}

// apply applies cache events and skips those that were applied before. Events may be missing: a block whose eviction
// was lost counts as cached until a later eviction or until newer blocks displace it.
func (p *prefixCache) apply(l []CacheEvent) {
	for _, e := range l {
		if e.Number <= p.lastEvent {
			continue
		}
		p.lastEvent = e.Number
		if e.Stored {
			p.store(e.Block)
		} else {
			delete(p.blocks, e.Block)
		}
	}
}

// cachedBlocks returns how many leading blocks of a prompt are probably cached.
func (p *prefixCache) cachedBlocks(blocks []uint64) int {
	n := 0
	for n < len(blocks) && p.blocks[blocks[n]] {
		n++
	}
	return n
}

// store adds a block and displaces the oldest ones beyond maxPrefixes.
func (p *prefixCache) store(b uint64) {
	if p.blocks[b] {
		return
	}
	p.blocks[b] = true
	p.order = append(p.order, b)
	for len(p.order) > maxPrefixes {
		delete(p.blocks, p.order[0])
		p.order = p.order[1:]
	}
}
