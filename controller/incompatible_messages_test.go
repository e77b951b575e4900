package controller

import (
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"tamarindlead/internal/peer"
)

// fullMessage returns an encoded peer message in which the given field and all fields nested in it are
// set.
func fullMessage(t *testing.T, field protoreflect.FieldDescriptor) []byte {
	t.Helper()
	message := &peer.Message{From: "n1"}
	if field.Message() != nil {
		fillMessage(message.ProtoReflect().Mutable(field).Message())
	}
	data, err := proto.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// fillMessage sets all fields of a message.
func fillMessage(m protoreflect.Message) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.IsList() {
			l := m.Mutable(f).List()
			if f.Message() != nil {
				fillMessage(l.AppendMutable().Message())
			} else {
				l.Append(protoreflect.ValueOfString("x"))
			}
			continue
		}
		switch f.Kind() {
		case protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("x"))
		case protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte("x")))
		case protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case protoreflect.Uint32Kind:
			m.Set(f, protoreflect.ValueOfUint32(3))
		case protoreflect.Uint64Kind:
			m.Set(f, protoreflect.ValueOfUint64(3))
		case protoreflect.Int32Kind:
			m.Set(f, protoreflect.ValueOfInt32(3))
		case protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(3))
		default:
			panic("no value for a field of kind " + f.Kind().String())
		}
	}
}

// fieldPaths returns the paths, as field numbers, of a field and of all fields nested in it.
func fieldPaths(f protoreflect.FieldDescriptor) [][]protowire.Number {
	paths := [][]protowire.Number{{f.Number()}}
	if f.Message() == nil {
		return paths
	}
	fields := f.Message().Fields()
	for i := range fields.Len() {
		for _, p := range fieldPaths(fields.Get(i)) {
			paths = append(paths, append([]protowire.Number{f.Number()}, p...))
		}
	}
	return paths
}

// wireMutation returns an incompatible encoding of a field, which replaces the field in a message.
type wireMutation func(n protowire.Number, typ protowire.Type, value []byte) []byte

var wireMutations = map[string]wireMutation{
	"renumbered": func(n protowire.Number, typ protowire.Type, value []byte) []byte {
		return append(protowire.AppendTag(nil, n+100, typ), value...)
	},
	"dropped": func(protowire.Number, protowire.Type, []byte) []byte { return nil },
	"of another type": func(n protowire.Number, _ protowire.Type, _ []byte) []byte {
		return protowire.AppendFixed64(protowire.AppendTag(nil, n, protowire.Fixed64Type), 3)
	},
}

// mutateWire changes the field at the end of a path of field numbers in an encoded message, and reports
// whether the message has that field.
func mutateWire(data []byte, path []protowire.Number, mutation wireMutation) (out []byte, changed bool) {
	for len(data) > 0 {
		number, typ, tagSize := protowire.ConsumeTag(data)
		valueSize := protowire.ConsumeFieldValue(number, typ, data[max(0, tagSize):])
		if tagSize < 0 || valueSize < 0 {
			panic("cannot parse a message that this test encoded")
		}
		tag, value := data[:tagSize], data[tagSize:tagSize+valueSize]
		data = data[tagSize+valueSize:]
		switch {
		case number != path[0]:
			out = append(append(out, tag...), value...)
		case len(path) == 1:
			out, changed = append(out, mutation(number, typ, value)...), true
		default:
			inner, size := protowire.ConsumeBytes(value)
			if size < 0 {
				panic("a field with nested fields is not encoded as a message")
			}
			inner, changed = mutateWire(inner, path[1:], mutation)
			out = protowire.AppendBytes(append(out, tag...), inner)
		}
	}
	return out, changed
}
