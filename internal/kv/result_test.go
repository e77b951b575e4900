package kv

import (
	"errors"
	"testing"

	"tamarindlead/internal/budget"
)

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		response Response
		want     Outcome
	}{
		{Response{Status: 200}, OK},
		{Response{Status: 404}, NotFound},
		{Response{Status: 409}, PreconditionFailed},
		{Response{Status: 410}, Compacted},
		{Response{Status: 429}, Throttled},
		{Response{Status: 503}, Refused},
		{Response{Status: 400}, InvalidRequest},
		{Response{Status: 500}, Unknown}, // the request may have been executed before it failed
		{Response{Status: 502}, Unknown},
		{Response{Status: 504}, Unknown},
		{Response{Status: 418}, InvalidRequest},
		{Response{Sent: false}, Refused},
		{Response{Sent: true}, Unknown},
	} {
		client, host := newClient(100)
		got := Outcome(-1)
		client.Do(budget.UserRequests, Get("k"), func(r Result) { got = r.Outcome })
		host.respond(t, c.response)
		if got != c.want {
			t.Errorf("%+v: outcome %v, want %v", c.response, got, c.want)
		}
	}
}

// TestOutcomeString checks that all outcomes have different names in logs.
func TestOutcomeString(t *testing.T) {
	seen := map[string]Outcome{}
	for o := OK; o <= InvalidRequest+1; o++ {
		if other, ok := seen[o.String()]; ok {
			t.Errorf("outcomes %d and %d are both %q", other, o, o)
		}
		seen[o.String()] = o
	}
}

func TestDecodeOK(t *testing.T) {
	valid, invalid := body(LeaseGrant{Lease: 7}), []byte{0xff}
	for _, c := range []struct {
		name       string
		result     Result
		lease      uint64
		ok         bool
		outcomeErr bool
	}{
		{"ok", Result{OK, valid}, 7, true, false},
		{"invalid body", Result{OK, invalid}, 0, false, false},
		{"other outcome", Result{Throttled, valid}, 0, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var grant LeaseGrant
			err := c.result.DecodeOK(&grant)
			if ok := err == nil; ok != c.ok || grant.Lease != c.lease {
				t.Errorf("lease %d and error %v, want lease %d", grant.Lease, err, c.lease)
			}
			var outcomeErr *OutcomeError
			if got := errors.As(err, &outcomeErr); got != c.outcomeErr {
				t.Errorf("error %v is an OutcomeError: %t, want %t", err, got, c.outcomeErr)
			}
			if c.outcomeErr && outcomeErr.Outcome != c.result.Outcome {
				t.Errorf("outcome %v, want %v", outcomeErr.Outcome, c.result.Outcome)
			}
		})
	}
}

// TestDecode checks that the body is decoded regardless of the outcome.
func TestDecode(t *testing.T) {
	var result TransactionResult
	r := Result{PreconditionFailed, body(TransactionResult{FailedPreconditions: []string{"k"}})}
	if err := r.Decode(&result); err != nil || len(result.FailedPreconditions) != 1 {
		t.Errorf("decoded as %+v: %v; want one failed precondition", result, err)
	}
	if err := (Result{PreconditionFailed, []byte{0xff}}).Decode(&result); err == nil {
		t.Error("an invalid body was decoded")
	}
}
