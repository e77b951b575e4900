package record

import (
	"net/url"
	"strconv"
)

// Prefixes of keys, by what is stored under them. docs/design.md lists who writes which.
const (
	ClusterPrefix     = "c/" // what every node watches: the leader, members and teams
	MemberPrefix      = ClusterPrefix + "n/"
	TeamPrefix        = ClusterPrefix + "t/"
	BlockPrefix       = "m/" // blocks of machines
	ActivePrefix      = "a/" // accepted jobs that have not ended
	PartPrefix        = "w/" // parts of long dependency lists
	FinalPrefix       = "f/" // final states of jobs
	CompletionsPrefix = "p/" // shards of completed tasks of active jobs
	RentalPrefix      = "r/"
	HoldPrefix        = "h/"
)

// Keys that exist once.
const (
	LeaderKey = ClusterPrefix + "leader"
	TypesKey  = "types" // the machine types that the cloud offers
)

// MemberKey returns the key of a node's Member.
func MemberKey(node string) string { return MemberPrefix + node }

// TeamKey returns the key of a Team. Names of teams are free text and are escaped.
func TeamKey(team string) string { return TeamPrefix + url.PathEscape(team) }

// BlockKey returns the key of a Block.
func BlockKey(block string) string { return BlockPrefix + block }

// ActiveKey returns the key of a Job.
func ActiveKey(job string) string { return ActivePrefix + job }

// FinalKey returns the key of a job's Final.
func FinalKey(job string) string { return FinalPrefix + job }

// HoldKey returns the key of a gang's Hold.
func HoldKey(job string) string { return HoldPrefix + job }

// RentalKey returns the key of a Rental.
func RentalKey(rental string) string { return RentalPrefix + rental }

// PartsPrefix returns the common prefix of the keys of a job's Parts.
func PartsPrefix(job string) string { return PartPrefix + job + "/" }

// PartKey returns the key of a Part; parts are numbered from 0.
func PartKey(job string, part int) string { return PartsPrefix(job) + strconv.Itoa(part) }

// CompletionsKey returns the key of a shard of a team's Completions.
func CompletionsKey(team, shard string) string {
	return CompletionsPrefix + url.PathEscape(team) + "/" + shard
}

// numberBase is the base in which numbers are written in keys: the largest one, for short keys.
const numberBase = 36

// NumberName writes a number that is unique in the cluster as part of a key.
func NumberName(n uint64) string { return strconv.FormatUint(n, numberBase) }
