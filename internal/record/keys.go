package record

import (
	"net/url"
	"strconv"
)

// Prefixes of keys, by what is stored under them. docs/design.md lists who writes which.
const (
	ClusterPrefix           = "c/" // what every node watches: the leader, members and teams
	MemberPrefix            = ClusterPrefix + "n/"
	TeamPrefix              = ClusterPrefix + "t/"
	BlockPrefix             = "m/" // blocks of machines
	ActiveJobPrefix         = "a/" // accepted jobs that have not ended
	DependencyPartPrefix    = "w/" // parts of long dependency lists
	TerminalStatePrefix     = "f/" // final states of jobs
	CompletionSegmentPrefix = "p/" // shards of completed tasks of active jobs
	ScaleOutRequestPrefix   = "r/"
	ReservationPrefix       = "h/"
)

// Keys that exist once.
const (
	LeaderKey       = ClusterPrefix + "leader"
	MachineTypesKey = "types" // the machine types that the cloud offers
)

// MemberKey returns the key of a node's Member.
func MemberKey(node string) string { return MemberPrefix + node }

// TeamKey returns the key of a Team. Names of teams are free text and are escaped.
func TeamKey(team string) string { return TeamPrefix + url.PathEscape(team) }

// BlockKey returns the key of a Block.
func BlockKey(block string) string { return BlockPrefix + block }

// ActiveJobKey returns the key of a Job.
func ActiveJobKey(job string) string { return ActiveJobPrefix + job }

// TerminalStateKey returns the key of a job's Final.
func TerminalStateKey(job string) string { return TerminalStatePrefix + job }

// ReservationKey returns the key of a gang's Hold.
func ReservationKey(job string) string { return ReservationPrefix + job }

// ScaleOutRequestKey returns the key of a Rental.
func ScaleOutRequestKey(rental string) string { return ScaleOutRequestPrefix + rental }

// DependencyPartsPrefix returns the common prefix of the keys of a job's Parts.
func DependencyPartsPrefix(job string) string { return DependencyPartPrefix + job + "/" }

// DependencyPartKey returns the key of a Part; parts are numbered from 0.
func DependencyPartKey(job string, part int) string {
	return DependencyPartsPrefix(job) + strconv.Itoa(part)
}

// CompletionSegmentKey returns the key of a shard of a team's Completions.
func CompletionSegmentKey(team, shard string) string {
	return CompletionSegmentPrefix + url.PathEscape(team) + "/" + shard
}

// numberBase is the base in which numbers are written in keys: the largest one, for short keys.
const numberBase = 36

// FormatNumber writes a number that is unique in the cluster as part of a key.
func FormatNumber(n uint64) string { return strconv.FormatUint(n, numberBase) }
