package httpwire

import (
	"bytes"
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	long := "GET /x HTTP/1.1\r\nA: " + strings.Repeat("b", MaxHead) + "\r\n\r\n"
	tests := []struct {
		name, in string
		want     Request
		err      error
	}{
		{"plain", "GET /up HTTP/1.1\r\nHost: a\r\n\r\n", Request{Method: "GET", Path: "/up"}, nil},
		{"query", "GET /kv?prefix=a/ HTTP/1.1\r\n\r\n", Request{Method: "GET", Path: "/kv", Query: "prefix=a/"}, nil},
		{"body", "POST /a HTTP/1.1\r\ncontent-LENGTH: 3\r\n\r\nabcGET", Request{Method: "POST", Path: "/a", Body: []byte("abc")}, nil},
		{"chunks", "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nab\r\n1\r\nc\r\n0\r\nT: v\r\n\r\n", Request{Method: "POST", Path: "/a", Body: []byte("abc")}, nil},
		{"close", "GET / HTTP/1.1\r\nConnection: Keep-Alive, close\r\n\r\n", Request{Method: "GET", Path: "/", Close: true}, nil},
		{"version 1.0", "GET / HTTP/1.0\r\n\r\n", Request{Method: "GET", Path: "/", Close: true}, nil},
		{"version 1.0 kept alive", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", Request{Method: "GET", Path: "/"}, nil},
		{"split head", "GET / HTTP/1.1\r\nHos", Request{}, ErrIncomplete},
		{"split body", "POST / HTTP/1.1\r\nContent-Length: 4\r\n\r\nab", Request{}, ErrIncomplete},
		{"split chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", Request{}, ErrIncomplete},
		{"empty line", "\r\n\r\n", Request{}, ErrMalformed},
		{"bare line feed", "GET / HTTP/1.1\nHost: a\n\n", Request{}, ErrMalformed},
		{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n", Request{}, ErrMalformed},
		{"unequal lengths", "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n", Request{}, ErrMalformed},
		{"negative length", "POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", Request{}, ErrMalformed},
		{"signed length", "POST / HTTP/1.1\r\nContent-Length: +4\r\n\r\nabcd", Request{}, ErrMalformed},
		{"space in name", "GET / HTTP/1.1\r\nA b: c\r\n\r\n", Request{}, ErrMalformed},
		{"no target", "GET HTTP/1.1\r\n\r\n", Request{}, ErrMalformed},
		{"unsupported version", "GET / HTTP/2.0\r\n\r\n", Request{}, ErrMalformed},
		{"large body", "POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n", Request{}, ErrTooLarge},
		{"large chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n63\r\n", Request{}, ErrTooLarge},
		{"long head", long, Request{}, ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, err := ParseRequest([]byte(tt.in), 64)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err != nil {
				return
			}
			if got.Method != tt.want.Method || got.Path != tt.want.Path || got.Query != tt.want.Query ||
				got.Close != tt.want.Close || !bytes.Equal(got.Body, tt.want.Body) {
				t.Fatalf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestParseResponse(t *testing.T) {
	tests := []struct {
		name, in string
		eof      bool
		status   int
		body     string
		err      error
	}{
		{"plain", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", false, 200, "hi", nil},
		{"no reason", "HTTP/1.1 503\r\nContent-Length: 0\r\n\r\n", false, 503, "", nil},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n", false, 201, "", nil},
		{"body until the connection ends", "HTTP/1.1 200 OK\r\n\r\nhi", true, 200, "hi", nil},
		{"connection not ended yet", "HTTP/1.1 200 OK\r\n\r\nhi", false, 0, "", ErrIncomplete},
		{"no content", "HTTP/1.1 204 No Content\r\nContent-Length: 5\r\n\r\n", false, 204, "", nil},
		{"interim only", "HTTP/1.1 100 Continue\r\n\r\n", false, 0, "", ErrIncomplete},
		{"large body until the connection ends", "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("b", 65), true, 0, "", ErrTooLarge},
		{"bad version", "HTTP/2.0 200 OK\r\n\r\n", false, 0, "", ErrMalformed},
		{"bad status", "HTTP/1.1 2x0 OK\r\n\r\n", false, 0, "", ErrMalformed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, _, err := ParseResponse([]byte(tt.in), 64, tt.eof)
			if !errors.Is(err, tt.err) {
				t.Fatalf("error %v, want %v", err, tt.err)
			}
			if err == nil && (got.Status != tt.status || string(got.Body) != tt.body) {
				t.Fatalf("got %+v, want a different status or body", got)
			}
		})
	}
}

// FuzzParseRequest checks that no input crashes the parsers, that the length of a parsed
// message is within the input and that further bytes never change a complete request.
func FuzzParseRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"))
	f.Add([]byte("GET /up HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		req, n, err := ParseRequest(in, 1<<10)
		if err != nil {
			return
		}
		if n <= 0 || n > len(in) {
			t.Fatalf("length %d of a request in %d bytes", n, len(in))
		}
		again, againLength, err := ParseRequest(append(bytes.Clone(in), "GET / HTTP/1.1\r\n\r\n"...), 1<<10)
		if err != nil || againLength != n || again.Path != req.Path || !bytes.Equal(again.Body, req.Body) {
			t.Fatalf("further bytes after the request changed what the parser returned for it, error %v", err)
		}
		if _, n, err := ParseResponse(in, 1<<10, true); err == nil && (n <= 0 || n > len(in)) {
			t.Fatalf("length %d of a response in %d bytes", n, len(in))
		}
	})
}
