package controller

import (
	"bytes"
	"compress/flate"
	"encoding/base64"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
	"sync"

	"tamarindlead/internal/wire"
)

// Keys in the state service. What each record says is told in docs/design.md.
const (
	prefixCluster = "c/" // what every node watches
	keyLeader     = prefixCluster + "leader"
	prefixMember  = prefixCluster + "n/"
	prefixTeam    = prefixCluster + "t/"
	keyTypes      = "types"
	prefixMachine = "m/" // blocks of machines
	prefixActive  = "a/" // accepted jobs that are not over
	prefixFinal   = "f/" // final states, kept forever
	prefixDone    = "p/" // shards of completed tasks of active jobs
	prefixRental  = "r/"
	prefixHold    = "h/"
)

func teamKey(team string) string   { return prefixTeam + url.PathEscape(team) }
func memberKey(node string) string { return prefixMember + node }
func activeKey(id string) string   { return prefixActive + id }
func finalKey(id string) string    { return prefixFinal + id }
func holdKey(id string) string     { return prefixHold + id }

// shardKey names a record of completed tasks of a team's jobs.
func shardKey(team, name string) string {
	return prefixDone + url.PathEscape(team) + "/" + name
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

// finalRecord is kept forever.
type finalRecord struct {
	Status string `cbor:"s"`
	At     int64  `cbor:"at,omitempty"` // time of day of a cancellation, in microseconds
}

// blockRecord holds some machines of one owner. Writes are scarce, so the entries of
// several machines share a record; each has a token of its own, which only grows.
type blockRecord struct {
	Owner string `cbor:"o"`
	Data  string `cbor:"d"` // blockData in CBOR, squeezed, in base64: values must be text
}

// blockData names each job and each kind of machine once.
type blockData struct {
	_        struct{} `cbor:",toarray"`
	Base     uint64   // numbers of attempts count from here
	Since    int64    // times of rental count from here
	Kinds    []blockKind
	Jobs     []blockJob
	Machines []blockMachine
}

type blockKind struct {
	_    struct{} `cbor:",toarray"`
	Type string
	Zone string
	Spot bool
}

// blockJob tells what a task of the job takes, since tasks of a job that is over count
// against its team until they are gone.
type blockJob struct {
	_             struct{} `cbor:",toarray"`
	ID, Team      string
	Tasks         int
	CPU, GPU, Mem int64
}

// blockMachine is the one entry of a machine. Token 0 means that the token is the
// record's own revision.
type blockMachine struct {
	_         struct{} `cbor:",toarray"`
	Name      string
	Token     uint64
	Endpoint  string
	Kind      int
	Rented    int64 // time of day, in microseconds
	Condemned bool  // to be deleted
	Tasks     []uint64
}

// blockTask is a task in a machine's entry. There, tasks of one job and number are kept
// together: job, number, how many, then the steps from index to index.
type blockTask struct {
	job    int
	index  int
	number uint64
}

// pack writes the tasks of a machine, which come in the order of job, number and index.
// Tasks that were placed together differ little in their indexes: only steps are kept.
func (d *blockData) pack(m *blockMachine, tasks []blockTask) {
	for i := 0; i < len(tasks); {
		n := i
		for n < len(tasks) && tasks[n].job == tasks[i].job && tasks[n].number == tasks[i].number {
			n++
		}
		m.Tasks = append(m.Tasks, uint64(tasks[i].job), tasks[i].number-d.Base, uint64(n-i))
		for at := 0; i < n; i++ {
			m.Tasks = append(m.Tasks, uint64(tasks[i].index-at))
			at = tasks[i].index
		}
	}
}

func (d *blockData) unpack(m *blockMachine) ([]blockTask, error) {
	var out []blockTask
	for list := m.Tasks; len(list) > 0; {
		if len(list) < 3 || list[0] >= uint64(len(d.Jobs)) || list[2] > uint64(len(list)-3) {
			return nil, fmt.Errorf("tasks of %s cannot be read", m.Name)
		}
		job, number, n := int(list[0]), list[1]+d.Base, int(list[2])
		at := 0
		for _, step := range list[3 : 3+n] {
			at += int(step)
			out = append(out, blockTask{job, at, number})
		}
		list = list[3+n:]
	}
	return out, nil
}

// squeezers are kept, since each takes much memory to make.
var squeezers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant
	}
	return w
}}

// mostUnsqueezed bounds what a record may become: a damaged one must not fill the memory.
const mostUnsqueezed = 4 << 20

func squeeze(data []byte) []byte {
	var out bytes.Buffer
	w := squeezers.Get().(*flate.Writer)
	w.Reset(&out)
	w.Write(data) // a buffer takes all
	w.Close()
	squeezers.Put(w)
	return out.Bytes()
}

func unsqueeze(data []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(data))
	return io.ReadAll(io.LimitReader(r, mostUnsqueezed))
}

func (d *blockData) record(owner string) blockRecord {
	return blockRecord{owner, base64.RawStdEncoding.EncodeToString(squeeze(wire.Encode(d)))}
}

func (r blockRecord) data() (*blockData, error) {
	raw, err := base64.RawStdEncoding.DecodeString(r.Data)
	if err != nil {
		return nil, err
	}
	if raw, err = unsqueeze(raw); err != nil {
		return nil, err
	}
	var d blockData
	if err := wire.Decode(raw, &d); err != nil {
		return nil, err
	}
	for _, m := range d.Machines {
		if m.Kind < 0 || m.Kind >= len(d.Kinds) {
			return nil, fmt.Errorf("kind of %s cannot be read", m.Name)
		}
	}
	return &d, nil
}

// size is that of the value in the form in which the state service counts it.
func (r blockRecord) size() int { return len(r.Owner) + len(r.Data) + 32 }

// doneRecord holds the completed tasks of chunks of several jobs.
type doneRecord struct {
	Chunks map[string]string `cbor:"d"` // "job/chunk" -> bits
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

// chunkTasks is how many tasks' completion one chunk holds: small enough to write
// often, large enough that a job of 100,000 tasks needs few chunks.
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
	// A completion stays one: a chunk may be in two records, of which either lacks some.
	for i := range min(len(data), len(b)-lo) {
		b[lo+i] |= data[i]
	}
	return nil
}

// splitNumbered is the inverse of numbered.
func splitNumbered(name string) (id string, n int, ok bool) {
	id, text, found := strings.Cut(name, "/")
	if !found {
		return "", 0, false
	}
	n, err := strconv.Atoi(text)
	return id, n, err == nil && n >= 0
}

// numbered names a numbered part of a job: a task, as on the wire, or a chunk.
func numbered(job string, index int) string { return job + "/" + strconv.Itoa(index) }

// numberName writes a number that nextNumber gave out as part of a key.
func numberName(n uint64) string { return strconv.FormatUint(n, 36) }
