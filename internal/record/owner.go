package record

import (
	"fmt"
	"strings"
)

// OwnerID identifies one incarnation of a node as an owner of teams and machines.
type OwnerID string

// NewOwnerID returns the ID of an incarnation of a node.
func NewOwnerID(node string, incarnation uint64) OwnerID {
	return OwnerID(fmt.Sprintf("%s/%d", node, incarnation))
}

// Node returns the owner's node.
func (id OwnerID) Node() string {
	node, _, _ := strings.Cut(string(id), "/")
	return node
}
