package controller

import (
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// This file plays what befalls machines and the cloud.

// runMachineCommand plays the commands of this file; false for any other.
func runMachineCommand(t *testing.T, sim *simulation, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "machine":
		runMachineFaultCommand(t, sim, d, during)
	case "cloud-down":
		sim.cloud.Unavailable = true
		during(func() { sim.cloud.Unavailable = false })
	case "never-up":
		sim.cloud.FailedBoots = arg(t, d, "count", 1)
	default:
		return false
	}
	return true
}

func runMachineFaultCommand(t *testing.T, sim *simulation, d *datadriven.TestData, during func(func())) {
	names := sim.workerNames()
	if chosen := sim.selectMachines(t, d); chosen != nil {
		names = chosen
		one := *d
		one.CmdArgs = append(withoutSelectors(d), datadriven.CmdArg{Key: "name", Vals: []string{"all"}})
		d = &one
	}
	which := arg(t, d, "name", names[0])
	if which == "all" {
		for _, n := range names {
			one := *d
			one.CmdArgs = append([]datadriven.CmdArg{{Key: "name", Vals: []string{n}}}, slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "name" })...)
			runMachineFaultCommand(t, sim, &one, during)
		}
		return
	}
	if which == "busiest" {
		for _, n := range names {
			if !sim.workers[n].Machine.Gone && (which == "busiest" || len(sim.workers[n].Tasks) > len(sim.workers[which].Tasks)) {
				which = n
			}
		}
	}
	worker := sim.workers[which]
	switch {
	case d.HasArg("die"):
		worker.Hung = true
		sim.after(40*micros.Second, func() { worker.Machine.Gone = true; sim.forgetDeletedMachines() })
	case d.HasArg("hang"):
		worker.Hung = true
		during(func() { worker.Hung = false })
	case d.HasArg("cut"):
		worker.Partitioned = true
		during(func() { worker.Partitioned = false })
	case d.HasArg("deaf"):
		worker.InboundBlocked = true
		during(func() { worker.InboundBlocked = false })
	case d.HasArg("mute"):
		worker.HeartbeatsBlocked = true
		during(func() { worker.HeartbeatsBlocked = false })
	case d.HasArg("sick"):
		worker.FailsTasks = true
		during(func() { worker.FailsTasks = false })
	case d.HasArg("taken"):
		sim.cloud.Reclaim(which)
		sim.forgetDeletedMachines()
	case d.HasArg("notice"):
		left := argNumber(t, d, "notice", 20)
		worker.PreemptionNotice, worker.Changed = &left, true
		sim.after(micros.FromSeconds(left), func() { sim.cloud.Reclaim(which); sim.forgetDeletedMachines() })
	default:
		d.Fatalf(t, "what happens to the machine?")
	}
}
