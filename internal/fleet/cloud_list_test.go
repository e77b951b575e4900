package fleet

import (
	"testing"

	"tamarindlead/internal/wire"
	"tamarindlead/micros"
)

// TestCloudList checks how a reading of the cloud's list with two pages updates the machines.
func TestCloudList(t *testing.T) {
	f, host := newTestFleet(t, "m-000001", "m-000002", "m-000003")
	f.Machines["m-000001"].CloudListed = true
	f.TickCloudList()
	host.respond(t, "/rentals?limit=500", wire.StatusOK, wire.MachineList{
		Machines: []wire.ListedMachine{{Name: "m-000002", Status: wire.ListFailed}}, More: true,
	})
	host.respond(t, "/rentals?after=m-000002&limit=500", wire.StatusOK, wire.MachineList{})
	if n := f.Machines["m-000001"].MissedListings; n != 1 {
		t.Errorf("machine missing from the list: %d missed listings, want 1", n)
	}
	if m := f.Machines["m-000002"]; !m.CloudListed || !m.Failed || m.MissedListings != 0 {
		t.Errorf("state of the listed machine: %+v", m.CloudListing)
	}
	if m := f.Machines["m-000003"]; m.CloudListed || m.MissedListings != 0 {
		t.Errorf("state of the machine that was never listed: %+v", m.CloudListing)
	}
	f.TickCloudList()
	if len(host.calls) != 0 {
		t.Error("the list is read again before the minimum interval has passed")
	}
}

// TestOrphanedMachinesAreAdopted checks that a listed machine is adopted after it has been listed
// for orphanLagFactor times the list's lag without an owner.
func TestOrphanedMachinesAreAdopted(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *Fleet)
		want   bool
	}{
		{"orphaned", func(*Fleet) {}, true},
		{"recently terminated", func(f *Fleet) { f.recentlyTerminated["m-000001"] = micros.Minute }, false},
		{"owned by another owner", func(f *Fleet) { f.MarkOwnedElsewhere("m-000001", micros.Minute) }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, host := newTestFleet(t)
			test.change(f)
			list := wire.MachineList{Machines: []wire.ListedMachine{{Name: "m-000001", Type: "small", Zone: "a", AgeS: 2}}}
			lag := f.settings.CloudListLag
			for _, now := range []micros.Micros{1, 1 + orphanLagFactor*lag, 1 + (orphanLagFactor+1)*lag} {
				if f.Machines["m-000001"] != nil {
					t.Fatalf("adopted before %v", now)
				}
				host.now = now
				f.TickCloudList()
				host.respond(t, "/rentals?limit=500", wire.StatusOK, list)
			}
			m := f.Machines["m-000001"]
			if (m != nil) != test.want {
				t.Fatalf("adopted: %t, want %t", m != nil, test.want)
			}
			if m != nil && m.ProvisionedAt != host.now-2*micros.Second {
				t.Errorf("provisioned at %v, want 2 s before the last list", m.ProvisionedAt)
			}
		})
	}
}
