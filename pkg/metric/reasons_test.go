package metric

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// tableRows returns the cells of the table rows under a heading of docs/reasons.md.
func tableRows(t *testing.T, heading string) (rows [][]string) {
	t.Helper()
	data, err := os.ReadFile("../../docs/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(data), "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("no section %s", heading)
	}
	section, _, _ = strings.Cut(section, "\n## ")
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			cells := strings.Split(strings.Trim(line, "| \n"), " | ")
			cells[0] = strings.Trim(cells[0], "`")
			rows = append(rows, cells)
		}
	}
	return rows
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// Guards against a reason that callers and operators cannot look up, and against a page that calls a request not run
// when it may have run.
func TestReasonsPageMatchesLists(t *testing.T) {
	var refusals []Refusal
	for _, row := range tableRows(t, "Refusals") {
		r := Refusal(row[0])
		refusals = append(refusals, r)
		if len(row) != 5 || row[2] != yesNo(r.NotRun()) || row[3] == "" || row[4] == "" {
			t.Errorf("%q: not run is %s, and each cell must be filled", row, yesNo(r.NotRun()))
		}
	}
	if !slices.Equal(refusals, Refusals) {
		t.Errorf("the page lists %q, the code %q", refusals, Refusals)
	}
	var retries []Retry
	for _, row := range tableRows(t, "Retries") {
		retries = append(retries, Retry(row[0]))
		if len(row) != 3 || row[1] != yesNo(!strings.HasPrefix(row[0], "denied_")) || row[2] == "" {
			t.Errorf("%q: a denied retry is not sent again, and each cell must be filled", row)
		}
	}
	if !slices.Equal(retries, Retries) {
		t.Errorf("the page lists %q, the code %q", retries, Retries)
	}
}
