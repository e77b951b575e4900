package record

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// compressors are reused, since each takes much memory to make.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// maxDecompressedBytes bounds what a value may become, in bytes: a damaged one must not fill the
// memory.
const maxDecompressedBytes = 4 << 20

// Compress returns data in deflate form.
func Compress(data []byte) []byte {
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	w.Write(data) // a buffer takes all
	w.Close()
	return out.Bytes()
}

// Decompress is the inverse of Compress. What exceeds 4 MiB is cut off.
func Decompress(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	return io.ReadAll(io.LimitReader(r, maxDecompressedBytes))
}
