package wire

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ContentType is the media type of every body.
const ContentType = "application/cbor"

// MaxBody is the largest body accepted from users and workers, in bytes.
const MaxBody = 64 << 10

// decMode bounds the nesting and the number of elements of a message.
var decMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 131072,
		MaxMapPairs:      131072,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Decode decodes one CBOR value into v.
func Decode(data []byte, v any) error { return decMode.Unmarshal(data, v) }

// majorTypeMap is the major type of maps in CBOR, in the upper three bits of the first byte.
const majorTypeMap = 5

// decodeMap decodes a CBOR map into v. Decode would also accept null and arrays for a struct.
func decodeMap(data []byte, v any) error {
	if len(data) == 0 || data[0]>>5 != majorTypeMap {
		return ErrNotMap
	}
	return Decode(data, v)
}

// Encode returns the CBOR form of a value. It panics if the value cannot be encoded, which means
// that its type is not suitable for CBOR.
func Encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("wire: %T cannot be encoded: %v", v, err))
	}
	return data
}

// ErrNotMap reports that a body is not a CBOR map.
var ErrNotMap = errors.New("not a map")

// FieldError reports a field of a message that is missing or invalid.
type FieldError struct {
	Field   string // as named on the wire
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

// RefusalReason is the text that tells a user or worker why a request is refused.
type RefusalReason string

// ErrorResponse is the response to a refused request.
type ErrorResponse struct {
	Error string `cbor:"error"`
}
