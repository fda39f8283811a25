package metric

import (
	"os"
	"path/filepath"
	"regexp"
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

// Guards against an operators' page that names a counter that no code counts. Counters made up of a prefix and a kind
// are looked up by their prefix.
func TestOperationsPageNamesCounters(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	known := NewSet().Snapshot()
	source := readSources(t)
	counters := regexp.MustCompile("`((?:refused|retry|relay|sync|config|platform|control)\\.[a-z_.]+)`").FindAllStringSubmatch(string(page), -1)
	if len(counters) < 20 {
		t.Fatalf("only %d counters found on the page", len(counters))
	}
	for _, c := range counters {
		name := c[1]
		_, ok := known[name]
		prefix, last := name[:strings.LastIndex(name, ".")+1], name[strings.LastIndex(name, ".")+1:]
		if !ok && !strings.Contains(source, `"`+name+`"`) && !(strings.Contains(source, `"`+prefix+`"`) && strings.Contains(source, `"`+last+`"`)) {
			t.Errorf("no code counts %s", name)
		}
	}
}

// readSources returns the code of all packages without their tests.
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
