package wire

import (
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/dynamicpb"
)

const goldenFile = "testdata/frames.golden"

// TestFrames compares the bytes of each message, with every field filled in, with those
// of commit 7b6c0ec: neighbouring releases understand each other only if no field's
// number or type changes. A new field or message adds to the file; none may go.
func TestFrames(t *testing.T) {
	raw, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	got := frames(t)
	for _, want := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		name, frame, _ := strings.Cut(want, " ")
		if got[name] != frame {
			t.Errorf("%s is sent as %s, want %s", name, got[name], frame)
		}
	}
}

// frames encodes a filled message of each type, by name.
func frames(t *testing.T) map[string]string {
	t.Helper()
	out := map[string]string{}
	messages := File_dt_proto.Messages()
	for i := range messages.Len() {
		descriptor := messages.Get(i)
		message := dynamicpb.NewMessage(descriptor)
		fillMessage(message, 2)
		b, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil {
			t.Fatal(err)
		}
		out[string(descriptor.Name())] = hex.EncodeToString(b)
	}
	return out
}

// fillMessage sets every field, to a depth of nested messages.
func fillMessage(m protoreflect.Message, depth int) {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		nested := field.Kind() == protoreflect.MessageKind
		switch {
		case nested && depth == 0 && !field.IsMap():
		case field.IsMap():
			key := protoreflect.ValueOfString("key").MapKey()
			m.Mutable(field).Map().Set(key, scalar(field.MapValue()))
		case field.IsList() && nested:
			element := m.Mutable(field).List().AppendMutable()
			fillMessage(element.Message(), depth-1)
		case field.IsList():
			m.Mutable(field).List().Append(scalar(field))
		case nested:
			fillMessage(m.Mutable(field).Message(), depth-1)
		default:
			m.Set(field, scalar(field))
		}
	}
}

// scalar is a value that differs from field to field.
func scalar(field protoreflect.FieldDescriptor) protoreflect.Value {
	n := field.Number()
	switch field.Kind() {
	case protoreflect.BoolKind:
		return protoreflect.ValueOfBool(true)
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(fmt.Sprint("s", n))
	case protoreflect.BytesKind:
		return protoreflect.ValueOfBytes(fmt.Append(nil, "b", n))
	case protoreflect.EnumKind:
		return protoreflect.ValueOfEnum(1)
	case protoreflect.Int32Kind, protoreflect.Sint32Kind, protoreflect.Sfixed32Kind:
		return protoreflect.ValueOfInt32(int32(n))
	case protoreflect.Int64Kind, protoreflect.Sint64Kind, protoreflect.Sfixed64Kind:
		return protoreflect.ValueOfInt64(int64(n))
	case protoreflect.Uint32Kind, protoreflect.Fixed32Kind:
		return protoreflect.ValueOfUint32(uint32(n))
	case protoreflect.Uint64Kind, protoreflect.Fixed64Kind:
		return protoreflect.ValueOfUint64(uint64(n))
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(float64(n))
	}
	return protoreflect.ValueOfFloat32(float32(n))
}
