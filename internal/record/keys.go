package record

import (
	"net/url"
	"strconv"
)

// Prefixes of keys, one for each type of record. docs/design.md lists the writers of
// each.
const (
	ClusterPrefix           = "c/" // watched by every node: the leader, members and teams
	MemberPrefix            = ClusterPrefix + "n/"
	TeamPrefix              = ClusterPrefix + "t/"
	BlockPrefix             = "m/" // blocks of machines
	ActiveJobPrefix         = "a/" // accepted jobs without a terminal state
	DependencyPartPrefix    = "w/" // parts of long dependency lists
	TerminalStatePrefix     = "f/" // terminal states of jobs
	CompletionSegmentPrefix = "p/" // completed tasks of active jobs
	ScaleOutRequestPrefix   = "r/"
	ReservationPrefix       = "h/"
)

// Keys of single records.
const (
	LeaderKey       = ClusterPrefix + "leader"
	MachineTypesKey = "types" // the machine types that the cloud offers
)

// MemberKey returns the key of a node's Member.
func MemberKey(node string) string { return MemberPrefix + node }

// TeamKey returns the key of a Team. Team names are free text and are escaped.
func TeamKey(team string) string { return TeamPrefix + url.PathEscape(team) }

// BlockKey returns the key of a Block.
func BlockKey(block string) string { return BlockPrefix + block }

// ActiveJobKey returns the key of a Job.
func ActiveJobKey(job string) string { return ActiveJobPrefix + job }

// TerminalStateKey returns the key of a job's TerminalState.
func TerminalStateKey(job string) string { return TerminalStatePrefix + job }

// ReservationKey returns the key of a gang's Reservation.
func ReservationKey(job string) string { return ReservationPrefix + job }

// ScaleOutRequestKey returns the key of a ScaleOutRequest.
func ScaleOutRequestKey(request string) string { return ScaleOutRequestPrefix + request }

// DependencyPartsPrefix returns the common prefix of the keys of a job's DependencyParts.
func DependencyPartsPrefix(job string) string { return DependencyPartPrefix + job + "/" }

// DependencyPartKey returns the key of a DependencyPart; parts are numbered from 0.
func DependencyPartKey(job string, part int) string {
	return DependencyPartsPrefix(job) + strconv.Itoa(part)
}

// CompletionSegmentKey returns the key of a team's CompletionSegment.
func CompletionSegmentKey(team, segment string) string {
	return CompletionSegmentPrefix + url.PathEscape(team) + "/" + segment
}

// numberBase is the base of numbers in keys: the largest that strconv supports, for short keys.
const numberBase = 36

// FormatNumber formats a number as a segment of a key.
func FormatNumber(n uint64) string { return strconv.FormatUint(n, numberBase) }
