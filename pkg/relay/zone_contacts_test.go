package relay

import (
	"testing"
	"time"
)

// Guards against two halves of a partitioned mesh that both treat their membership as complete, and against a zone that
// counts as in contact only because it appears in the membership.
func TestMajorityInContact(t *testing.T) {
	start := time.Unix(1_000, 0)
	zones := []string{"a", "b", "c", "d"}
	for name, c := range map[string]struct {
		contact []string
		later   time.Duration
		zones   []string
		want    bool
	}{
		"alone in one zone":       {zones: []string{"a"}, want: true},
		"membership only":         {zones: zones, want: false},
		"half":                    {contact: []string{"b"}, zones: zones, want: false},
		"three of four":           {contact: []string{"b", "c"}, zones: zones, want: true},
		"contact too long ago":    {contact: []string{"b", "c"}, later: 11 * time.Second, zones: zones, want: false},
		"one of two":              {zones: []string{"a", "b"}, want: false},
		"zone without membership": {contact: []string{"e"}, zones: zones, want: false},
	} {
		contacts := newZoneContacts("a")
		contacts.unreachable(start, zones)
		for _, z := range c.contact {
			contacts.recordContact(start, z)
		}
		if got := contacts.majorityInContact(start.Add(c.later), c.zones); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}
