package record

import (
	"slices"
	"testing"
)

// TestCompress checks that data survives compression, and that the size of decompressed data is
// limited, so that a small value cannot exhaust the memory.
func TestCompress(t *testing.T) {
	for _, data := range [][]byte{nil, {1}, make([]byte, 100_000)} {
		got, err := Decompress(Compress(data))
		if err != nil || !slices.Equal(got, data) {
			t.Fatalf("%d bytes decompressed to %d: %v", len(data), len(got), err)
		}
	}
	got, err := Decompress(Compress(make([]byte, 2*maxDecompressedBytes)))
	if err != nil || len(got) != maxDecompressedBytes {
		t.Fatalf("decompressed to %d bytes, want %d: %v", len(got), maxDecompressedBytes, err)
	}
	if _, err := Decompress([]byte{0xff}); err == nil {
		t.Fatal("corrupt data was decompressed")
	}
}
