package wire

import (
	"math"
	"testing"
)

// TestTypes checks that invalid machine types are left out.
func TestTypes(t *testing.T) {
	list := MachineTypes{Entries: []MachineType{
		{Name: "mid", CPUs: 8, MemGB: 32},
		{CPUs: 8, MemGB: 32},
		{Name: "no-cpus", MemGB: 32},
		{Name: "nan-cpus", CPUs: math.NaN(), MemGB: 32},
		{Name: "absurd-cpus", CPUs: 1e9, MemGB: 32},
		{Name: "nan-memory", CPUs: 8, MemGB: math.NaN()},
		{Name: "absurd-memory", CPUs: 8, MemGB: 1e9},
	}}
	if types := list.Types(); len(types) != 1 || types[0].Name != "mid" {
		t.Errorf("got %+v, want mid alone", types)
	}
}
