package controller

import (
	"slices"
	"testing"

	"github.com/cockroachdb/datadriven"

	"tamarindlead/micros"
)

// This file plays what befalls machines and the cloud.

// machineVerb plays the commands of this file; false for any other.
func machineVerb(t *testing.T, w *world, d *datadriven.TestData, during func(func())) bool {
	switch d.Cmd {
	case "machine":
		machineCommand(t, w, d, during)
	case "cloud-down":
		w.cloud.Down = true
		during(func() { w.cloud.Down = false })
	case "never-up":
		w.cloud.NeverUp = arg(t, d, "count", 1)
	default:
		return false
	}
	return true
}

func machineCommand(t *testing.T, w *world, d *datadriven.TestData, during func(func())) {
	names := w.workerNames()
	if chosen := w.chosen(t, d); chosen != nil {
		names = chosen
		one := *d
		one.CmdArgs = append(withoutChoice(d), datadriven.CmdArg{Key: "name", Vals: []string{"all"}})
		d = &one
	}
	which := arg(t, d, "name", names[0])
	if which == "all" {
		for _, n := range names {
			one := *d
			one.CmdArgs = append([]datadriven.CmdArg{{Key: "name", Vals: []string{n}}}, slices.DeleteFunc(slices.Clone(d.CmdArgs), func(a datadriven.CmdArg) bool { return a.Key == "name" })...)
			machineCommand(t, w, &one, during)
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
		w.after(40*micros.Second, func() { k.Machine.Gone = true; w.noteGone() })
	case d.HasArg("hang"):
		k.Hung = true
		during(func() { k.Hung = false })
	case d.HasArg("cut"):
		k.Cut = true
		during(func() { k.Cut = false })
	case d.HasArg("deaf"):
		k.Deaf = true
		during(func() { k.Deaf = false })
	case d.HasArg("mute"):
		k.Mute = true
		during(func() { k.Mute = false })
	case d.HasArg("sick"):
		k.Sick = true
		during(func() { k.Sick = false })
	case d.HasArg("taken"):
		w.cloud.Take(which)
		w.noteGone()
	case d.HasArg("notice"):
		left := argNumber(t, d, "notice", 20)
		k.Notice, k.Changed = &left, true
		w.after(micros.FromSeconds(left), func() { w.cloud.Take(which); w.noteGone() })
	default:
		d.Fatalf(t, "what happens to the machine?")
	}
}
