package announce

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against an odd announcement of another writer, with numbers out of range or nested deeply, after which the
// announcements of the backend server itself count as outdated, so that its node sends it no more work.
func TestOddAnnouncementsChangeNothing(t *testing.T) {
	clk := &manualClock{now: time.UnixMilli(1781194982017)}
	born := clk.now.UnixMilli()
	ready := func(born int64, sequence uint64) string {
		return fmt.Sprintf(`{"service":"desk","address":"127.0.0.1:81","slots":20,"state":"ready","id":"i-1","born":%d,"sequence":%d}`, born, sequence)
	}
	var changes []membership.Instance
	tracker := newTracker(clk, &changes)
	if code := post(tracker, "127.0.0.1:9", ready(born, 1)); code >= 300 {
		t.Fatalf("status %d", code)
	}
	for name, body := range map[string]string{
		"start in the far future": ready(math.MaxInt64, 1),
		"negative start":          ready(-1, 1),
		"largest sequence":        ready(born, math.MaxUint64),
		"number too large":        strings.Replace(ready(born, 2), `"slots":20`, `"slots":1e400`, 1),
		"slots out of range":      strings.Replace(ready(born, 2), `"slots":20`, `"slots":2147483647`, 1),
		"port out of range":       strings.Replace(ready(born, 2), "127.0.0.1:81", "127.0.0.1:70000", 1),
		"nested deeply":           `{"service":` + strings.Repeat("[", 20000) + strings.Repeat("]", 20000) + `}`,
	} {
		if code := post(tracker, "127.0.0.1:9", body); code < 400 {
			t.Errorf("%s: status %d, want a refusal", name, code)
		}
	}
	clk.now = clk.now.Add(time.Second)
	if code := post(tracker, "127.0.0.1:9", strings.Replace(ready(born, 2), `"slots":20`, `"slots":19`, 1)); code >= 300 {
		t.Errorf("status %d for the next announcement of the backend server", code)
	}
	if in, _ := tracker.Instance(); in.Slots != 19 || in.State != membership.StateReady {
		t.Errorf("%d slots, state %s after the next announcement, want 19 and ready", in.Slots, in.State)
	}
}
