package kv

import (
	"bytes"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestRequests checks that requests have the form that the store's protocol requires.
func TestRequests(t *testing.T) {
	type fields = map[string]any
	for _, c := range []struct {
		request        Request
		method, target string
		body           any
		writes         int
	}{
		{Get("a/b"), "GET", "/kv/a/b", nil, 0},
		{List("a/", ""), "GET", "/kv?limit=400&prefix=a%2F", nil, 0},
		{List("a/", "a/b"), "GET", "/kv?after=a%2Fb&limit=400&prefix=a%2F", nil, 0},
		{Watch("a/", 12, 4*micros.Second), "GET", "/changes?after=12&prefix=a%2F&waitMs=4000", nil, 0},
		{
			Transaction([]Precondition{{"a", 3}}, []Write{{Put: "a", Value: 1, Lease: 5}, {Delete: "b"}}),
			"POST", "/commit",
			fields{
				"guards": []fields{{"k": "a", "stamp": 3}},
				"writes": []fields{{"put": "a", "data": 1, "tenancy": 5}, {"delete": "b"}},
			},
			2,
		},
		{GrantLease(3 * micros.Second), "POST", "/leases", fields{"ttlMs": 3000}, 0},
		{RenewLease(7), "POST", "/leases/7/extend", nil, 0},
		{RevokeLease(7), "DELETE", "/leases/7", nil, 0},
	} {
		t.Run(c.method+" "+c.target, func(t *testing.T) {
			r := c.request
			if r.Method != c.method || r.Target != c.target || r.WriteCount != c.writes {
				t.Errorf("%s %s with %d writes, want %s %s with %d", r.Method, r.Target, r.WriteCount, c.method, c.target, c.writes)
			}
			if c.body == nil {
				if r.Body != nil {
					t.Errorf("body %x, want none", r.Body)
				}
				return
			}
			var got any
			if err := wire.Decode(r.Body, &got); err != nil {
				t.Fatal(err)
			}
			if want := canonical(t, c.body); !bytes.Equal(canonical(t, got), want) {
				t.Errorf("body %v, want %v", got, c.body)
			}
		})
	}
}

// canonical encodes a value with sorted map keys.
func canonical(t *testing.T, v any) []byte {
	t.Helper()
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	data, err := mode.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestSortedPreconditions(t *testing.T) {
	got := SortedPreconditions(map[string]uint64{"b": 2, "a": 1, "c": 0})
	if want := []Precondition{{"a", 1}, {"b", 2}, {"c", 0}}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
