package controller

import (
	"reflect"
	"testing"

	"tamarindlead/config"
	"tamarindlead/internal/record"
	"tamarindlead/internal/wire"
	"tamarindlead/micros"
	"tamarindlead/sched"
)

// Dumps of the version in production, and the messages that its test program exchanges, use the struct
// field names of that version. This file translates between those names and the present ones, so that
// a field can be renamed without writing the dumps again.

// productionFields lists, by type, the fields that have another name in the version in
// production: present name, then the name there.
var productionFields = map[reflect.Type]map[string]string{
	reflect.TypeFor[record.Leader](): {"Incarnation": "Life"},
	reflect.TypeFor[record.Member](): {"Incarnation": "Life"},
	reflect.TypeFor[record.Team]():   {"Incarnation": "Life", "Predecessors": "Heir"},
	reflect.TypeFor[config.Settings](): {
		"SLOs":                 "Objectives",
		"MaxClockError":        "ClockBound",
		"HeartbeatInterval":    "ReportEvery",
		"WorkerLease":          "Lease",
		"GangStartTimeout":     "GangWait",
		"GangFailureTimeout":   "GangPeer",
		"CancellationDeadline": "CancelIn",
		"KVAddr":               "StateAddr",
		"KVRequestRate":        "StateRPS",
		"KVWriteRate":          "WriteRPS",
		"MaxValueBytes":        "ValueBytes",
		"MaxTransactionOps":    "TxnOps",
		"CloudRequestRate":     "CloudRPS",
		"CloudListLag":         "ListLag",
	},
	reflect.TypeFor[config.Team](): {
		"GuaranteedQuota": "Guarantee",
		"QuotaLimit":      "Limit",
	},
	reflect.TypeFor[config.SLO](): {
		"Threshold": "Within",
		"Fraction":  "Share",
	},
	reflect.TypeFor[config.Tuning](): {
		"HeartbeatTimeout":    "SilentAfter",
		"FailoverGrace":       "TakeoverGrace",
		"PartitionTimeout":    "PartitionPatience",
		"IdleTimeout":         "IdleReturn",
		"BootTimeoutFactor":   "BootPatience",
		"ScaleOutRetryDelay":  "RentalRetry",
		"QuarantineThreshold": "FaultyAfter",
		"ReservationTimeout":  "HoldWait",
		"MaxDomains":          "DomainList",
		"StarvationTimeout":   "StarveAfter",
		"SpotLossesPerHour":   "SpotLoss",
	},
	reflect.TypeFor[sched.Job](): {
		"MinOnDemandTasks":   "Ordinary",
		"CheckpointInterval": "Checkpoint",
		"CheckpointDuration": "Save",
		"Dependencies":       "Awaits",
	},
	reflect.TypeFor[wire.MachineType](): {
		"GPUs":        "Cards",
		"CacheGB":     "LocalGB",
		"HourlyPrice": "Hourly",
		"SpotPrice":   "MarketPrice",
		"Zones":       "Halls",
	},
	reflect.TypeFor[wire.MachineTypes](): {
		"Entries": "Builds",
	},
	reflect.TypeFor[record.ScaleOutRequest](): {
		"Count": "Number",
	},
	reflect.TypeFor[record.TerminalState](): {
		"FinishedAt":          "At",
		"CancelledDependency": "Before",
	},
}

// productionType returns the type that corresponds to t in the version in production: t itself if no
// field of t, or of a type that t contains, has been renamed.
func productionType(t reflect.Type) reflect.Type {
	switch t.Kind() {
	case reflect.Pointer:
		if elem := productionType(t.Elem()); elem != t.Elem() {
			return reflect.PointerTo(elem)
		}
	case reflect.Slice:
		if elem := productionType(t.Elem()); elem != t.Elem() {
			return reflect.SliceOf(elem)
		}
	case reflect.Map:
		if elem := productionType(t.Elem()); elem != t.Elem() {
			return reflect.MapOf(t.Key(), elem)
		}
	case reflect.Struct:
		return productionStruct(t)
	default: // contains no struct
	}
	return t
}

// productionStruct returns the struct type that corresponds to t in the version in production, without
// unexported fields.
func productionStruct(t reflect.Type) reflect.Type {
	renamed := productionFields[t]
	changed := len(renamed) > 0
	var fields []reflect.StructField
	for _, f := range reflect.VisibleFields(t) {
		if !f.IsExported() || len(f.Index) > 1 {
			continue
		}
		fieldType := productionType(f.Type)
		changed = changed || fieldType != f.Type
		name := f.Name
		if old, ok := renamed[name]; ok {
			name = old
		}
		fields = append(fields, reflect.StructField{Name: name, Type: fieldType, Tag: f.Tag, Anonymous: f.Anonymous})
	}
	if !changed {
		return t
	}
	return reflect.StructOf(fields)
}

// toProduction returns a copy of a value with the field names of the version in production.
func toProduction(v any) any {
	from := reflect.ValueOf(v)
	to := reflect.New(productionType(from.Type())).Elem()
	copyRenamed(to, from, true)
	return to.Interface()
}

// decodeProduction decodes CBOR with the field names of the version in production into v.
func decodeProduction[T any](data []byte, v *T) error {
	from := reflect.New(productionType(reflect.TypeFor[T]()))
	if err := wire.Decode(data, from.Interface()); err != nil {
		return err
	}
	copyRenamed(reflect.ValueOf(v).Elem(), from.Elem(), false)
	return nil
}

// copyRenamed copies a value to the corresponding type of the other version: to the version in
// production if renaming is set, and from that to the present version otherwise.
func copyRenamed(to, from reflect.Value, renaming bool) {
	if to.Type() == from.Type() {
		to.Set(from)
		return
	}
	switch from.Kind() {
	case reflect.Pointer:
		if !from.IsNil() {
			to.Set(reflect.New(to.Type().Elem()))
			copyRenamed(to.Elem(), from.Elem(), renaming)
		}
	case reflect.Slice:
		if !from.IsNil() {
			to.Set(reflect.MakeSlice(to.Type(), from.Len(), from.Len()))
			for i := range from.Len() {
				copyRenamed(to.Index(i), from.Index(i), renaming)
			}
		}
	case reflect.Map:
		if !from.IsNil() {
			to.Set(reflect.MakeMapWithSize(to.Type(), from.Len()))
			for _, key := range from.MapKeys() {
				elem := reflect.New(to.Type().Elem()).Elem()
				copyRenamed(elem, from.MapIndex(key), renaming)
				to.SetMapIndex(key, elem)
			}
		}
	case reflect.Struct:
		copyRenamedFields(to, from, renaming)
	default:
		panic("types that contain no struct differ") // see productionType
	}
}

func copyRenamedFields(to, from reflect.Value, renaming bool) {
	presentType := to.Type()
	if renaming {
		presentType = from.Type()
	}
	for i := range presentType.NumField() {
		field := presentType.Field(i)
		if !field.IsExported() {
			continue
		}
		old, ok := productionFields[presentType][field.Name]
		if !ok {
			old = field.Name
		}
		if renaming {
			copyRenamed(to.FieldByName(old), from.Field(i), renaming)
		} else {
			copyRenamed(to.Field(i), from.FieldByName(old), renaming)
		}
	}
}

// TestProductionFields checks that each renamed field exists, that its old name is not also a present
// field of its type, and that a value is unchanged after the translation in both directions.
func TestProductionFields(t *testing.T) {
	for typ, renamed := range productionFields {
		for name, old := range renamed {
			if _, ok := typ.FieldByName(name); !ok {
				t.Errorf("%s has no field %s", typ, name)
			}
			if _, ok := typ.FieldByName(old); ok && renamed[old] == "" {
				t.Errorf("%s still has a field %s", typ, old)
			}
		}
	}
	before := record.Team{Owner: "n1", Predecessors: []record.OwnerID{"n0/1", "n2/7"}}
	old := reflect.ValueOf(toProduction(before))
	if got := old.FieldByName("Heir").Len(); got != 2 {
		t.Fatalf("%d predecessors after the translation to the version in production, want 2", got)
	}
	var after record.Team
	if err := decodeProduction(wire.Encode(toProduction(before)), &after); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%+v became %+v in the translation to the version in production and back", before, after)
	}
	var times struct{ At micros.Micros }
	if productionType(reflect.TypeOf(times)) != reflect.TypeOf(times) {
		t.Error("a type without renamed fields is translated to another type")
	}
}
