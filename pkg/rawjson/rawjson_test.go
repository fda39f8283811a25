package rawjson

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
)

// Guards against members that are cut or merged at brackets, quotes and commas inside strings, and against text that is
// read although it is no object or array.
func TestMembers(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	got, err := Object([]byte(` { "a" : 1e400, "b\"}":"x,]}\\", "c":[{"d":[]}, null],"deep":` + deep + `, "a": -2 } `))
	if err != nil || len(got) != 4 || string(got["a"]) != "-2" || string(got[`b"}`]) != `"x,]}\\"` || string(got["c"]) != `[{"d":[]}, null]` || string(got["deep"]) != deep {
		t.Errorf("%d members, error %v", len(got), err)
	}
	list, err := Array([]byte("[\"a\" ,\n" + deep + ",{}, true]"))
	if err != nil || len(list) != 4 || string(list[0]) != `"a"` || string(list[1]) != deep || string(list[3]) != "true" {
		t.Errorf("%d elements, error %v", len(list), err)
	}
	for _, s := range []string{"", " ", "1", `"a"`, "{", "}", "[", `{"a"}`, `{"a":}`, `{"a":1 "b":2}`, `[1 2]`, `["a]`, `[,]`, `["\`, `[[}]]]`} {
		_, errObject := Object([]byte(s))
		_, errArray := Array([]byte(s))
		if errObject == nil || errArray == nil {
			t.Errorf("%q is read: object error %v, array error %v", s, errObject, errArray)
		}
	}
}

// Guards against a panic or a lost member on any text: what encoding/json reads must be split into the same members.
func FuzzMembers(f *testing.F) {
	for _, s := range []string{`{}`, `[]`, `{"a":[1,{"b":"\""}],"c":1e400}`, `[{"a":1},"x,]",null]`, `{"a":"\u0000"} `, "[\xff]", `{"":{"":[]}}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		object, errObject := Object(data)
		list, errArray := Array(data)
		var wantObject map[string]json.RawMessage
		if json.Unmarshal(data, &wantObject) == nil && wantObject != nil {
			if errObject != nil || len(object) != len(wantObject) {
				t.Fatalf("%q: %d members, error %v, want %d", data, len(object), errObject, len(wantObject))
			}
			for name, want := range wantObject {
				if !bytes.Equal(object[name], want) {
					t.Fatalf("%q: member %q is %q, want %q", data, name, object[name], want)
				}
			}
		}
		var wantList []json.RawMessage
		if json.Unmarshal(data, &wantList) == nil && wantList != nil && (errArray != nil || len(list) != len(wantList)) {
			t.Fatalf("%q: %d elements, error %v, want %d", data, len(list), errArray, len(wantList))
		}
	})
}
