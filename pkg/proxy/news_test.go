package proxy

import (
	"net/http"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/idempotency"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against reports that reach other nodes changed, whatever the names of the instances, and against header values
// that contain control characters.
func TestNewsSurvivesTheHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var news []balance.News
		for range rapid.IntRange(1, maxNews).Draw(t, "reports") {
			n := balance.News{ID: membership.InstanceID(rapid.StringMatching(`[a-z0-9 %é\n.-]{1,12}`).Draw(t, "id")), Age: time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond}
			n.Load = balance.Load{InUse: rapid.IntRange(0, 99).Draw(t, "used"), Limit: rapid.IntRange(0, 99).Draw(t, "limit"), ByRank: true,
				SlotTime: time.Duration(rapid.IntRange(0, 1e7).Draw(t, "slot time")) * time.Microsecond,
				LinkWait: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "link wait")) * time.Microsecond}
			for r := range n.Load.Waiting {
				n.Load.Waiting[r] = rapid.IntRange(0, 2).Draw(t, "waiting")
				n.Load.Queued += n.Load.Waiting[r]
			}
			news = append(news, n)
		}
		value := string(formatNews(nil, news))
		for i := range len(value) {
			if value[i] < ' ' || value[i] > '~' {
				t.Fatalf("header value %q", value)
			}
		}
		if got := parseNews(value); !reflect.DeepEqual(got, news) {
			t.Fatalf("%+v became %+v", news, got)
		}
	})
}

// Guards against reports from another version or with wrong numbers that are taken for loads, or that end the exchange.
func TestMalformedNewsIsLeftOut(t *testing.T) {
	for value, want := range map[string]int{"": 0, "-": 0, "i1": 0, "i1=": 0, "i1=1/2/3/4": 0, "i1=1/2/3/-4/5": 0, "i1=1/2/3/99999999999/5": 0, "i1=a/2/3/4/5": 0,
		"i1=1/2/3/4/5/1/1/1/1/1/1/1/1/1": 0, "i1=1/2/3/4/5;;i2=1/2/3/4/5/6": 2} {
		if got := parseNews(value); len(got) != want {
			t.Errorf("%q: %d reports, want %d", value, len(got), want)
		}
	}
	rep := &reply{load: &balance.Load{InUse: 3}}
	if news := rep.takeNews("1/2/3/4"); news != nil || rep.load.InUse != 3 || rep.routeTime != 0 {
		t.Error("a malformed report has replaced the load of the response")
	}
}

// Guards against waiting requests that are not reported, and against counts that stay when a wait ends.
func TestWaitingRequestsAreReportedByRank(t *testing.T) {
	var times slotTimes
	times.waiting[2].Add(3)
	times.observe("lookup", 100*time.Millisecond)
	times.observe("lookup", 260*time.Millisecond)
	times.sent(time.Unix(0, 0), 1500, 12)
	times.sent(time.Unix(0, 0), 1500, 12)
	l := times.complete(time.Unix(0, 0).Add(500*time.Microsecond), Load{InUse: 6, Limit: 6, Queued: 3})
	if l.LinkWait != 1500*time.Microsecond {
		t.Errorf("the link is busy for %s, want 1.5 ms", l.LinkWait)
	}
	if l.Waiting[2] != 3 || l.SlotTime != 110*time.Millisecond || times.route("lookup") != 110*time.Millisecond || times.route("order") != 0 {
		t.Errorf("%+v", l)
	}
}

// Guards against bytes between zones that no counter shows.
func TestTrafficIsCountedByRelation(t *testing.T) {
	m := metric.NewSet()
	z := newZoneTraffic(m)
	z.count(balance.LeftForTarget, &call{body: make([]byte, 20)}, &reply{outcome: idempotency.OutcomeAnswered, status: http.StatusOK, body: make([]byte, 10), length: 90_000})
	got := m.Snapshot()
	if got["zone.attempts.target"] != 1 || got["zone.request_bytes.target"] != 20 || got["zone.response_bytes.target"] != 90_000 || got["zone.attempts.in_zone"] != 0 {
		t.Errorf("%v", got)
	}
}

// Guards against nodes that know an instance's load only from their own requests: a node learns from the request of another
// node what that one knows.
func TestNodesTellEachOtherLoads(t *testing.T) {
	m := newMesh(t, "desk", "desk", "office")
	for _, n := range m.nodes {
		s := n.in.IngressSettings
		s.Picker = balance.New(balance.Settings{AvailabilityZone: "a", Self: n.id, Completion: balance.Completion{MaxSlots: 20, Spread: 1000}})
		n.in = NewIngress(s)
	}
	// With so wide a spread both instances get requests, however long the first answer of one takes.
	knows := func(n *node, id membership.InstanceID) bool {
		for _, known := range n.in.selector.tell(time.Now(), "desk") {
			if known.ID == id {
				return true
			}
		}
		return false
	}
	m.nodes[0].in.selector.loadInstances(time.Now(), "desk")
	learned := false
	for range 200 {
		if res := m.nodes[2].get("/lookups"); res.status != http.StatusOK {
			t.Fatalf("status %d", res.status)
		}
		if learned = knows(m.nodes[0], "i1"); learned {
			break
		}
	}
	if !learned {
		t.Error("a node has not learned the load of an instance from another node's requests")
	}
}
