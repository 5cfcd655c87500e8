package engine

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockTokens is the number of prompt tokens in a cache block.
const blockTokens = 16

// CacheEvent reports that a block of a prompt prefix was stored or evicted.
type CacheEvent struct {
	Number uint64 // from 1, without gaps when recorded
	Block  uint64 // hash of the whole prefix up to the block's end
	Stored bool   // false when the block was evicted
}

// cache is a prompt prefix cache that evicts the least recently used block first; Engine.mu guards it.
type cache struct {
	limit      int // blocks
	blocks     map[uint64]*list.Element
	order      *list.List // blocks, the least recently used first
	events     []CacheEvent
	lastNumber uint64
}

func newCache(tokens int) *cache {
	return &cache{limit: tokens / blockTokens, blocks: map[uint64]*list.Element{}, order: list.New()}
}

// Blocks returns the hashes of a prompt's prefixes of one block, two blocks and so on;
// an incomplete last block is left out.
func Blocks(words []string) []uint64 {
	var l []uint64
	h := xxhash.New()
	for i := 0; i+blockTokens <= len(words); i += blockTokens {
		_, _ = h.WriteString(strings.Join(words[i:i+blockTokens], " "))
		l = append(l, h.Sum64())
	}
	return l
}

// insert stores a prompt and returns the length in tokens of its longest prefix that was cached already.
func (c *cache) insert(words []string) int {
	hit := 0
	known := true
	for _, b := range Blocks(words) {
		e, ok := c.blocks[b]
		known = known && ok
		if known {
			hit += blockTokens
		}
		if ok {
			c.order.MoveToBack(e)
			continue
		}
		c.blocks[b] = c.order.PushBack(b)
		c.recordEvent(b, true)
	}
	c.evict()
	return hit
}

func (c *cache) evict() {
	for c.order.Len() > c.limit {
		e := c.order.Front()
		b, _ := c.order.Remove(e).(uint64)
		delete(c.blocks, b)
		c.recordEvent(b, false)
	}
}

// recordEvent appends an event with the next number. Above a limit it drops the oldest half, so that a slow reader
// sees a gap in the numbers.
func (c *cache) recordEvent(block uint64, stored bool) {
	const kept = 1024
	c.lastNumber++
	c.events = append(c.events, CacheEvent{Number: c.lastNumber, Block: block, Stored: stored})
	if len(c.events) > kept {
		c.events = append([]CacheEvent(nil), c.events[kept/2:]...)
	}
}
