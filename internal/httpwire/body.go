package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkHeader bounds the line with a chunk's size and extensions, in bytes.
const maxChunkHeader = 256

// parseBody returns the body at the start of buf and its length on the wire. The head must
// state a length.
func parseBody(buf []byte, h head, maxBody int) ([]byte, int, error) {
	if h.chunked {
		return parseChunks(buf, maxBody)
	}
	if h.contentLength > maxBody {
		return nil, 0, ErrTooLarge
	}
	if len(buf) < h.contentLength {
		return nil, 0, ErrIncomplete
	}
	return bytes.Clone(buf[:h.contentLength]), h.contentLength, nil
}

func parseChunks(buf []byte, maxBody int) ([]byte, int, error) {
	var body []byte
	offset := 0
	for {
		size, headerSize, err := parseChunkHeader(buf[offset:])
		if err != nil {
			return nil, 0, err
		}
		offset += headerSize
		if size == 0 {
			trailerSize, err := skipTrailers(buf[offset:])
			return body, offset + trailerSize, err
		}
		if size > maxBody-len(body) {
			return nil, 0, ErrTooLarge
		}
		end := offset + size
		if len(buf) < end+len("\r\n") {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[offset:end]...)
		if buf[end] != '\r' || buf[end+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		offset = end + len("\r\n")
	}
}

// parseChunkHeader returns the size of the chunk whose header starts buf, and the length
// of that header.
func parseChunkHeader(buf []byte) (size, headerSize int, err error) {
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 {
		if len(buf) > maxChunkHeader {
			return 0, 0, ErrMalformed
		}
		return 0, 0, ErrIncomplete
	}
	if end > maxChunkHeader {
		return 0, 0, ErrMalformed
	}
	digits, _, _ := strings.Cut(string(buf[:end]), ";") // extensions are ignored
	value, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 31)
	if err != nil {
		return 0, 0, ErrMalformed
	}
	return int(value), end + len("\r\n"), nil
}

// skipTrailers returns the length of the trailers at the start of buf, with the empty line
// that ends them.
func skipTrailers(buf []byte) (int, error) {
	for size := 0; ; {
		end := bytes.Index(buf[size:], []byte("\r\n"))
		switch {
		case end < 0 && len(buf)-size > MaxHead:
			return 0, ErrTooLarge
		case end < 0:
			return 0, ErrIncomplete
		case end == 0:
			return size + len("\r\n"), nil
		}
		size += end + len("\r\n")
		if size > MaxHead {
			return 0, ErrTooLarge
		}
	}
}
