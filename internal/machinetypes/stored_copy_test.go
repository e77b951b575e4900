package machinetypes

import (
	"testing"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// The tests in this file cover the copy of the types in the key-value store. Each process that owned
// teams used to write it once, without the time at which the types were read, so that an old copy could
// not be distinguished from a new one (scenarios machine_types_restart_cloud_outage and
// machine_type_withdrawn_cloud_unreachable).

const wallClock = 100 * micros.Hour

// copyOf returns a copy whose types were read at a wall clock time; 0 means that the time is
// unknown.
func copyOf(readAt micros.Micros, names ...string) []byte {
	return wire.Encode(record.MachineTypes{MachineTypes: types(names...), ReadAt: readAt})
}

// respondToRead responds to the oldest open read of the copy.
func (n *fakeNode) respondToRead(t *testing.T, outcome kv.Outcome, value []byte) {
	t.Helper()
	if len(n.reads) == 0 {
		t.Fatal("the copy is not read")
	}
	done := n.reads[0]
	n.reads = n.reads[1:]
	done(outcome, kv.Entry{Value: value})
}

// TestNewerCopyIsUsed checks which copies a node uses that cannot reach the cloud.
func TestNewerCopyIsUsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		value  []byte
		want   string
		source Source
	}{
		{"newer", copyOf(wallClock+10*micros.Second, "other"), "other", SourceCopy},
		{"older", copyOf(wallClock-10*micros.Second, "other"), "small", SourceCloud},
		{"of unknown age", copyOf(0, "other"), "small", SourceCloud},
		{"of a clock ahead", copyOf(wallClock+micros.Hour, "other"), "other", SourceCopy},
		{"newer, without types", copyOf(wallClock + 10*micros.Second), "small", SourceCloud},
		{"unreadable", []byte{0xff}, "small", SourceCloud},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newTable()
			node.wallClock, node.notMember = wallClock, true
			table.readCloud()
			node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small")))
			node.reads = nil
			node.now += 30 * micros.Second
			node.wallClock += 30 * micros.Second
			table.copy = storedCopy{}
			table.Tick()
			node.respondToFetch(t, wire.StatusUnavailable, nil)
			node.respondToRead(t, kv.OK, c.value)
			checkNames(t, table, c.want)
			if source, age := table.Origin(); source != c.source || age > 30*micros.Second {
				t.Errorf("types of the %v, %v old, want the %v", source, age, c.source)
			}
		})
	}
}

// TestRetryDelay checks that the pause between failed reads grows, and that the copy is not read with
// each of them.
func TestRetryDelay(t *testing.T) {
	table, node := newTable()
	table.Fill(types("small").Types())
	copyReads := 0
	for _, pause := range []micros.Micros{2, 4, 8, 8} {
		table.Tick()
		node.respondToFetch(t, wire.StatusUnavailable, nil)
		if len(node.reads) > 0 {
			node.respondToRead(t, kv.NotFound, nil)
			copyReads++
		}
		node.now += pause*micros.Second - 1
		table.Tick()
		if len(node.fetches) > 0 {
			t.Fatalf("read again before %v s have passed", int(pause))
		}
		node.now++
	}
	if copyReads != 2 { // at 0 and 14 s
		t.Errorf("the copy was read %d times in 22 s, want 2", copyReads)
	}
}

// TestRenewCopy checks which nodes write the copy after a read of the cloud.
func TestRenewCopy(t *testing.T) {
	for _, c := range []struct {
		name     string
		owner    bool
		member   bool
		copyAge  micros.Micros // of the copy in the key-value store, when the node reads it
		after    micros.Micros // since the first read
		names    string
		writes   int // with the second read
		isUnread bool
	}{
		{"owner, copy is recent", true, true, 0, micros.Second, "small", 0, true},
		{"owner, types changed", true, true, 0, micros.Second, "other", 1, true},
		{"owner, copy is old", true, true, 0, ownerCopyAge, "small", 1, true},
		{"other node, owners renew it", false, true, 10 * micros.Second, refreshInterval, "small", 0, false},
		{"other node, copy is old", false, true, nonOwnerCopyAge, refreshInterval, "small", 1, false},
		{"other node, not a member", false, false, nonOwnerCopyAge, refreshInterval, "small", 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newTable()
			node.wallClock, node.owner, node.active = wallClock, c.owner, c.owner
			table.readCloud()
			node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small")))
			if !c.owner {
				node.respondToRead(t, kv.OK, copyOf(wallClock, "small"))
				table.copy.asOf -= nonOwnerCopyAge // the node knows an old copy
			}
			node.writes, node.notMember = nil, !c.member
			node.now += c.after
			node.wallClock += c.after
			table.readCloud()
			node.respondToFetch(t, wire.StatusOK, wire.Encode(types(c.names)))
			if unread := len(node.reads) == 0; unread != c.isUnread {
				t.Fatalf("copy unread %v, want %v", unread, c.isUnread)
			}
			if !c.isUnread {
				node.respondToRead(t, kv.OK, copyOf(node.wallClock-c.copyAge, "small"))
			}
			if len(node.writes) != c.writes {
				t.Errorf("%d writes, want %d", len(node.writes), c.writes)
			}
		})
	}
}
