package kv

import (
	"fmt"
	"net/http"

	"tamarindlead/internal/wire"
)

// Outcome classifies how a call to the key-value store ended.
type Outcome int

// The outcomes of a call.
const (
	OK                 Outcome = iota
	NotFound                   // the key or lease does not exist
	PreconditionFailed         // a precondition of a transaction did not hold
	Compacted                  // the revision is too old to watch from
	Throttled                  // over the store's rate limit or this node's budget: not executed
	Refused                    // refused with status 503, or never sent: not executed
	Unknown                    // no response: the request may have been executed, or may be later
	InvalidRequest             // the store rejects the request as malformed
)

// String returns the outcome's name for logs and tests.
func (o Outcome) String() string {
	switch o {
	case OK:
		return "ok"
	case NotFound:
		return "not found"
	case PreconditionFailed:
		return "precondition failed"
	case Compacted:
		return "compacted"
	case Throttled:
		return "throttled"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	case InvalidRequest:
		return "invalid request"
	}
	return fmt.Sprintf("Outcome(%d)", int(o))
}

// Result is the result of a call. Body is the store's response, if there was one.
type Result struct {
	Outcome Outcome
	Body    []byte
}

// Decode decodes the body into v, regardless of the outcome.
func (r Result) Decode(v any) error {
	if err := wire.Decode(r.Body, v); err != nil {
		return fmt.Errorf("decode response (%v): %w", r.Outcome, err)
	}
	return nil
}

// DecodeOK decodes the body of a successful call into v. It returns an *OutcomeError if the
// outcome is not OK.
func (r Result) DecodeOK(v any) error {
	if r.Outcome != OK {
		return &OutcomeError{r.Outcome}
	}
	return r.Decode(v)
}

// OutcomeError reports a call whose outcome is not OK.
type OutcomeError struct{ Outcome Outcome }

// Error returns the outcome.
func (e *OutcomeError) Error() string { return "call to the key-value store: " + e.Outcome.String() }

// Response is what the network returned for a request.
type Response struct {
	Status int // HTTP status; 0 if there was no response
	Body   []byte
	Sent   bool // for status 0: the request may have reached the store
}

// storeResponded reports whether the store itself responded. Status 503 doesn't count, since
// overloaded intermediaries send it too.
func (r Response) storeResponded() bool {
	return r.Status != 0 && r.Status != http.StatusServiceUnavailable
}

func (r Response) result() Result { return Result{r.outcome(), r.Body} }

func (r Response) outcome() Outcome {
	switch r.Status {
	case http.StatusOK:
		return OK
	case http.StatusNotFound:
		return NotFound
	case http.StatusConflict:
		return PreconditionFailed
	case http.StatusGone:
		return Compacted
	case http.StatusTooManyRequests:
		return Throttled
	case http.StatusServiceUnavailable:
		return Refused
	case 0:
		if !r.Sent {
			return Refused
		}
		return Unknown
	}
	if r.Status >= http.StatusInternalServerError { // it is unknown whether the request was executed
		return Unknown
	}
	return InvalidRequest
}
