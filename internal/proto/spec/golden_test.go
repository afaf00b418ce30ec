package spec

import (
	"encoding/json"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
)

// goldenTypes are the types of operators' JSON and of the register's value.
var goldenTypes = []any{Cluster{}, Spec{}, Patch{}, Put{}, State{}, PolicyPut{}, Approval{}, Table{}}

// TestJSON compares each type's JSON, with every field filled in, with that of commit
// 7b6c0ec: operators' files and what the register holds on disk must stay readable. A
// new field adds to the file; none may go.
func TestJSON(t *testing.T) {
	raw, err := os.ReadFile("testdata/json.golden")
	if err != nil {
		t.Fatal(err)
	}
	var want map[string]any
	if err := json.Unmarshal(raw, &want); err != nil {
		t.Fatal(err)
	}
	if len(want) != len(goldenTypes) {
		t.Fatalf("%d types in the file, want %d", len(want), len(goldenTypes))
	}
	got := filledTypes(t)
	for name, value := range want {
		contains(t, name, got[name], value)
	}
}

// contains fails where got lacks something of want.
func contains(t *testing.T, path string, got, want any) {
	t.Helper()
	object, ok := want.(map[string]any)
	if !ok {
		list, isList := want.([]any)
		if !isList {
			if !reflect.DeepEqual(got, want) {
				t.Errorf("%s is %v, want %v", path, got, want)
			}
			return
		}
		gotList, _ := got.([]any)
		if len(gotList) != len(list) {
			t.Errorf("%s is %v, want %v", path, got, want)
			return
		}
		for i := range list {
			contains(t, path+"["+strconv.Itoa(i)+"]", gotList[i], list[i])
		}
		return
	}
	gotObject, _ := got.(map[string]any)
	for name, value := range object {
		contains(t, path+"."+name, gotObject[name], value)
	}
}

// filledTypes gives the JSON of a filled value of each type, by the type's name.
func filledTypes(t *testing.T) map[string]any {
	t.Helper()
	out := map[string]any{}
	for _, example := range goldenTypes {
		value := reflect.New(reflect.TypeOf(example))
		fillValue(value.Elem(), "x", 0)
		raw, err := json.Marshal(value.Interface())
		if err != nil {
			t.Fatal(err)
		}
		var generic any
		if err := json.Unmarshal(raw, &generic); err != nil {
			t.Fatal(err)
		}
		out[reflect.TypeOf(example).Name()] = generic
	}
	return out
}

// fillValue sets every exported field; name is that of the field in JSON.
func fillValue(v reflect.Value, name string, depth int) {
	const maxDepth = 8
	if depth > maxDepth {
		return
	}
	if isRawJSON(v.Type()) {
		v.SetBytes([]byte(strconv.Quote(name)))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(name)
	case reflect.Int, reflect.Int32, reflect.Int64:
		v.SetInt(int64(len(name)))
	case reflect.Uint64, reflect.Uint8:
		v.SetUint(uint64(len(name)))
	case reflect.Float64:
		v.SetFloat(float64(len(name)))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillValue(v.Elem(), name, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillValue(v.Index(0), name, depth+1)
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		element := reflect.New(v.Type().Elem()).Elem()
		fillValue(element, name, depth+1)
		v.SetMapIndex(reflect.ValueOf("key").Convert(v.Type().Key()), element)
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			tag, _, _ := strings.Cut(field.Tag.Get("json"), ",")
			if field.IsExported() {
				fillValue(v.Field(i), tag, depth+1)
			}
		}
	}
}

// isRawJSON reports whether a type holds JSON as it came, by any library's name for it.
func isRawJSON(t reflect.Type) bool { return t.Name() == "RawMessage" }
