package record

import (
	"errors"
	"fmt"
)

// ErrCorrupt is wrapped by the errors for values that cannot be decoded or whose content is
// inconsistent.
var ErrCorrupt = errors.New("record is damaged")

// corrupt wraps the error of a decoder in ErrCorrupt.
func corrupt(err error) error { return fmt.Errorf("%w: %w", ErrCorrupt, err) }
