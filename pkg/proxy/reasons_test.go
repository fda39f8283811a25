package proxy

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against statuses in docs/reasons.md that differ from those that callers receive.
func TestReasonsPageMatchesStatus(t *testing.T) {
	page, err := os.ReadFile("../../docs/reasons.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range metric.Refusals {
		outcome := idempotency.OutcomeUnknown
		if r.NotRun() {
			outcome = idempotency.OutcomeNotRun
		}
		if want := fmt.Sprintf("\n| `%s` | %d |", r, refusalStatusOf(r, outcome)); !strings.Contains(string(page), want) {
			t.Errorf("docs/reasons.md has no row that starts with %q", want)
		}
	}
}
