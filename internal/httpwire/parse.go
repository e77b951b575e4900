package httpwire

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	maxMethodLength = 16
	// maxChunkHeader bounds the line with a chunk's size and extensions.
	maxChunkHeader = 256
	// unknownLength is the content length of a head without a Content-Length header.
	unknownLength = -1
)

// ParseRequest parses the request at the start of buf and returns it with its length.
func ParseRequest(buf []byte, maxBody int) (Request, int, error) {
	h, err := parseHead(buf)
	if err != nil {
		return Request{}, 0, err
	}
	req, err := parseRequestLine(h)
	if err != nil {
		return Request{}, 0, err
	}
	if !h.hasBodyLength() {
		return req, h.size, nil // a request without a length has no body
	}
	body, size, err := parseBody(buf[h.size:], h, maxBody)
	if err != nil {
		return Request{}, 0, err
	}
	req.Body = body
	return req, h.size + size, nil
}

func parseRequestLine(h head) (Request, error) {
	parts := strings.Split(h.startLine, " ")
	if len(parts) != 3 || !validMethod(parts[0]) || !validTarget(parts[1]) {
		return Request{}, ErrMalformed
	}
	version, err := parseVersion(parts[2])
	if err != nil {
		return Request{}, err
	}
	path, query, _ := strings.Cut(parts[1], "?")
	return Request{Method: parts[0], Path: path, Query: query, Close: h.closesConnection(version)}, nil
}

// ParseResponse parses the response at the start of buf and returns it with its length, which
// includes interim responses before it. The body of a response without a length extends to the
// end of the connection; eof reports whether the connection has ended.
func ParseResponse(buf []byte, maxBody int, eof bool) (Response, int, error) {
	start := 0 // of the response after the interim ones
	for {
		h, err := parseHead(buf[start:])
		if err != nil {
			return Response{}, 0, err
		}
		resp, err := parseStatusLine(h)
		if err != nil {
			return Response{}, 0, err
		}
		start += h.size
		if resp.Status < http.StatusOK {
			continue
		}
		size, err := resp.parseBody(buf[start:], h, maxBody, eof)
		if err != nil {
			return Response{}, 0, err
		}
		return resp, start + size, nil
	}
}

func parseStatusLine(h head) (Response, error) {
	versionText, rest, _ := strings.Cut(h.startLine, " ")
	version, err := parseVersion(versionText)
	if err != nil {
		return Response{}, err
	}
	code, _, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < http.StatusContinue {
		return Response{}, ErrMalformed
	}
	return Response{Status: status, Close: h.closesConnection(version)}, nil
}

// parseBody sets the body of a response from the bytes after its head and returns the
// body's length on the wire.
func (r *Response) parseBody(buf []byte, h head, maxBody int, eof bool) (int, error) {
	switch {
	case r.Status == http.StatusNoContent || r.Status == http.StatusNotModified:
		return 0, nil // never have a body, regardless of their headers
	case h.hasBodyLength():
		body, size, err := parseBody(buf, h, maxBody)
		r.Body = body
		return size, err
	case len(buf) > maxBody:
		return 0, ErrTooLarge
	case !eof:
		return 0, ErrIncomplete
	default:
		r.Body, r.Close = bytes.Clone(buf), true
		return len(buf), nil
	}
}

// head is the start line of a message and the framing information of its headers.
type head struct {
	startLine     string
	size          int // in bytes, with the empty line at the end
	contentLength int // or unknownLength
	chunked       bool
	close         bool
	keepAlive     bool
}

// hasBodyLength reports whether the headers determine where the body ends.
func (h *head) hasBodyLength() bool { return h.chunked || h.contentLength != unknownLength }

// closesConnection reports whether the sender closes the connection after this exchange.
func (h *head) closesConnection(v version) bool {
	return h.close || (v == http10 && !h.keepAlive)
}

func parseHead(buf []byte) (head, error) {
	window := buf[:min(len(buf), MaxHead)]
	end := bytes.Index(window, []byte("\r\n\r\n"))
	if end < 0 {
		return head{}, incompleteHeadError(window)
	}
	lines := strings.Split(string(window[:end]), "\r\n")
	if len(lines) > MaxHeaders+1 {
		return head{}, ErrTooLarge
	}
	h := head{startLine: lines[0], size: end + len("\r\n\r\n"), contentLength: unknownLength}
	for _, line := range lines[1:] {
		if err := h.parseHeader(line); err != nil {
			return head{}, err
		}
	}
	if h.chunked && h.contentLength != unknownLength {
		return head{}, ErrMalformed // two lengths allow request smuggling
	}
	return h, nil
}

// incompleteHeadError returns the error for a head whose end was not found in the window, which
// has at most MaxHead bytes.
func incompleteHeadError(window []byte) error {
	if len(window) >= MaxHead {
		return ErrTooLarge
	}
	if i := bytes.IndexByte(window, '\n'); i >= 0 && (i == 0 || window[i-1] != '\r') {
		return ErrMalformed // bare line feeds are not accepted
	}
	return ErrIncomplete
}

func (h *head) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || name == "" || strings.ContainsAny(name, " \t\n") || strings.ContainsAny(value, "\n\r\x00") {
		return ErrMalformed
	}
	value = strings.TrimSpace(value)
	switch strings.ToLower(name) {
	case "content-length":
		return h.setContentLength(value)
	case "transfer-encoding":
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case "connection":
		h.setConnection(value)
	}
	return nil
}

// setContentLength sets the content length. It rejects a second header with another length,
// since two readers of the message could disagree about its end.
func (h *head) setContentLength(value string) error {
	length, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return ErrMalformed
	}
	if h.contentLength != unknownLength && h.contentLength != int(length) {
		return ErrMalformed
	}
	h.contentLength = int(length)
	return nil
}

func (h *head) setConnection(value string) {
	for token := range strings.SplitSeq(value, ",") {
		switch strings.ToLower(strings.TrimSpace(token)) {
		case "close":
			h.close = true
		case "keep-alive":
			h.keepAlive = true
		}
	}
}

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

func validMethod(method string) bool {
	if method == "" || len(method) > maxMethodLength {
		return false
	}
	for i := range len(method) {
		if method[i] < 'A' || method[i] > 'Z' {
			return false
		}
	}
	return true
}

func validTarget(target string) bool {
	if target == "" || target[0] != '/' {
		return false
	}
	for i := range len(target) {
		if target[i] <= ' ' || target[i] == 0x7f {
			return false
		}
	}
	return true
}

// version is a version of HTTP that the parsers accept.
type version string

const (
	http10 version = "HTTP/1.0" // connections are closed after the response unless kept alive
	http11 version = "HTTP/1.1"
)

func parseVersion(text string) (version, error) {
	switch v := version(text); v {
	case http10, http11:
		return v, nil
	}
	return "", ErrMalformed
}
