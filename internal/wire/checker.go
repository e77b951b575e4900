package wire

import "math"

// Problems of a FieldError. They are sent to users and workers, and must not change.
const (
	problemMissing          = "missing"
	problemMissingOrInvalid = "missing or invalid"
	problemEmptyOrTooLong   = "empty or too long"
	problemOutOfRange       = "out of range"
	problemTooMany          = "too many"
	problemUnknown          = "unknown"
	problemInvalidJobID     = "not of the form req-000000"
)

// checker validates fields and keeps the first error.
type checker struct{ err error }

func (c *checker) fail(field, problem string) {
	if c.err == nil {
		c.err = &FieldError{field, problem}
	}
}

// text returns the value of a required text.
func (c *checker) text(field string, value *string) string {
	switch {
	case value == nil:
		c.fail(field, problemMissing)
	case *value == "" || len(*value) > maxName:
		c.fail(field, problemEmptyOrTooLong)
	default:
		return *value
	}
	return ""
}

// amount returns the value of a required number from 0 to limit.
func (c *checker) amount(field string, value *float64, limit float64) float64 {
	switch {
	case value == nil:
		c.fail(field, problemMissing)
	case math.IsNaN(*value) || *value < 0 || *value > limit:
		c.fail(field, problemOutOfRange)
	default:
		return *value
	}
	return 0
}

// flag returns the value of a required boolean.
func (c *checker) flag(field string, value *bool) bool {
	if value == nil {
		c.fail(field, problemMissing)
		return false
	}
	return *value
}
