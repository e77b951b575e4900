package controller

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/kv"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// transactionBody is the body of a transaction as the key-value store reads it.
type transactionBody struct {
	Writes []transactionWrite `cbor:"writes"`
}

// transactionWrite is a put or a delete of a transaction.
type transactionWrite struct {
	Put    string          `cbor:"put"`
	Value  cbor.RawMessage `cbor:"data"`
	Delete string          `cbor:"delete"`
}

// beginCommit brings an owner into the state in which the result of a transaction is awaited.
func beginCommit(tb testing.TB, o *owner) {
	tb.Helper()
	o.commits.DeleteLater("obsolete")
	if o.flush(); !o.commits.InFlight() {
		tb.Fatal("no transaction was sent")
	}
}

// commitNext sends an owner's next transaction and has it committed. It returns the writes, which
// are none if nothing must be written.
func commitNext(tb testing.TB, o *owner, revision uint64) []transactionWrite {
	tb.Helper()
	o.c.effects = nil
	if o.flush(); !o.commits.InFlight() {
		return nil
	}
	call, ok := o.c.effects[len(o.c.effects)-1].(Call)
	if !ok || call.Target != "/commit" {
		tb.Fatalf("the last effect is no transaction but %+v", o.c.effects[len(o.c.effects)-1])
	}
	var body transactionBody
	if err := wire.Decode(call.Body, &body); err != nil {
		tb.Fatal(err)
	}
	done := o.c.calls.pending[call.ID]
	delete(o.c.calls.pending, call.ID)
	done(CallDone{ID: call.ID, Status: wire.StatusOK, Body: wire.Encode(kv.TransactionResult{Revision: revision}), Sent: true})
	o.c.now += 25 * micros.Millisecond // the pause between transactions while writes are plentiful
	return body.Writes
}

// commitAll has an owner write all that is due, and returns the writes.
func commitAll(tb testing.TB, o *owner, revision uint64) []transactionWrite {
	tb.Helper()
	const maxTransactions = 1000
	var all []transactionWrite
	for range maxTransactions {
		writes := commitNext(tb, o, revision)
		if len(writes) == 0 {
			return all
		}
		all = append(all, writes...)
	}
	tb.Fatalf("the owner still writes after %d transactions", maxTransactions)
	return nil
}
