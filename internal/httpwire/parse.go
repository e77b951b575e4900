package httpwire

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const maxMethodLength = 16 // in bytes

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
