package announce

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

type manualClock struct{ now time.Time }

func (m *manualClock) Now() time.Time { return m.now }

func newTracker(clk *manualClock, changes *[]membership.Instance) *BackendTracker {
	return New(Settings{Instance: membership.Instance{ID: "i1", Incarnation: 7}, Backend: netip.MustParseAddr("10.0.0.5"),
		Clock: clk, Log: zerolog.Nop(), OnChange: func(in membership.Instance) { *changes = append(*changes, in) }})
}

const readyJSON = `{"service":"desk","address":"127.0.0.1:81","slots":20,"state":"ready"}`

func post(tracker *BackendTracker, remote, body string) int {
	r := httptest.NewRequest(http.MethodPost, "/v1/announce", strings.NewReader(body))
	r.RemoteAddr = remote
	w := httptest.NewRecorder()
	tracker.ServeHTTP(w, r)
	return w.Code
}

// Guards against announcements from another VM and malformed announcements that change the instance record.
func TestAnnouncementsAreValidated(t *testing.T) {
	replace := func(old, new string) string { return strings.Replace(readyJSON, old, new, 1) }
	for name, c := range map[string]struct {
		remote, body string
		want         int
	}{
		"loopback":        {"127.0.0.1:5", readyJSON, http.StatusNoContent},
		"mapped loopback": {"[::ffff:127.0.0.1]:5", readyJSON, http.StatusNoContent},
		"configured":      {"10.0.0.5:5", replace("127.0.0.1", "10.0.0.5"), http.StatusNoContent},
		"other VM":        {"10.0.0.6:5", readyJSON, http.StatusForbidden},
		"other address":   {"127.0.0.1:5", replace("127.0.0.1", "10.0.0.6"), http.StatusBadRequest},
		"no port":         {"127.0.0.1:5", replace(":81", ""), http.StatusBadRequest},
		"no slots":        {"127.0.0.1:5", replace("20", "0"), http.StatusBadRequest},
		"bad state":       {"127.0.0.1:5", replace("ready", "fine"), http.StatusBadRequest},
		"bad service":     {"127.0.0.1:5", replace("desk", "De sk"), http.StatusBadRequest},
		"unknown field":   {"127.0.0.1:5", replace(`"slots"`, `"slot"`), http.StatusBadRequest},
		"no JSON":         {"127.0.0.1:5", "x", http.StatusBadRequest},
		"oversized":       {"127.0.0.1:5", replace("desk", strings.Repeat("a", 5000)), http.StatusBadRequest},
	} {
		var changes []membership.Instance
		tracker := newTracker(&manualClock{time.Unix(10, 0)}, &changes)
		if got := post(tracker, c.remote, c.body); got != c.want || (len(changes) == 1) != (c.want == http.StatusNoContent) {
			t.Errorf("%s: status %d with %d changes, want %d", name, got, len(changes), c.want)
		}
	}
}

// Guards against a backend server that gets no work because its service has a name that release notes do not allow, though
// the platform has given the service that name.
func TestServiceOfTheSettingsIsValid(t *testing.T) {
	for _, service := range []string{"De sk", "Desk_" + strings.Repeat("x", 100), "büro"} {
		tracker := New(Settings{Instance: membership.Instance{ID: "i1", Service: service, Incarnation: 7}, Clock: &manualClock{time.Unix(10, 0)}, Log: zerolog.Nop()})
		code := post(tracker, "127.0.0.1:5", strings.Replace(readyJSON, "desk", service, 1))
		if in, _ := tracker.Instance(); code != http.StatusNoContent || in.State != membership.StateReady {
			t.Errorf("service %.20q: status %d, state %s", service, code, in.State)
		}
	}
	tracker := New(Settings{Instance: membership.Instance{ID: "i1", Incarnation: 7}, Clock: &manualClock{time.Unix(10, 0)}, Log: zerolog.Nop()})
	if code := post(tracker, "127.0.0.1:5", strings.Replace(readyJSON, "desk", "", 1)); code != http.StatusBadRequest {
		t.Errorf("no service: status %d, want a refusal", code)
	}
}

// Guards against new requests for a backend server that drains, has departed or has stopped announcing itself, against
// changed records that do not supersede older ones, and against a repeated announcement that counts as a change.
func TestLifecycle(t *testing.T) {
	clk := &manualClock{time.Unix(10, 0)}
	var changes []membership.Instance
	tracker := newTracker(clk, &changes)
	for i, c := range []struct {
		state  string
		wait   time.Duration
		status int
		want   membership.State
		seq    uint64
		inc    uint64
	}{
		{"ready", 0, 204, membership.StateReady, 1, 7},
		{"ready", 2 * time.Second, 204, membership.StateReady, 1, 7},
		{"", 2 * time.Second, 0, membership.StateReady, 1, 7},
		{"", time.Second, 0, membership.StateStarting, 2, 7},
		{"ready", 0, 204, membership.StateReady, 3, 7},
		{"draining", 0, 204, membership.StateDraining, 4, 7},
		{"ready", 0, 409, membership.StateDraining, 4, 7},
		{"departed", 0, 204, membership.StateDeparted, 5, 7},
		{"ready", 0, 204, membership.StateReady, 6, 8},
	} {
		clk.now = clk.now.Add(c.wait)
		tracker.Expire(clk.now)
		if c.state != "" {
			if got := post(tracker, "127.0.0.1:5", strings.Replace(readyJSON, "ready", c.state, 1)); got != c.status {
				t.Errorf("step %d: status %d, want %d", i, got, c.status)
			}
		}
		rec, addr := tracker.Instance()
		if rec.State != c.want || rec.Sequence != c.seq || rec.Incarnation != c.inc || addr != "127.0.0.1:81" {
			t.Errorf("step %d: %+v at %s, want state %d, sequence %d, incarnation %d", i, rec, addr, c.want, c.seq, c.inc)
		}
	}
	if len(changes) != 6 {
		t.Errorf("OnChange was called %d times, want 6", len(changes))
	}
	if got := post(tracker, "127.0.0.1:5", strings.Replace(readyJSON, "desk", "office", 1)); got != 409 {
		t.Errorf("announcement of a second service on the node: status %d, want 409", got)
	}
}

// Guards against a mismatch between the announcements that the backend stand-in sends and those that a node accepts.
func TestStandinAnnouncementsAreAccepted(t *testing.T) {
	var changes []membership.Instance
	tracker := newTracker(&manualClock{time.Unix(10, 0)}, &changes)
	web := httptest.NewServer(tracker)
	defer web.Close()
	b := backend.New(backend.Settings{Service: "desk", Address: "127.0.0.1:81", Slots: 7, NodeAdmin: web.Listener.Addr().String()})
	defer b.Close()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { b.Announce(ctx); close(done) }()
	awaitState := func(want membership.State) {
		for rec, _ := tracker.Instance(); rec.State != want || rec.Slots != 7; rec, _ = tracker.Instance() {
			time.Sleep(time.Millisecond)
		}
	}
	awaitState(membership.StateReady)
	b.Drain()
	awaitState(membership.StateDraining)
	cancel()
	<-done
	if err := b.Depart(context.Background()); err != nil {
		t.Error(err)
	}
	awaitState(membership.StateDeparted)
}
