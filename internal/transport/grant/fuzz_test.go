package grant

import (
	"testing"
)

func FuzzDecode(f *testing.F) {
	f.Add([]byte{0x08, 0x01, 0x12, 0x03, 0x0a, 0x01, 0x61})
	f.Fuzz(func(_ *testing.T, b []byte) {
		_, _ = DecodeRequest(b)
		_, _ = DecodeResponse(b)
	})
}
