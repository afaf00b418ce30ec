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

// goldenFile holds the frames of this release, one message type per line.
const goldenFile = "testdata/frames.golden"

// earlierGoldenFiles hold the frames of earlier releases.
var earlierGoldenFiles = []string{"testdata/frames-7b6c0ec.golden", "testdata/frames-76067e2.golden", "testdata/frames-7e83235.golden"}

// TestFrames compares the encoding of each message type, with every field set, with the
// golden file. Adjacent releases are compatible only if no field changes its number or
// type. New fields and messages are added to the file; none may be removed.
func TestFrames(t *testing.T) {
	got := frames(t)
	for name, frame := range golden(t, goldenFile) {
		if got[name] != frame {
			t.Errorf("%s is sent as %s, want %s", name, got[name], frame)
		}
	}
}

// TestEarlierFrames decodes the frames of earlier releases, which had fewer fields: each
// field must still exist with its number, type and value, and encode to the same bytes.
func TestEarlierFrames(t *testing.T) {
	for _, file := range earlierGoldenFiles {
		checkEarlierFrames(t, file)
	}
}

// checkEarlierFrames decodes and re-encodes each frame of a file.
func checkEarlierFrames(t *testing.T, file string) {
	t.Helper()
	messages := File_dt_proto.Messages()
	for name, frame := range golden(t, file) {
		descriptor := messages.ByName(protoreflect.Name(name))
		if descriptor == nil {
			t.Errorf("%s is gone", name)
			continue
		}
		raw, err := hex.DecodeString(frame)
		if err != nil {
			t.Fatal(err)
		}
		message := dynamicpb.NewMessage(descriptor)
		if err := proto.Unmarshal(raw, message); err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		checkFilled(t, name, message)
		again, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
		if err != nil || hex.EncodeToString(again) != frame {
			t.Errorf("%s is written back as %x, %v, want %s", name, again, err, frame)
		}
	}
}

// golden reads a file of hexadecimal frames, by message name.
func golden(t *testing.T, file string) map[string]string {
	t.Helper()
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(raw)), "\n") {
		name, frame, _ := strings.Cut(line, " ")
		out[name] = frame
	}
	return out
}

// checkFilled checks that a message has no unknown fields and that each scalar field that
// is set has the value that fillMessage assigns to its number and type.
func checkFilled(t *testing.T, name string, m protoreflect.Message) {
	t.Helper()
	if unknown := m.GetUnknown(); len(unknown) > 0 {
		t.Errorf("%s has unknown fields: %x", name, unknown)
	}
	m.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		nested := field.Kind() == protoreflect.MessageKind
		switch {
		case field.IsMap():
		case field.IsList() && nested:
			checkFilled(t, name, value.List().Get(0).Message())
		case nested:
			checkFilled(t, name, value.Message())
		case field.IsList():
			if got := value.List().Get(0); !got.Equal(scalar(field)) {
				t.Errorf("%s.%s is %v", name, field.Name(), got)
			}
		case !value.Equal(scalar(field)):
			t.Errorf("%s.%s is %v", name, field.Name(), value)
		}
		return true
	})
}

// frames encodes a message of each type with all fields set, by message name.
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

// fillMessage sets every field, down to the given depth of nested messages.
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

// scalar returns a value for a field that depends on its number and type.
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
