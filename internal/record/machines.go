package record

// ScaleOutRequest describes a request to the cloud for more machines. It is written before the
// request is sent, so that every machine that is paid for has an owner.
type ScaleOutRequest struct {
	Owner OwnerID `cbor:"o"`
	Type  string  `cbor:"b"` // of the machines
	Zone  string  `cbor:"h"`
	Spot  bool    `cbor:"s"`
	Count int     `cbor:"n"` // of machines
}

// Reservation reserves freed machines for a gang.
type Reservation struct {
	Machines map[string]int `cbor:"m"` // machine -> number of the gang's tasks reserved on it
}
