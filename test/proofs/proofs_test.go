// Package proofs checks that the tests and traces that docs/PROOFS.md names exist.
package proofs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../.."

var (
	testDeclaration = regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	codeSpan        = regexp.MustCompile("`([^`\\s]+)`")
)

// Guards against references in docs/PROOFS.md to tests or traces that have been renamed or removed.
func TestProofsNameExistingTestsAndTraces(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	tests, named := declaredTests(t), 0
	for _, m := range codeSpan.FindAllStringSubmatch(string(page), -1) {
		name := m[1]
		switch {
		case strings.HasPrefix(name, "Test"):
			named++
			if !tests[name] {
				t.Errorf("docs/PROOFS.md names %s, but no test has that name", name)
			}
		case strings.Contains(name, "testdata/"):
			if _, err := os.Stat(filepath.Join(root, name)); err != nil {
				t.Errorf("trace named in docs/PROOFS.md: %v", err)
			}
		}
	}
	if named == 0 {
		t.Error("docs/PROOFS.md names no test")
	}
	for point := '1'; point <= '9'; point++ {
		if !strings.Contains(string(page), "\n| "+string(point)+". ") {
			t.Errorf("docs/PROOFS.md has no row for point %c", point)
		}
	}
}

// declaredTests returns the names of the test functions in the repository.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	tests := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range testDeclaration.FindAllSubmatch(text, -1) {
			tests[string(m[1])] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}
