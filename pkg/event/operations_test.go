package event

import (
	"os"
	"regexp"
	"strconv"
	"testing"
)

// Checks that docs/OPERATIONS.md refers to each event by its right number and name.
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
		t.Fatalf("found %d events in docs/OPERATIONS.md, want at least 40", len(found))
	}
	for _, f := range found {
		if names[f[1]] != f[2] {
			t.Errorf("docs/OPERATIONS.md names event %s %q, the code names it %q", f[1], f[2], names[f[1]])
		}
	}
}
