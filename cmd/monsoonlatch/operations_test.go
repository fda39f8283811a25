package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// Guards against documented commands that the tool does not accept, or that name a missing file under examples/.
func TestDocumentedCommandsParse(t *testing.T) {
	found := 0
	for _, page := range []string{"docs/OPERATIONS.md", "README.md"} {
		text, err := os.ReadFile(filepath.Join("../..", page))
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`(?m)^(?:bin/)?monsoonlatch ((?:note|nodes|services|rollout|explain|tenants)\b.*)$`).FindAllStringSubmatch(string(text), -1) {
			found++
			args := strings.Fields(m[1])
			parser, err := kong.New(&cli{})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := parser.Parse(args); err != nil {
				t.Errorf("%s: monsoonlatch %s: %v", page, m[1], err)
			}
			for _, a := range args {
				if _, err := os.Stat("../../" + a); strings.HasPrefix(a, "examples/") && err != nil {
					t.Errorf("%s: %v", page, err)
				}
			}
		}
	}
	if found < 10 {
		t.Errorf("only %d commands found", found)
	}
}
