package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against a refusal of a call that the calling node takes for the response to another one: its caller would be told
// that the outcome is unknown though the call has not run.
func TestRefusalOfACallNamesIt(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/deposits", nil)
	r.Header.Set(HeaderRequestID, "call-1")
	w := httptest.NewRecorder()
	RefuseCall(w, r, metric.RefusedHeadMemory)
	if got := w.Header().Get(HeaderRequestID); got != "call-1" || w.Code != http.StatusServiceUnavailable || w.Header().Get(HeaderOutcome) != "not-run" {
		t.Errorf("status %d, ID %q, outcome %q", w.Code, got, w.Header().Get(HeaderOutcome))
	}
}
