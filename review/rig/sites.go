package rig

import "tamarindlead/internal/wire"

// Eyjafold returns the settings of the site eyjafold-sched, with the guest team of its later days.
func Eyjafold() Config {
	types := []wire.MachineType{
		{Name: "lundi-small", CPUs: 16, MemGB: 32, FetchGBPerS: 0.2, HourlyPrice: 0.88, SpotPrice: 0.19, BootS: 30},
		{Name: "lundi-mid", CPUs: 32, MemGB: 128, FetchGBPerS: 0.8, HourlyPrice: 1.76, SpotPrice: 0.38, BootS: 30},
		{Name: "lundi-large", CPUs: 64, MemGB: 512, FetchGBPerS: 0.8, HourlyPrice: 4.26, SpotPrice: 1.06, BootS: 25},
	}
	return Config{
		Controllers: 3, Zones: []string{"reykjavik-hall", "akureyri-vault"},
		Teams:   []Team{{Name: "records-desk"}, {Name: "saga-archive"}},
		Types:   withZones(types, "reykjavik-hall", "akureyri-vault"),
		ReportS: 3, LeaseS: 17, GangWaitS: 50, PeerS: 8, CancelS: 47,
		RPS: 150, WriteRPS: 20, ValueKB: 8, TxnOps: 16, CloudRPS: 2, ListLag: 8,
	}
}

// BrannockNext returns the settings of the site brannock-scripts-next, in which jobs depend on others.
func BrannockNext() Config {
	config := Brannock()
	config.ReportS = 4
	return config
}

// Brannock returns the settings of the site brannock-scripts, with the guest team of its later days.
func Brannock() Config {
	types := []wire.MachineType{
		{Name: "desk-node", CPUs: 16, MemGB: 64, FetchGBPerS: 0.4, HourlyPrice: 0.99, SpotPrice: 0.43, BootS: 15},
		{Name: "floor-node", CPUs: 32, MemGB: 128, FetchGBPerS: 0.8, HourlyPrice: 1.83, SpotPrice: 0.83, BootS: 40},
	}
	return Config{
		Controllers: 3, Zones: []string{"leeds-room", "croydon-room"},
		Teams: []Team{
			{Name: "script-authors", CPUs: 256, CPUsMax: 960},
			{Name: "qa-listeners", CPUs: 160, CPUsMax: 384},
			{Name: "compliance-desk", CPUs: 160, CPUsMax: 384},
			{Name: "speech-lab"},
		},
		Types:   withZones(types, "leeds-room", "croydon-room"),
		ReportS: 3, LeaseS: 18, GangWaitS: 30, PeerS: 5, CancelS: 48,
		RPS: 100, WriteRPS: 40, ValueKB: 8, TxnOps: 12, CloudRPS: 10, ListLag: 6,
	}
}

func withZones(types []wire.MachineType, zones ...string) []wire.MachineType {
	for i := range types {
		types[i].Zones, types[i].CacheGB = zones, 60
	}
	return types
}

// EyjafoldMachines adds the five machines that the site eyjafold-sched has at the start. The cloud has no
// others to give, unless SetCapacity is called.
func EyjafoldMachines(r *Rig, _ bool) {
	r.AddMachines("lundi-small", "reykjavik-hall", 1)
	r.AddMachines("lundi-small", "akureyri-vault", 1)
	r.AddMachines("lundi-mid", "reykjavik-hall", 2)
	r.AddMachines("lundi-large", "akureyri-vault", 1)
}
