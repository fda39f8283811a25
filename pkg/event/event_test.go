package event

import (
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"
)

// Checks that the table in docs/events.md lists exactly the events that the code defines, and that no number is used
// twice.
func TestCatalogueMatchesDocs(t *testing.T) {
	page, err := os.ReadFile("../../docs/events.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := make(map[string]bool)
	row := regexp.MustCompile(`(?m)^\| \d+ \| .*$`)
	for _, line := range row.FindAllString(string(page), -1) {
		documented[line] = true
	}
	seen := make(map[int]string)
	for _, e := range Catalogue() {
		if other, ok := seen[e.Number]; ok {
			t.Errorf("events %s and %s share number %d", e.Name, other, e.Number)
		}
		seen[e.Number] = e.Name
		want := tableRow(e)
		if !documented[want] {
			t.Errorf("docs/events.md has no row for the event; want:\n%s", want)
		}
		delete(documented, want)
	}
	for line := range documented {
		t.Errorf("docs/events.md has a row that matches no event:\n%s", strings.TrimSpace(line))
	}
}

// tableRow returns the table row of an event in docs/events.md.
func tableRow(e Event) string {
	action := e.Action
	if action == "" {
		action = "None."
	}
	return fmt.Sprintf("| %d | `%s` | %s | %s | %s |", e.Number, e.Name, e.Level, e.Text, action)
}
