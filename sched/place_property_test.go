package sched

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of the random cases, so that the result is reproducible. The -rapid.seed
// flag sets another seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// drawMachines draws machines of two types in three zones with some free resources.
func drawMachines(t *rapid.T) []*Machine {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *Machine {
		return &Machine{
			Name:             fmt.Sprintf("m-%06d", rapid.IntRange(0, 1<<20).Draw(t, "name")),
			Type:             rapid.SampledFrom([]string{"small", "big"}).Draw(t, "type"),
			Zone:             rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "zone"),
			Spot:             rapid.Bool().Draw(t, "spot"),
			Free:             NewResources(float64(rapid.IntRange(-2, 16).Draw(t, "cpus")), 0, float64(rapid.IntRange(0, 64).Draw(t, "mem"))),
			Slots:            rapid.IntRange(0, 5).Draw(t, "slots"),
			Scarce:           rapid.Bool().Draw(t, "scarce"),
			ReservedForGangs: rapid.IntRange(0, 3).Draw(t, "reserved for gangs") == 0,
			ReservedForJob:   rapid.SampledFrom([]string{"", "", "", "job", "other"}).Draw(t, "reserved for job"),
		}
	}), 0, 12).Draw(t, "machines")
}

// drawJob draws a gang or an array with its restrictions.
func drawJob(t *rapid.T) *Job {
	j := &Job{
		ID:    "job",
		Gang:  rapid.Bool().Draw(t, "gang"),
		Tasks: rapid.IntRange(1, 9).Draw(t, "tasks"),
		Need:  NewResources(float64(rapid.IntRange(1, 6).Draw(t, "need")), 0, 1),
		Spot:  rapid.Bool().Draw(t, "may use spot"),
	}
	switch rapid.IntRange(0, 3).Draw(t, "restriction") {
	case 0:
		j.OneZone = true
	case 1:
		j.Spread = true
	case 2:
		j.Types = []string{"big"}
	}
	if j.Gang && j.Spot {
		j.MinOnDemandTasks = rapid.IntRange(0, j.Tasks).Draw(t, "on-demand tasks")
	}
	return j
}

// TestPlaceObeysRestrictions checks with random jobs and machines that all placed tasks fit and are
// allowed on their machines, that the restrictions of the job on zones and spot machines are met,
// and that a gang is placed as a whole or not at all.
func TestPlaceObeysRestrictions(t *testing.T) {
	placed := 0
	rapid.Check(t, func(t *rapid.T) {
		j, machines := drawJob(t), drawMachines(t)
		want := j.Tasks
		if !j.Gang {
			want = rapid.IntRange(0, j.Tasks).Draw(t, "want")
		}
		assignments := Place(j, machines, want, nil)
		total, spots := 0, 0
		byZone := map[string]int{}
		for _, a := range assignments {
			m := a.Machine
			switch {
			case a.Count <= 0 || a.Count > m.Slots || !j.Need.Times(a.Count).Fits(m.Free):
				t.Fatalf("%d tasks do not fit on %+v", a.Count, *m)
			case !j.Allows(m.Type, m.Zone, m.Spot):
				t.Fatalf("the job may not run on %+v", *m)
			case m.ReservedForGangs && !j.Gang || m.ReservedForJob != "" && m.ReservedForJob != j.ID:
				t.Fatalf("%+v is reserved for others", *m)
			}
			total += a.Count
			byZone[m.Zone] += a.Count
			if m.Spot {
				spots += a.Count
			}
		}
		checkTotals(t, j, want, total, spots, byZone)
		placed += total
	})
	if placed == 0 {
		t.Fatal("no task was placed in any case, so that nothing was checked")
	}
}

// checkTotals checks the limits that apply to all assignments of a job together.
func checkTotals(t *rapid.T, j *Job, want, total, spots int, byZone map[string]int) {
	if total > want || j.Gang && total != 0 && total != j.Tasks {
		t.Fatalf("%d of %d tasks placed", total, want)
	}
	if j.Gang && spots > j.Tasks-j.MinOnDemandTasks {
		t.Fatalf("%d tasks on spot machines, %d must be on on-demand ones", spots, j.MinOnDemandTasks)
	}
	if j.OneZone && len(byZone) > 1 {
		t.Fatalf("tasks in several zones: %v", byZone)
	}
	for zone, tasks := range byZone {
		if tasks > j.ZoneCap() {
			t.Fatalf("%d tasks in zone %s, %d are allowed", tasks, zone, j.ZoneCap())
		}
	}
}
