package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// compressors holds writers for reuse, since a writer is expensive to allocate.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// maxDecompressedBytes bounds the size of decompressed data, so that a corrupt value cannot
// exhaust the memory.
const maxDecompressedBytes = 4 << 20

// Compress returns data compressed with deflate.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	// A flate.Writer returns only errors of its underlying writer, and a bytes.Buffer returns none.
	_, _ = w.Write(data)
	_ = w.Close()
	return out.Bytes()
}

// Decompress is the inverse of Compress. It truncates the result to 4 MiB.
func Decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	return io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
}
