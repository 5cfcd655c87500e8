package frame_test

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"snipetack/internal/protocol/frame"
)

// TestAnnouncedMessagesTakeNoMemory guards against peers that end a VM for lack of memory with the lengths of messages alone.
func TestAnnouncedMessagesTakeNoMemory(t *testing.T) {
	b := append(binary.AppendUvarint(nil, frame.MaxSize), "begin"...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 20 {
		_, err := frame.Read(bufio.NewReader(bytes.NewReader(b)))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
	runtime.ReadMemStats(&after)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(frame.MaxSize))
}

func TestMessagesOfAnySizeArrive(t *testing.T) {
	for _, n := range []int{0, 1, 16<<10 - 1, 16 << 10, 16<<10 + 1, 100_000, 1 << 20, frame.MaxSize} {
		var w bytes.Buffer
		b := bytes.Repeat([]byte("xyz"), n/3+1)[:n]
		require.NoError(t, frame.Write(&w, b))
		require.NoError(t, frame.Write(&w, []byte("next")))
		r := bufio.NewReader(&w)
		got, err := frame.Read(r)
		require.NoError(t, err)
		require.True(t, bytes.Equal(b, got), "%d bytes", n)
		got, err = frame.Read(r)
		require.NoError(t, err)
		require.Equal(t, "next", string(got))
		_, err = frame.Read(r)
		require.True(t, errors.Is(err, io.EOF))
	}
	_, err := frame.Read(bufio.NewReader(bytes.NewReader(binary.AppendUvarint(nil, frame.MaxSize+1))))
	require.ErrorIs(t, err, frame.ErrTooLarge)
}

// TestMessagesCutAtAnyByteAreErrors guards against a message, or the length before it, that breaks off and counts as a shorter one or as the end of
// the stream.
func TestMessagesCutAtAnyByteAreErrors(t *testing.T) {
	var w bytes.Buffer
	require.NoError(t, frame.Write(&w, bytes.Repeat([]byte("x"), 300)))
	for cut := 1; cut < w.Len(); cut++ {
		_, err := frame.Read(bufio.NewReader(bytes.NewReader(w.Bytes()[:cut])))
		require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%d bytes", cut)
	}
}
