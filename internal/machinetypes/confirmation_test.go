package machinetypes

import (
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// The tests in this file cover the confirmation on which a permanent refusal rests. Before, a node
// refused by the table that it had, whatever its age: 422 for good to a job that fits a type offered
// since, and, at a node without teams, for as long as the process lived (scenario machine_type_offered).

// confirmations counts the answers to confirmations.
type confirmations struct{ confirmed, refused int }

func (c *confirmations) done(confirmed bool) {
	if confirmed {
		c.confirmed++
	} else {
		c.refused++
	}
}

// newReadTable returns a table that was read from the cloud.
func newReadTable(t *testing.T) (*Table, *fakeNode) {
	t.Helper()
	table, node := newTable()
	table.readCloud()
	node.answerFetch(t, wire.StatusOK, wire.Encode(types("small")))
	node.now += micros.Second
	return table, node
}

// answerFetch answers the oldest read of the cloud.
func (n *fakeNode) answerFetch(t *testing.T, status wire.Status, body []byte) {
	t.Helper()
	if len(n.fetches) == 0 {
		t.Fatal("no read of the cloud is open")
	}
	done := n.fetches[0]
	n.fetches = n.fetches[1:]
	done(status, body)
}

// TestConfirmReadsAfterTheQuestion checks that a read which was sent before the question confirms
// nothing, and that one read confirms all questions that came before it.
func TestConfirmReadsAfterTheQuestion(t *testing.T) {
	table, node := newReadTable(t)
	table.readCloud()
	node.now += micros.Millisecond
	var answers confirmations
	table.Confirm(answers.done)
	table.Confirm(answers.done)
	if len(node.fetches) != 1 {
		t.Fatalf("%d reads of the cloud at a time", len(node.fetches))
	}
	node.answerFetch(t, wire.StatusOK, wire.Encode(types("small")))
	if answers != (confirmations{}) {
		t.Fatalf("%+v by a read that was sent before", answers)
	}
	node.answerFetch(t, wire.StatusOK, wire.Encode(types("small", "new")))
	if want := (confirmations{confirmed: 2}); answers != want || table.Find("new") == nil {
		t.Errorf("%+v, want %+v by the types that were read", answers, want)
	}
	if len(node.fetches) != 0 {
		t.Error("the types are read once more for nothing")
	}
}

// TestConfirmFails checks that nothing is confirmed while the cloud cannot be read: a question waits
// for a second at most, and the next ones are answered at once.
func TestConfirmFails(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(t *testing.T, table *Table, node *fakeNode)
	}{
		{"unavailable", func(t *testing.T, _ *Table, node *fakeNode) {
			node.answerFetch(t, wire.StatusUnavailable, nil)
		}},
		{"no type", func(t *testing.T, _ *Table, node *fakeNode) {
			node.answerFetch(t, wire.StatusOK, wire.Encode(types()))
		}},
		{"no response", func(_ *testing.T, table *Table, node *fakeNode) {
			node.now += confirmationTimeout + 1
			table.Tick()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, node := newReadTable(t)
			var answers confirmations
			table.Confirm(answers.done)
			c.answer(t, table, node)
			if want := (confirmations{refused: 1}); answers != want {
				t.Fatalf("%+v, want %+v", answers, want)
			}
			open := len(node.fetches)
			table.Confirm(answers.done)
			if want := (confirmations{refused: 2}); answers != want || len(node.fetches) != open {
				t.Errorf("%+v with %d more reads, want %+v at once", answers, len(node.fetches)-open, want)
			}
			checkNames(t, table, "small")
		})
	}
}

// TestConfirmationRate checks that questions cause no more reads of the cloud than the table may: what
// is beyond them is answered at once.
func TestConfirmationRate(t *testing.T) {
	table, node := newReadTable(t)
	var answers confirmations
	for range 3 * confirmationBurst {
		table.Confirm(answers.done)
		if len(node.fetches) > 0 {
			node.answerFetch(t, wire.StatusOK, wire.Encode(types("small")))
		}
	}
	if want := (confirmations{confirmationBurst, 2 * confirmationBurst}); answers != want {
		t.Errorf("%+v, want %+v", answers, want)
	}
	node.now += 10 * micros.Second
	table.Confirm(answers.done)
	if len(node.fetches) != 1 {
		t.Error("no read is allowed after ten seconds")
	}
}
