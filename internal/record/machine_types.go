package record

import (
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// MachineTypes is the copy of the machine types that the cloud offers.
type MachineTypes struct {
	wire.MachineTypes
	// ReadAt is the wall clock time at which the request to the cloud was sent; 0 if an older
	// version of this program wrote the copy.
	ReadAt micros.Micros `cbor:"at,omitempty"`
}
