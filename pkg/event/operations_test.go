package event

import (
	"os"
	"regexp"
	"strconv"
	"testing"
)

// Guards against an operators' page that names an event by a wrong number or name.
func TestOperationsPageNamesEvents(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]string)
	for _, e := range Catalogue() {
		names[strconv.Itoa(e.Number)] = e.Name
	}
	found := regexp.MustCompile("\\b(1[0-9]{3})\\s+`([a-z_]+)`").FindAllStringSubmatch(string(page), -1)
	if len(found) < 40 {
		t.Fatalf("only %d events found on the page", len(found))
	}
	for _, f := range found {
		if names[f[1]] != f[2] {
			t.Errorf("the page calls event %s %q, the code %q", f[1], f[2], names[f[1]])
		}
	}
}
