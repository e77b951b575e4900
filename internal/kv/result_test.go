package kv

import (
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
		{Response{Status: 500}, InvalidRequest},
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

// TestOutcomeString checks that logs distinguish the outcomes.
func TestOutcomeString(t *testing.T) {
	seen := map[string]Outcome{}
	for o := OK; o <= InvalidRequest+1; o++ {
		if other, ok := seen[o.String()]; ok {
			t.Errorf("outcomes %d and %d are both %q", other, o, o)
		}
		seen[o.String()] = o
	}
}
