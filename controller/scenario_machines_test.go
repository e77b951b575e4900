package controller

import (
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// This file plays what befalls machines and the cloud.

// runMachineCommand plays the commands of this file; false for any other.
func runMachineCommand(t *testing.T, w *simulation, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "machine":
		runMachineFaultCommand(t, w, d, during)
	case "cloud-down":
		w.cloud.Unavailable = true
		during(func() { w.cloud.Unavailable = false })
	case "never-up":
		w.cloud.FailedBoots = arg(t, d, "count", 1)
	default:
		return false
	}
	return true
}

func runMachineFaultCommand(t *testing.T, w *simulation, d *datadriven.TestData, during func(func())) {
	names := w.workerNames()
	if chosen := w.selectMachines(t, d); chosen != nil {
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
			runMachineFaultCommand(t, w, &one, during)
		}
		return
	}
	if which == "busiest" {
		for _, n := range names {
			if !w.workers[n].Machine.Gone && (which == "busiest" || len(w.workers[n].Tasks) > len(w.workers[which].Tasks)) {
				which = n
			}
		}
	}
	k := w.workers[which]
	switch {
	case d.HasArg("die"):
		k.Hung = true
		w.after(40*micros.Second, func() { k.Machine.Gone = true; w.forgetDeletedMachines() })
	case d.HasArg("hang"):
		k.Hung = true
		during(func() { k.Hung = false })
	case d.HasArg("cut"):
		k.Partitioned = true
		during(func() { k.Partitioned = false })
	case d.HasArg("deaf"):
		k.InboundBlocked = true
		during(func() { k.InboundBlocked = false })
	case d.HasArg("mute"):
		k.HeartbeatsBlocked = true
		during(func() { k.HeartbeatsBlocked = false })
	case d.HasArg("sick"):
		k.FailsTasks = true
		during(func() { k.FailsTasks = false })
	case d.HasArg("taken"):
		w.cloud.Reclaim(which)
		w.forgetDeletedMachines()
	case d.HasArg("notice"):
		left := argNumber(t, d, "notice", 20)
		k.PreemptionNotice, k.Changed = &left, true
		w.after(micros.FromSeconds(left), func() { w.cloud.Reclaim(which); w.forgetDeletedMachines() })
	default:
		d.Fatalf(t, "what happens to the machine?")
	}
}
