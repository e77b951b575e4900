package record

import (
	"encoding/base64"
	"fmt"

	"tamarindlead/internal/wire"
)

// Block holds the entries of several machines of one owner. They share a record because the
// key-value store limits the rate of writes. Each machine has its own fencing token, which never
// decreases. It may be higher than in the entry, but not higher than the revision of the record.
type Block struct {
	Owner OwnerID `cbor:"o"`
	Data  string  `cbor:"d"` // BlockData in CBOR, compressed, in base64, since values must be text
}

// BlockData is the content of a Block. Machines and tasks refer to machine types and jobs by
// index, so that the block names each of them once.
type BlockData struct {
	_              struct{} `cbor:",toarray"`
	AttemptBase    uint64   // subtracted from attempt numbers, for short encodings
	LaunchTimeBase int64    // subtracted from launch times
	MachineTypes   []BlockMachineType
	Jobs           []BlockJob
	Machines       []BlockMachine
}

// BlockMachineType is a machine type in a zone, either on-demand or spot.
type BlockMachineType struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// BlockJob holds the resources that a task of a job needs. Tasks of a job that has ended count
// against its team's quota until they are removed from their machines.
type BlockJob struct {
	_             struct{} `cbor:",toarray"`
	ID, Team      string
	Tasks         int
	CPU, GPU, Mem int64 // of one task
}

// BlockMachine is the entry of a machine. While a machine moves between blocks, both blocks have
// an entry for it, and the entry in the block that was written last takes precedence.
type BlockMachine struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	FencingToken    uint64 // of the claim; 0: the token is the revision of this record
	Endpoint        string
	MachineType     int      // index in BlockData.MachineTypes
	LaunchedAt      int64    // wall clock time in microseconds, relative to BlockData.LaunchTimeBase
	Decommissioning bool     // the machine is to be terminated
	Tasks           []uint64 // as written by BlockData.Pack
}

// Block returns the record of an owner with this content.
func (d *BlockData) Block(owner OwnerID) Block {
	return Block{owner, base64.RawStdEncoding.EncodeToString(Compress(wire.Encode(d)))}
}

// Decode returns the content of the record.
func (b Block) Decode() (*BlockData, error) {
	compressed, err := base64.RawStdEncoding.DecodeString(b.Data)
	if err != nil {
		return nil, corrupt(err)
	}
	encoded, err := Decompress(compressed)
	if err != nil {
		return nil, corrupt(err)
	}
	var d BlockData
	if err := wire.Decode(encoded, &d); err != nil {
		return nil, corrupt(err)
	}
	for _, m := range d.Machines {
		if m.MachineType < 0 || m.MachineType >= len(d.MachineTypes) {
			return nil, fmt.Errorf("type of machine %s: %w", m.Name, ErrCorrupt)
		}
	}
	return &d, nil
}

// blockOverheadBytes bounds the size of a block's value without its texts: field names, quotes
// and braces.
const blockOverheadBytes = 32

// Size returns an upper bound of the size of the value as the key-value store counts it.
func (b Block) Size() int { return len(b.Owner) + len(b.Data) + blockOverheadBytes }
