package controller

// Numbers of attempts, scale-out requests, blocks and completion segments are never used twice: they
// consist of the revision of this node's member record and a sequence number, which continues after
// a restart of the recovery.
const (
	// sequenceBits is the width of the sequence number.
	sequenceBits = 20
	// maxSequence is the largest sequence number.
	maxSequence = 1<<sequenceBits - 1
	// sequenceMargin is how many numbers are left when a new member record is written. A
	// scheduling pass takes at most one for each job, and there are a few passes per second.
	sequenceMargin = 1 << 16
)

// numberGenerator generates numbers that are never used twice. It must be kept across restarts of the
// recovery: a new generator would repeat the numbers of the revision.
type numberGenerator struct {
	revision uint64 // of the member record with which the sequence began
	sequence uint64
}

// next returns a number that was never used before. revision is that of this node's member record.
func (n *numberGenerator) next(revision uint64) uint64 {
	if n.revision != revision {
		n.revision, n.sequence = revision, 0
	}
	n.sequence++
	return n.revision<<sequenceBits | n.sequence
}

// nearlyExhausted reports whether the numbers of a revision are almost used up.
func (n *numberGenerator) nearlyExhausted(revision uint64) bool {
	return n.revision == revision && n.sequence > maxSequence-sequenceMargin
}

// nextNumber returns a number for an attempt, scale-out request, block or completion segment.
func (o *owner) nextNumber() uint64 { return o.c.numbers.next(o.c.node.RecordVersion()) }
