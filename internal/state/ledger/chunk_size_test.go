package ledger_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/state/ledger"
)

// TestChunkThatExpandsTooFarIsRefused guards against a chunk of a few kilobytes that fills the memory of each VM that reads it.
func TestChunkThatExpandsTooFarIsRefused(t *testing.T) {
	b, err := ledger.Compress(make([]byte, 64<<20))
	require.NoError(t, err)
	require.Less(t, len(b), 1<<20)
	_, err = ledger.Chunk{Lines: 1, Raw: 10, Data: b}.Text()
	require.ErrorContains(t, err, "larger than")
}

func TestLargestChunkIsRead(t *testing.T) {
	text := append(bytes.Repeat([]byte("x"), ledger.ChunkSize+1<<20), '\n')
	b, err := ledger.Compress(text)
	require.NoError(t, err)
	got, err := ledger.Chunk{Lines: 1, Raw: len(text), Data: b}.Text()
	require.NoError(t, err)
	require.True(t, bytes.Equal(text, got))
}
