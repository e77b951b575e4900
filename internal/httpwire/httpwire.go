// Package httpwire parses and writes HTTP/1.1 messages in both directions: requests that
// arrive and responses to them, requests to other services and their responses. It owns
// the syntax of the messages and the limits on their heads; it knows neither connections
// nor the meaning of paths and bodies.
//
// The parsers are incremental and stateless: from the bytes received up to now they return
// either a whole message with its length, ErrIncomplete, or an error that is final for the
// connection. They never read beyond the given bytes and never retain them.
//
// The package exists beside net/http because the event loop needs a parser that works on
// buffered bytes: net/http would cost one goroutine and its buffers per connection.
package httpwire

import "errors"

// Limits on the head of a message. A peer that exceeds them gets ErrTooLarge.
const (
	MaxHead    = 8 << 10 // bytes of the start line and all headers
	MaxHeaders = 64
)

// Errors of the parsers. All but ErrIncomplete are final for the connection.
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

// Response is a parsed response. Like a Request it holds copies.
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
