package machinetypes

import (
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// The tests in this file cover the confirmation that precedes a permanent rejection of a job. Nodes
// used to reject jobs based on their table, whatever its age: a job that fits a type offered since then
// got a permanent 422 response, and a node without teams continued to reject it for as long as its
// process ran (scenario machine_type_offered).

// confirmations counts the results of confirmations.
type confirmations struct{ confirmed, denied int }

func (c *confirmations) done(confirmed bool) {
	if confirmed {
		c.confirmed++
	} else {
		c.denied++
	}
}

// newReadTable returns a table that was read from the cloud.
func newReadTable(t *testing.T) (*Table, *fakeNode) {
	t.Helper()
	table, node := newTable()
	table.readCloud()
	node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small")))
	node.now += micros.Second
	return table, node
}

// respondToFetch responds to the oldest open read of the cloud.
func (n *fakeNode) respondToFetch(t *testing.T, status wire.Status, body []byte) {
	t.Helper()
	if len(n.fetches) == 0 {
		t.Fatal("no read of the cloud is open")
	}
	done := n.fetches[0]
	n.fetches = n.fetches[1:]
	done(status, body)
}

// TestConfirmRequiresLaterRead checks that a read that was sent before a call of Confirm does not
// confirm it, and that one read confirms all calls that were made before it was sent.
func TestConfirmRequiresLaterRead(t *testing.T) {
	table, node := newReadTable(t)
	table.readCloud()
	node.now += micros.Millisecond
	var results confirmations
	table.Confirm(results.done)
	table.Confirm(results.done)
	if len(node.fetches) != 1 {
		t.Fatalf("%d reads of the cloud at a time, want 1", len(node.fetches))
	}
	node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small")))
	if results != (confirmations{}) {
		t.Fatalf("%+v after a read that was sent before the calls of Confirm, want no results", results)
	}
	node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small", "new")))
	if want := (confirmations{confirmed: 2}); results != want || table.Find("new") == nil {
		t.Errorf("%+v, want %+v, with the types that were read", results, want)
	}
	if len(node.fetches) != 0 {
		t.Error("the types are read once more without need")
	}
}

// TestConfirmFails checks that nothing is confirmed while the cloud cannot be read: a confirmation
// waits for a second at most, and the next ones are denied immediately.
func TestConfirmFails(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(t *testing.T, table *Table, node *fakeNode)
	}{
		{"unavailable", func(t *testing.T, _ *Table, node *fakeNode) {
			node.respondToFetch(t, wire.StatusUnavailable, nil)
		}},
		{"no type", func(t *testing.T, _ *Table, node *fakeNode) {
			node.respondToFetch(t, wire.StatusOK, wire.Encode(types()))
		}},
		{"no response", func(_ *testing.T, table *Table, node *fakeNode) {
			node.now += confirmationTimeout + 1
			table.Tick()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newReadTable(t)
			var results confirmations
			table.Confirm(results.done)
			c.respond(t, table, node)
			if want := (confirmations{denied: 1}); results != want {
				t.Fatalf("%+v, want %+v", results, want)
			}
			open := len(node.fetches)
			table.Confirm(results.done)
			if want := (confirmations{denied: 2}); results != want || len(node.fetches) != open {
				t.Errorf("%+v with %d more reads, want %+v immediately, without a read", results, len(node.fetches)-open, want)
			}
			checkNames(t, table, "small")
		})
	}
}

// TestConfirmationRate checks that confirmations cause no more reads of the cloud than the rate
// limit allows, and that confirmations beyond it are denied immediately.
func TestConfirmationRate(t *testing.T) {
	table, node := newReadTable(t)
	var results confirmations
	for range 3 * confirmationBurst {
		table.Confirm(results.done)
		if len(node.fetches) > 0 {
			node.respondToFetch(t, wire.StatusOK, wire.Encode(types("small")))
		}
	}
	if want := (confirmations{confirmationBurst, 2 * confirmationBurst}); results != want {
		t.Errorf("%+v, want %+v", results, want)
	}
	node.now += 10 * micros.Second
	table.Confirm(results.done)
	if len(node.fetches) != 1 {
		t.Error("no read is allowed after ten seconds")
	}
}
