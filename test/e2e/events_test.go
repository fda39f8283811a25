package e2e

import (
	"strings"
	"testing"
)

// Guards against requests that fail while the platform is down, and against nodes that do not log the outage or their
// own drain. The documentation for operators relies on these log events.
func TestNodeLogsOutageAndDrain(t *testing.T) {
	t.Parallel()
	m := nairobi(t, "westlands")
	m.platformStandin.kill()
	m.eventually("a failed platform call on a node", func() bool {
		for _, in := range m.instances {
			var counters map[string]struct{ Count int }
			if getJSON("http://"+in.admin+"/metrics", &counters) == nil && counters["platform.failed.unavailable"].Count > 0 {
				return true
			}
		}
		return false
	})
	logs := ""
	for _, in := range m.instances {
		if resp := call(in.callers, "GET", "/capsules/1", "", ""); !resp.succeeded() {
			t.Errorf("request during the outage: got %+v, want a success", resp)
		}
	}
	for _, in := range m.instances {
		in.node.stop(t)
		logs += in.node.log.String()
	}
	for _, name := range []string{"platform_unavailable", "drain_started", "drain_ended"} {
		if !strings.Contains(logs, `"name":"`+name+`"`) {
			t.Errorf("no node logged %s", name)
		}
	}
}
