// Package httpwire parses and writes HTTP/1.1 messages in both directions: requests that
// arrive and responses to them, requests to other services and their responses. It implements
// the syntax of the messages and the limits on their heads; it does not handle connections or
// interpret paths and bodies.
//
// The parsers are incremental and stateless: from the bytes received so far they return either
// a complete message with its length, ErrIncomplete, or an error after which the connection must
// be closed. They never read beyond the given bytes and never retain them.
//
// The package exists in addition to net/http because the event loop needs a parser that works on
// buffered bytes: net/http would cost one goroutine and its buffers per connection.
package httpwire

import "errors"

// Limits on the head of a message. The parsers return ErrTooLarge for a head that exceeds them.
const (
	MaxHead    = 8 << 10 // bytes of the start line and all headers
	MaxHeaders = 64
)

// Errors of the parsers. After any of them except ErrIncomplete the connection must be closed.
var (
	ErrIncomplete = errors.New("httpwire: message incomplete")
	ErrMalformed  = errors.New("httpwire: malformed message")
	ErrTooLarge   = errors.New("httpwire: message too large")
)

// Request is a parsed request. It holds copies, so it stays valid when the buffer that it
// was parsed from is reused.
type Request struct {
	Method string
	Path   string // without the query
	Query  string
	Body   []byte
	Close  bool // the connection must be closed after the response
}

// Response is a parsed response. Like a Request, it holds copies of the buffer's content.
type Response struct {
	Status int
	Body   []byte
	Close  bool // the connection can't be reused
}

// OutgoingRequest is a request to be written.
type OutgoingRequest struct {
	Method      string
	Target      string // path and query
	Host        string
	ContentType string // written only with a body
	Body        []byte
}

// OutgoingResponse is a response to be written.
type OutgoingResponse struct {
	Status      int
	ContentType string // written only with a body
	Body        []byte
	RetryAfter  int  // seconds; 0 for no Retry-After header
	Close       bool // announce that the connection is closed after the response
}
