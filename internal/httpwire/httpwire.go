// Package httpwire is the project's own HTTP/1.1 parser and writer, used in both
// directions: for requests that reach us and for responses to our requests.
//
// The parsers are incremental: they look at the bytes received so far and either
// return a whole message with its length, ErrIncomplete, or a final error. They
// never keep state between calls and never read beyond the given bytes.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Limits on what a peer may send before a message is refused.
const (
	MaxHead    = 8 << 10 // request or status line with all headers
	MaxHeaders = 64
)

// Errors of the parsers. All but ErrIncomplete are final for the connection.
var (
	ErrIncomplete = errors.New("httpwire: message incomplete")
	ErrMalformed  = errors.New("httpwire: malformed message")
	ErrTooLarge   = errors.New("httpwire: message too large")
)

// Request is a parsed request. Its slices are copies and stay valid.
type Request struct {
	Method string
	Path   string // without the query
	Query  string
	Body   []byte
	Close  bool // the connection ends after the response
}

// Response is a parsed response.
type Response struct {
	Status int
	Body   []byte
	Close  bool
}

type head struct {
	length  int // -1: none given
	chunked bool
	close   bool
	keep    bool
}

// ParseRequest parses the request at the start of buf and returns its length.
func ParseRequest(buf []byte, maxBody int) (Request, int, error) {
	var req Request
	line, h, n, err := parseHead(buf)
	if err != nil {
		return req, 0, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !validMethod(parts[0]) || !validTarget(parts[1]) {
		return req, 0, ErrMalformed
	}
	old, ok := oldVersion(parts[2])
	if !ok {
		return req, 0, ErrMalformed
	}
	req.Method = parts[0]
	req.Path, req.Query, _ = strings.Cut(parts[1], "?")
	req.Close = h.close || (old && !h.keep)
	if h.length < 0 && !h.chunked {
		return req, n, nil
	}
	body, m, err := parseBody(buf[n:], h, maxBody)
	if err != nil {
		return req, 0, err
	}
	req.Body = body
	return req, n + m, nil
}

// ParseResponse parses the response at the start of buf and returns its length.
// A response without a length is taken to end with the connection; eof says that
// the connection has ended.
func ParseResponse(buf []byte, maxBody int, eof bool) (Response, int, error) {
	var resp Response
	line, h, n, err := parseHead(buf)
	if err != nil {
		return resp, 0, err
	}
	version, rest, _ := strings.Cut(line, " ")
	old, ok := oldVersion(version)
	code, _, _ := strings.Cut(rest, " ")
	status, convErr := strconv.Atoi(code)
	if !ok || convErr != nil || len(code) != 3 || status < 100 {
		return resp, 0, ErrMalformed
	}
	resp.Status = status
	resp.Close = h.close || (old && !h.keep)
	if status < 200 { // an interim response: skip it
		r, m, err := ParseResponse(buf[n:], maxBody, eof)
		return r, n + m, err
	}
	if status == 204 || status == 304 {
		return resp, n, nil
	}
	if h.length < 0 && !h.chunked {
		if len(buf)-n > maxBody {
			return resp, 0, ErrTooLarge
		}
		if !eof {
			return resp, 0, ErrIncomplete
		}
		resp.Body, resp.Close = bytes.Clone(buf[n:]), true
		return resp, len(buf), nil
	}
	body, m, err := parseBody(buf[n:], h, maxBody)
	if err != nil {
		return resp, 0, err
	}
	resp.Body = body
	return resp, n + m, nil
}

func parseHead(buf []byte) (line string, h head, n int, err error) {
	h.length = -1
	window := buf
	if len(window) > MaxHead {
		window = window[:MaxHead]
	}
	end := bytes.Index(window, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) >= MaxHead {
			return "", h, 0, ErrTooLarge
		}
		if i := bytes.IndexByte(window, '\n'); i >= 0 && (i == 0 || window[i-1] != '\r') {
			return "", h, 0, ErrMalformed // bare line feeds are not taken
		}
		return "", h, 0, ErrIncomplete
	}
	lines := strings.Split(string(window[:end]), "\r\n")
	if len(lines) > MaxHeaders+1 {
		return "", h, 0, ErrTooLarge
	}
	for _, l := range lines[1:] {
		name, value, ok := strings.Cut(l, ":")
		if !ok || name == "" || strings.ContainsAny(name, " \t\n") || strings.ContainsAny(value, "\n\r\x00") {
			return "", h, 0, ErrMalformed
		}
		if err := h.header(strings.ToLower(name), strings.TrimSpace(value)); err != nil {
			return "", h, 0, err
		}
	}
	if h.chunked && h.length >= 0 {
		return "", h, 0, ErrMalformed // two lengths: a known way to smuggle requests
	}
	return lines[0], h, end + 4, nil
}

func (h *head) header(name, value string) error {
	switch name {
	case "content-length":
		v, err := strconv.ParseUint(value, 10, 31)
		if err != nil || value[0] == '+' || (h.length >= 0 && h.length != int(v)) {
			return ErrMalformed
		}
		h.length = int(v)
	case "transfer-encoding":
		if h.chunked || !strings.EqualFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case "connection":
		for _, token := range strings.Split(value, ",") {
			switch strings.ToLower(strings.TrimSpace(token)) {
			case "close":
				h.close = true
			case "keep-alive":
				h.keep = true
			}
		}
	}
	return nil
}

func parseBody(buf []byte, h head, maxBody int) ([]byte, int, error) {
	if h.chunked {
		return parseChunks(buf, maxBody)
	}
	if h.length > maxBody {
		return nil, 0, ErrTooLarge
	}
	if len(buf) < h.length {
		return nil, 0, ErrIncomplete
	}
	return bytes.Clone(buf[:h.length]), h.length, nil
}

func parseChunks(buf []byte, maxBody int) ([]byte, int, error) {
	var body []byte
	n := 0
	for {
		size, m, err := chunkSize(buf[n:])
		if err != nil {
			return nil, 0, err
		}
		n += m
		if size == 0 {
			m, err := skipTrailers(buf[n:])
			return body, n + m, err
		}
		if size > maxBody-len(body) {
			return nil, 0, ErrTooLarge
		}
		if len(buf)-n < size+2 {
			return nil, 0, ErrIncomplete
		}
		body = append(body, buf[n:n+size]...)
		n += size
		if buf[n] != '\r' || buf[n+1] != '\n' {
			return nil, 0, ErrMalformed
		}
		n += 2
	}
}

func chunkSize(buf []byte) (size, n int, err error) {
	const longest = 256
	end := bytes.Index(buf, []byte("\r\n"))
	if end < 0 {
		if len(buf) > longest {
			return 0, 0, ErrMalformed
		}
		return 0, 0, ErrIncomplete
	}
	text, _, _ := strings.Cut(string(buf[:end]), ";")
	v, convErr := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
	if convErr != nil || end > longest {
		return 0, 0, ErrMalformed
	}
	return int(v), end + 2, nil
}

func skipTrailers(buf []byte) (int, error) {
	for n := 0; ; {
		end := bytes.Index(buf[n:], []byte("\r\n"))
		switch {
		case end < 0 && len(buf)-n > MaxHead:
			return 0, ErrTooLarge
		case end < 0:
			return 0, ErrIncomplete
		case end == 0:
			return n + 2, nil
		}
		n += end + 2
		if n > MaxHead {
			return 0, ErrTooLarge
		}
	}
}

func validMethod(s string) bool {
	if s == "" || len(s) > 16 {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return true
}

func validTarget(s string) bool {
	if s == "" || s[0] != '/' {
		return false
	}
	for i := 0; i < len(s); i++ {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func oldVersion(v string) (old, ok bool) {
	switch v {
	case "HTTP/1.1":
		return false, true
	case "HTTP/1.0":
		return true, true
	}
	return false, false
}

// AppendRequest writes a request to dst.
func AppendRequest(dst []byte, method, target, host, contentType string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
	return appendTail(dst, contentType, body, false)
}

// AppendResponse writes a response to dst. A positive retryAfter becomes a
// Retry-After header, in seconds.
func AppendResponse(dst []byte, status int, contentType string, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reason(status)...)
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	return appendTail(dst, contentType, body, closing)
}

func appendTail(dst []byte, contentType string, body []byte, closing bool) []byte {
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: "...)
		dst = append(dst, contentType...)
	}
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}

var reasons = map[int]string{
	200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 503: "Service Unavailable",
}

func reason(status int) string {
	if r, ok := reasons[status]; ok {
		return r
	}
	return "Status"
}
