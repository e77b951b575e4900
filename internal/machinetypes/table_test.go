package machinetypes

import (
	"log/slog"
	"slices"
	"testing"

	"tamarindlead/internal/budget"
	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// fakeNode is the node, the key-value store and the cloud. Requests stay open until a test responds
// to them, except for writes, which get writeResult.
type fakeNode struct {
	now         micros.Micros
	wallClock   micros.Micros
	notMember   bool
	owner       bool
	active      bool
	fetches     []func(wire.Status, []byte)
	reads       []func(kv.Outcome, kv.Entry)
	writes      []kv.Request
	writeResult kv.Outcome
}

func (n *fakeNode) Now() micros.Micros { return n.now }

func (n *fakeNode) OwnsTeams() bool { return n.owner }

func (n *fakeNode) IsActiveOwner() bool { return n.owner && n.active }

func (n *fakeNode) WallClock() micros.Micros { return n.wallClock }

func (n *fakeNode) MemberPreconditions() (preconditions []kv.Precondition, ok bool) {
	return []kv.Precondition{{Key: "own", Version: 7}}, !n.notMember
}

func (n *fakeNode) FetchMachineTypes(done func(wire.Status, []byte)) {
	n.fetches = append(n.fetches, done)
}

func (n *fakeNode) Get(_ budget.Purpose, key string, done func(kv.Outcome, kv.Entry)) {
	if key == record.MachineTypesKey {
		n.reads = append(n.reads, done)
	}
}

func (n *fakeNode) Do(_ budget.Purpose, request kv.Request, done func(kv.Result)) {
	n.writes = append(n.writes, request)
	done(kv.Result{Outcome: n.writeResult})
}

// requests returns how many reads of the key-value store and of the cloud were made.
func (n *fakeNode) requests() [2]int { return [2]int{len(n.reads), len(n.fetches)} }

const maxValueBytes = 8 << 10

// newTableOf returns the empty table of a node. Confirmations cause on average at most one read in
// ten seconds.
func newTableOf(node *fakeNode, maxValueBytes int) *Table {
	settings := Settings{MaxValueBytes: maxValueBytes, ConfirmationRate: 0.1}
	return New(node, node, settings, slog.New(slog.DiscardHandler))
}

func newTable() (*Table, *fakeNode) {
	node := &fakeNode{now: micros.Hour, writeResult: kv.OK}
	return newTableOf(node, maxValueBytes), node
}

// types returns machine types of the given names.
func types(names ...string) wire.MachineTypes {
	var list wire.MachineTypes
	for _, name := range names {
		list.Entries = append(list.Entries, wire.MachineType{
			Name: name, CPUs: 8, MemGB: 32, FetchGBPerS: 1, CacheGB: 1, HourlyPrice: 2, SpotPrice: 1, BootS: 30, Zones: []string{"a"},
		})
	}
	return list
}

// checkNames checks which types are known.
func checkNames(t *testing.T, table *Table, want ...string) {
	t.Helper()
	var got []string
	for _, machineType := range table.List() {
		got = append(got, machineType.Name)
	}
	if !slices.Equal(got, want) {
		t.Errorf("types %q, want %q", got, want)
	}
}

// TestFillEmptyTable checks that an empty table is filled from the key-value store, and from the cloud
// only if the key-value store has no types.
func TestFillEmptyTable(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome kv.Outcome
		value   []byte
		known   []string
	}{
		{"recorded", kv.OK, wire.Encode(types("small", "mid")), []string{"small", "mid"}},
		{"not recorded", kv.NotFound, nil, nil},
		{"unreadable", kv.OK, []byte{0xff}, nil},
		{"no types in the record", kv.OK, wire.Encode(types()), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newTable()
			table.Tick()
			table.Tick()
			if got := node.requests(); got != [2]int{1, 0} {
				t.Fatalf("%v reads of the key-value store and of the cloud, want [1 0]", got)
			}
			node.reads[0](c.outcome, kv.Entry{Value: c.value})
			checkNames(t, table, c.known...)
			if want := map[bool]int{true: 1}[c.known == nil]; len(node.fetches) != want {
				t.Errorf("%d reads of the cloud, want %d", len(node.fetches), want)
			}
		})
	}
}

// TestFetchKeepsTypes checks that a failed or empty response of the cloud changes nothing, and that
// another one is requested after a pause.
func TestFetchKeepsTypes(t *testing.T) {
	for _, c := range []struct {
		name   string
		status wire.Status
		body   []byte
	}{
		{"no response", 0, nil},
		{"unavailable", wire.StatusUnavailable, wire.Encode(types("new"))},
		{"unreadable", wire.StatusOK, []byte{0xff}},
		{"empty", wire.StatusOK, wire.Encode(types())},
		{"only invalid types", wire.StatusOK, wire.Encode(types(""))},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newTable()
			table.Fill(types("old").Types())
			table.Tick()
			node.fetches[0](c.status, c.body)
			checkNames(t, table, "old")
			node.now += retryDelay - 1
			table.Tick()
			if len(node.fetches) != 1 {
				t.Fatal("the types were requested before the pause ended")
			}
			node.now++
			table.Tick()
			if len(node.fetches) != 2 {
				t.Error("the types were not requested again")
			}
		})
	}
}

// TestRefreshInterval checks which nodes read the types again after the cloud has returned them.
func TestRefreshInterval(t *testing.T) {
	for _, c := range []struct {
		name          string
		owner, active bool
		first, more   int // reads of the cloud: in the first tick, and after the interval
	}{
		{"no owner", false, false, 1, 1},
		{"recovering owner", true, false, 0, 0},
		{"active owner", true, true, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newTable()
			node.owner, node.active = c.owner, c.active
			table.Fill(types("old").Types())
			table.Tick()
			if len(node.fetches) != c.first {
				t.Fatalf("%d reads of the cloud, want %d", len(node.fetches), c.first)
			}
			for _, done := range node.fetches {
				done(wire.StatusOK, wire.Encode(types("new")))
				checkNames(t, table, "new")
			}
			node.now += refreshInterval - 1
			table.Tick()
			if c.first > 0 && len(node.fetches) != c.first {
				t.Error("the types were read again before the interval ended")
			}
			node.now++
			table.Tick()
			if got := len(node.fetches) - c.first; got != c.more {
				t.Errorf("%d more reads of the cloud, want %d", got, c.more)
			}
		})
	}
}

// TestRefresh checks that an owner reads the types in the next tick after Refresh.
func TestRefresh(t *testing.T) {
	table, node := newTable()
	node.owner, node.active = true, true
	table.Fill(types("old").Types())
	table.Tick()
	node.fetches[0](wire.StatusOK, wire.Encode(types("new")))
	table.Refresh()
	table.Tick()
	if len(node.fetches) != 2 {
		t.Errorf("%d reads of the cloud, want 2", len(node.fetches))
	}
}

// TestWriteCopy checks that an owner writes the types once, with its preconditions, if they fit
// into a value.
func TestWriteCopy(t *testing.T) {
	for _, c := range []struct {
		name          string
		owner         bool
		maxValueBytes int
		result        kv.Outcome
		writes        int // after two responses of the cloud
	}{
		{"owner", true, maxValueBytes, kv.OK, 1},
		{"write failed", true, maxValueBytes, kv.Throttled, 2},
		{"no owner", false, maxValueBytes, kv.OK, 0},
		{"too large", true, 10, kv.OK, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, node := newTable()
			table := newTableOf(node, c.maxValueBytes)
			node.owner, node.active, node.writeResult = c.owner, true, c.result
			table.Fill(types("old").Types())
			for range 2 {
				table.readCloud()
				node.fetches[len(node.fetches)-1](wire.StatusOK, wire.Encode(types("new")))
			}
			if len(node.writes) != c.writes {
				t.Fatalf("%d writes, want %d", len(node.writes), c.writes)
			}
			preconditions, _ := node.MemberPreconditions()
			want := kv.Transaction(preconditions, []kv.Write{{Put: record.MachineTypesKey, Value: types("new")}})
			if c.writes > 0 && !slices.Equal(node.writes[0].Body, want.Body) {
				t.Error("the write does not contain the types with the owner's preconditions")
			}
		})
	}
}

// TestFind checks the look-up by name.
func TestFind(t *testing.T) {
	table, _ := newTable()
	table.Fill(types("small", "mid").Types())
	table.Fill(types("other").Types())
	if got := table.Find("mid"); got == nil || got.Name != "mid" {
		t.Errorf("found %v, want mid", got)
	}
	if got := table.Find("other"); got != nil {
		t.Errorf("found %v, but Fill must not change a table that has types", got)
	}
}
