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

// beginCommit makes an owner send a transaction, whose result stays outstanding.
func beginCommit(tb testing.TB, o *owner) {
	tb.Helper()
	o.commits.DeleteLater("obsolete")
	if o.commits.Flush(); !o.commits.InFlight() {
		tb.Fatal("no transaction was sent")
	}
}

// commitNext makes an owner send its next transaction, and gives it the result of a successful commit.
// It returns the writes of the transaction, or nil if there is nothing to write.
func commitNext(tb testing.TB, o *owner, revision uint64) []transactionWrite {
	tb.Helper()
	o.c.effects = nil
	if o.commits.Flush(); !o.commits.InFlight() {
		return nil
	}
	call, ok := o.c.effects[len(o.c.effects)-1].(Call)
	if !ok || call.Target != "/commit" {
		tb.Fatalf("the last effect is not a transaction: %+v", o.c.effects[len(o.c.effects)-1])
	}
	var body transactionBody
	if err := wire.Decode(call.Body, &body); err != nil {
		tb.Fatal(err)
	}
	done := o.c.calls.pending[call.ID]
	delete(o.c.calls.pending, call.ID)
	done(CallDone{ID: call.ID, Status: wire.StatusOK, Body: wire.Encode(kv.TransactionResult{Revision: revision}), Sent: true})
	o.c.now += 25 * micros.Millisecond // the interval between transactions if the write budget allows them
	return body.Writes
}

// commitAll commits transactions until an owner has nothing left to write, and returns all writes.
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
