package metric

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// tableRows returns the cells of the table rows in a section of docs/reasons.md. The first cell comes without
// backquotes.
func tableRows(t *testing.T, heading string) (rows [][]string) {
	t.Helper()
	data, err := os.ReadFile("../../docs/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, ok := strings.Cut(string(data), "\n## "+heading+"\n")
	if !ok {
		t.Fatalf("docs/reasons.md has no section %s", heading)
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

// Checks that docs/reasons.md describes every reason, so that callers and operators can look it up, and that its "not
// run" column agrees with the code: a caller that trusts a wrong "yes" would send a request again that may have run.
func TestReasonsPageMatchesLists(t *testing.T) {
	var refusals []Refusal
	for _, row := range tableRows(t, "Refusals") {
		r := Refusal(row[0])
		refusals = append(refusals, r)
		if len(row) != 5 || row[2] != yesNo(r.NotRun()) || row[3] == "" || row[4] == "" {
			t.Errorf("row %q: want %s in column \"not run\" and no empty cell", row, yesNo(r.NotRun()))
		}
	}
	if !slices.Equal(refusals, Refusals) {
		t.Errorf("docs/reasons.md lists refusals %q, the code lists %q", refusals, Refusals)
	}
	var retries []Retry
	for _, row := range tableRows(t, "Retries") {
		retries = append(retries, Retry(row[0]))
		if len(row) != 3 || row[1] != yesNo(!strings.HasPrefix(row[0], "denied_")) || row[2] == "" {
			t.Errorf("row %q: want \"no\" in column \"sent again\" exactly for denied retries, and no empty cell", row)
		}
	}
	if !slices.Equal(retries, Retries) {
		t.Errorf("docs/reasons.md lists retries %q, the code lists %q", retries, Retries)
	}
	var hedges []Hedge
	for _, row := range tableRows(t, "Second requests") {
		hedges = append(hedges, Hedge(row[0]))
		if len(row) != 2 || row[1] == "" {
			t.Errorf("row %q: want a meaning", row)
		}
	}
	if !slices.Equal(hedges, Hedges) {
		t.Errorf("docs/reasons.md lists second requests %q, the code lists %q", hedges, Hedges)
	}
}

// Checks that the code increments every counter that docs/OPERATIONS.md names. If a counter's name is put together at
// run time, its prefix and its last part must both appear in the code as string literals.
func TestOperationsPageNamesCounters(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	known := NewSet().Snapshot()
	source := readSources(t)
	counters := regexp.MustCompile("`((?:refused|retry|relay|sync|config|platform|control|quota)\\.[a-z_.]+)`").FindAllStringSubmatch(string(page), -1)
	if len(counters) < 20 {
		t.Fatalf("found %d counters in docs/OPERATIONS.md, want at least 20", len(counters))
	}
	for _, c := range counters {
		name := c[1]
		_, ok := known[name]
		prefix, last := name[:strings.LastIndex(name, ".")+1], name[strings.LastIndex(name, ".")+1:]
		if !ok && !strings.Contains(source, `"`+name+`"`) && !(strings.Contains(source, `"`+prefix+`"`) && strings.Contains(source, `"`+last+`"`)) {
			t.Errorf("docs/OPERATIONS.md names counter %s, which the code does not increment", name)
		}
	}
}

// readSources returns the source of all packages under pkg without their tests.
func readSources(t *testing.T) string {
	t.Helper()
	files, err := filepath.Glob("../*/*.go")
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, f := range files {
		if strings.HasSuffix(f, "_test.go") {
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		all.Write(data)
	}
	return all.String()
}
