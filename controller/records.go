package controller

import (
	"encoding/base64"
	"fmt"
	"net/url"
	"strings"

	"tamarindlead/internal/wire"
	"tamarindlead/sched"
)

// Keys in the state service. What each record says is told in docs/design.md.
const (
	prefixCluster = "c/" // what every node watches
	keyLeader     = prefixCluster + "leader"
	prefixMember  = prefixCluster + "n/"
	prefixTeam    = prefixCluster + "t/"
	keyTypes      = "types"
	prefixMachine = "m/"
	prefixActive  = "a/" // accepted jobs that are not over
	prefixFinal   = "f/" // final states, kept forever
	prefixDone    = "p/" // completed tasks of active jobs
	prefixRental  = "r/"
	prefixHold    = "h/"
)

func teamKey(team string) string   { return prefixTeam + url.PathEscape(team) }
func memberKey(node string) string { return prefixMember + node }
func activeKey(id string) string   { return prefixActive + id }
func finalKey(id string) string    { return prefixFinal + id }
func holdKey(id string) string     { return prefixHold + id }
func doneKey(id string, chunk int) string {
	return fmt.Sprintf("%s%s/%03d", prefixDone, id, chunk)
}

// memberRecord is attached to the node's lease. Its life tells lives of one node apart.
type memberRecord struct {
	Life uint64 `cbor:"i"`
}

// leaderRecord is attached to the leader's lease.
type leaderRecord struct {
	Node string `cbor:"n"`
	Life uint64 `cbor:"i"`
}

// teamRecord names a team's owner, and the earlier owners whose machines it takes over.
type teamRecord struct {
	Owner string   `cbor:"o"`
	Life  uint64   `cbor:"i"`
	Term  uint64   `cbor:"e"`
	Heir  []string `cbor:"h"`
}

// jobRecord is an accepted job.
type jobRecord struct {
	Job      wire.Submission `cbor:"j"`
	Accepted int64           `cbor:"at"` // time of day, in microseconds
}

// finalRecord is kept forever. What a task takes is kept too, since tasks of a
// cancelled job count against the team until they are gone.
type finalRecord struct {
	Status string `cbor:"s"`
	Tasks  int    `cbor:"n"`
	Team   string `cbor:"t"`
	CPU    int64  `cbor:"c"`
	GPU    int64  `cbor:"g"`
	Mem    int64  `cbor:"m"`
}

func finalOf(j *sched.Job, status string) finalRecord {
	return finalRecord{status, j.Tasks, j.Team, j.Need.CPU, j.Need.GPU, j.Need.Mem}
}

func (f finalRecord) job(id string) *sched.Job {
	return &sched.Job{ID: id, Team: f.Team, Tasks: f.Tasks, Need: sched.Resources{CPU: f.CPU, GPU: f.GPU, Mem: f.Mem}}
}

// machineRecord is the one record of a machine. Token 0 means that the token is the
// record's own revision.
type machineRecord struct {
	Owner     string              `cbor:"o"`
	Token     uint64              `cbor:"t"`
	Endpoint  string              `cbor:"e"`
	Type      string              `cbor:"b"`
	Zone      string              `cbor:"h"`
	Spot      bool                `cbor:"s"`
	Rented    int64               `cbor:"a"`           // time of day, in microseconds
	Condemned bool                `cbor:"x,omitempty"` // to be deleted
	Tasks     map[string][]uint64 `cbor:"w"`           // job -> task, attempt, task, attempt, ...
}

// doneRecord holds the completed tasks of one chunk of a job.
type doneRecord struct {
	Bits string `cbor:"d"`
}

// rentalRecord names a rental before it is asked for.
type rentalRecord struct {
	Owner  string `cbor:"o"`
	Type   string `cbor:"b"`
	Zone   string `cbor:"h"`
	Spot   bool   `cbor:"s"`
	Number int    `cbor:"n"`
}

// holdRecord keeps freed machines for a gang: how many of its tasks go where.
type holdRecord struct {
	Machines map[string]int `cbor:"m"`
}

// chunkTasks is how many tasks' completion one record holds: small enough to write
// often, large enough that a job of 100,000 tasks needs few.
const chunkTasks = 4096

// bitmap is a set of small numbers.
type bitmap []byte

func (b bitmap) has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }
func (b bitmap) set(i int)      { b[i/8] |= 1 << (i % 8) }

func (b bitmap) chunk(n int) string {
	lo, hi := n*chunkTasks/8, min((n+1)*chunkTasks/8, len(b))
	return base64.StdEncoding.EncodeToString(b[lo:hi])
}

func (b bitmap) load(n int, text string) error {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	lo := n * chunkTasks / 8
	if lo > len(b) {
		return fmt.Errorf("chunk %d out of range", n)
	}
	copy(b[lo:], data)
	return nil
}

// splitDoneKey is the inverse of doneKey.
func splitDoneKey(key string) (id string, chunk int, ok bool) {
	id, text, found := strings.Cut(strings.TrimPrefix(key, prefixDone), "/")
	if !found {
		return "", 0, false
	}
	_, err := fmt.Sscanf(text, "%d", &chunk)
	return id, chunk, err == nil && chunk >= 0
}

// taskName is a task's name on the wire.
func taskName(job string, index int) string { return fmt.Sprintf("%s/%d", job, index) }

func splitTaskName(name string) (job string, index int, ok bool) {
	job, text, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	n, err := fmt.Sscanf(text, "%d", &index)
	return job, index, n == 1 && err == nil && index >= 0
}
