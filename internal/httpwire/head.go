package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// unknownLength is the content length of a head without a Content-Length header.
const unknownLength = -1

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
