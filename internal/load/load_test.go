package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

const profileText = `
name: test
seed: 7
duration: 10s
classes:
  - {name: lookup, path: /lookups, rate: 50, target: 50ms, rank: 0, worth: 5, serviceTime: 10ms}
  - {name: archive, path: /archive, rate: 20, target: 1s, rank: 7, worth: 1, serviceTime: 40ms,
     flood: {factor: 10, start: 4s, end: 6s}}
`

func testProfile(t *testing.T) Profile {
	t.Helper()
	p, err := ParseProfile([]byte(profileText))
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func arrivalTimes(p Profile, class string, from, to time.Duration) (out []int64) {
	for r := range p.Arrivals() {
		if r.Class == class && r.ArrivalTime() >= from && r.ArrivalTime() < to {
			out = append(out, r.AtUs)
		}
	}
	return out
}

// Guards against a flood at the wrong rate or time, and against arrivals of one class that depend on another class.
func TestArrivals(t *testing.T) {
	p := testProfile(t)
	// The slack is five standard deviations of a Poisson distribution with that mean.
	for _, c := range []struct {
		class    string
		from, to time.Duration
		mean     int
		slack    int
	}{
		{"lookup", 0, 10 * time.Second, 500, 112}, {"archive", 0, 4 * time.Second, 80, 45},
		{"archive", 4 * time.Second, 6 * time.Second, 400, 100}, {"archive", 6 * time.Second, 10 * time.Second, 80, 45},
	} {
		if n := len(arrivalTimes(p, c.class, c.from, c.to)); n < c.mean-c.slack || n > c.mean+c.slack {
			t.Errorf("%s from %s to %s: %d arrivals, want %d±%d", c.class, c.from, c.to, n, c.mean, c.slack)
		}
	}
	before := arrivalTimes(p, "lookup", 0, p.Duration.Std())
	p.Classes[1].Flood = nil
	if !slices.Equal(before, arrivalTimes(p, "lookup", 0, p.Duration.Std())) {
		t.Error("the flood of one class changed the arrivals of another")
	}
}

// Guards against profiles and traces that are accepted although they exceed the limits of a run or contain invalid
// values.
func TestInvalidInput(t *testing.T) {
	for _, change := range [][2]string{
		{"duration: 10s", "duration: 100h"}, {"duration: 10s", "duration: -1s"}, {"rate: 50", "rate: -1"}, {"rate: 50", "rate: .nan"},
		{"rank: 7", "rank: 8"}, {"factor: 10", "factor: 1e9"}, {"start: 4s", "start: 7s"}, {"target: 50ms", "target: 0s"},
		{"path: /lookups", "path: lookups"}, {"seed: 7", "sead: 7"}, {"name: test", "maxInFlight: 99999"},
	} {
		if _, err := ParseProfile([]byte(strings.Replace(profileText, change[0], change[1], 1))); !fault.Is(err, fault.Invalid) {
			t.Errorf("profile with %q: error %v, want kind invalid", change[1], err)
		}
	}
	good := `{"atUs":5,"id":"r0","class":"a","rank":1,"targetUs":1,"timeoutUs":1}` + "\n"
	for _, line := range []string{
		"{", `{"atUs":1,"rank":0,"targetUs":1,"timeoutUs":1}`, `{"atUs":9,"rank":-1,"targetUs":1,"timeoutUs":1}`,
		`{"atUs":9,"targetUs":1,"timeoutUs":0}`, `{"atUs":9,"targetUs":1,"timeoutUs":1,"bodySize":-1}`,
	} {
		if _, err := ReadTrace(strings.NewReader(good + line)); !fault.Is(err, fault.Invalid) {
			t.Errorf("trace line %s: error %v, want kind invalid", line, err)
		}
	}
}

// Guards against a trace that replays different requests than were recorded.
func TestTraceRoundTrip(t *testing.T) {
	want := slices.Collect(testProfile(t).Arrivals())
	var buf bytes.Buffer
	if err := WriteTrace(&buf, want); err != nil {
		t.Fatal(err)
	}
	got, err := ReadTrace(&buf)
	if err != nil {
		t.Fatal(err)
	}
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Error("the trace differs after writing and reading it")
	}
}

func hijack(w http.ResponseWriter, text string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_, _ = io.WriteString(c, text)
		c.Close()
	}
}

// responses maps the first path element to the response of the test server.
var responses = map[string]func(http.ResponseWriter, string){
	"good":    func(w http.ResponseWriter, id string) { fmt.Fprint(w, "ran ", id) },
	"longer":  func(w http.ResponseWriter, id string) { fmt.Fprint(w, "ran ", id, "0") },
	"crossed": func(w http.ResponseWriter, _ string) { fmt.Fprint(w, "ran another") },
	"cut":     func(w http.ResponseWriter, id string) { hijack(w, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"+id) },
	"cutchunk": func(w http.ResponseWriter, _ string) {
		hijack(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab")
	},
	"cuthead": func(w http.ResponseWriter, _ string) { hijack(w, "HTTP/1.1 200 OK\r\nConte") },
	"lost":    func(w http.ResponseWriter, _ string) { hijack(w, "") },
	"failed":  func(w http.ResponseWriter, _ string) { w.Header().Set(headerOrigin, "backend"); w.WriteHeader(500) },
	"refused": func(w http.ResponseWriter, _ string) { writeNodeHeaders(w, "not-run", "queue_full", 503) },
	"unknown": func(w http.ResponseWriter, _ string) { writeNodeHeaders(w, "unknown", "answer_broken", 502) },
	"node":    func(w http.ResponseWriter, _ string) { writeNodeHeaders(w, "", "", 500) },
	"shed":    func(w http.ResponseWriter, _ string) { w.Header().Set(headerNotRun, "1"); w.WriteHeader(503) },
	"moved":   func(w http.ResponseWriter, _ string) { w.Header().Set("Location", "/good"); w.WriteHeader(302) },
}

func writeNodeHeaders(w http.ResponseWriter, outcome, reason string, status int) {
	w.Header().Set(headerOrigin, "node")
	w.Header().Set(headerOutcome, outcome)
	w.Header().Set(headerReason, reason)
	w.WriteHeader(status)
}

// Guards against a response or an error that is counted with the wrong outcome.
func TestClassification(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := strings.Split(r.URL.Path, "/")
		responses[part[1]](w, part[2])
	}))
	defer srv.Close()
	s := newSender([]string{srv.Listener.Addr().String()}, "t", 4)
	defer s.close()
	for path, want := range map[string]Outcome{
		"good": Answered, "longer": Crossed, "crossed": Crossed, "cut": Cut, "cutchunk": Cut, "cuthead": Cut, "lost": Lost,
		"failed": Failed, "refused": Refused, "unknown": Unknown, "node": Unknown, "shed": Refused, "moved": Crossed,
	} {
		r := s.send(context.Background(), 0, Record{ID: "r1", Method: "GET", Path: "/" + path, TimeoutUs: 5e6}, time.Now())
		if r.Outcome != want {
			t.Errorf("%s: outcome %q (reason %q), want %q", path, r.Outcome, r.Reason, want)
		}
	}
	closed := newSender([]string{"127.0.0.1:1"}, "t", 1)
	if r := closed.send(context.Background(), 0, Record{ID: "r1", Method: "GET", Path: "/", TimeoutUs: 5e6}, time.Now()); r.Outcome != Unreachable {
		t.Errorf("closed port: outcome %q, want %q", r.Outcome, Unreachable)
	}
}

// Guards against the automatic retry of http.Transport, which can run a request twice when a pooled connection fails.
func TestNeverResends(t *testing.T) {
	for _, r := range []Record{{Method: "POST", Keyed: true, BodySize: 10}, {Method: "POST", Keyed: true}, {Method: "GET"}} {
		var runs atomic.Int32
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if runs.Add(1) > 1 {
				hijack(w, "")
				return
			}
			fmt.Fprint(w, r.URL.Path)
		}))
		s := newSender([]string{srv.Listener.Addr().String()}, "t", 1)
		r.ID, r.Path, r.TimeoutUs = "r1", "/x", 5e6
		first := s.send(context.Background(), 0, r, time.Now())
		second := s.send(context.Background(), 0, r, time.Now())
		if first.Outcome != Answered || second.Outcome != Lost || runs.Load() != 2 {
			t.Errorf("%s keyed %t body %d: outcomes %q, %q, %d runs; want answered, lost, 2 runs", r.Method, r.Keyed, r.BodySize,
				first.Outcome, second.Outcome, runs.Load())
		}
		s.close()
		srv.Close()
	}
}

// Guards against requests that the report does not count, and against a run that exceeds MaxInFlight: the server
// answers only after the first request was counted as dropped.
func TestRunCountsEveryRequest(t *testing.T) {
	hold := make(chan struct{})
	var once sync.Once
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-hold
		fmt.Fprint(w, r.URL.Path)
	}))
	defer srv.Close()
	var records []Record
	for i := range 20 {
		records = append(records, Record{ID: fmt.Sprint("r", i), Method: "GET", Path: "/x", Rank: i % 2, TargetUs: 1, TimeoutUs: 6e7})
	}
	report := NewReport("", 0)
	Run(context.Background(), slices.Values(records), Options{
		Targets: []string{srv.Listener.Addr().String()}, MaxInFlight: 4, RunID: "t",
		OnFinished: func(r Record) { report.Add(r); once.Do(func() { close(hold) }) },
	})
	report.Finish()
	offered, answered, dropped := 0, 0, 0
	for _, row := range report.Ranks {
		offered += row.Offered
		answered += row.Ends[Answered]
		dropped += row.Ends[Dropped]
	}
	if offered != 20 || answered+dropped != 20 || answered < 4 {
		t.Errorf("offered %d, answered %d, dropped %d; want 20 in all and at least 4 answered", offered, answered, dropped)
	}
}

// Guards against a key that ran on two backend servers and is not counted as doubled.
func TestDoubledCountsOverAllStandins(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `{"keys":{"t-r1":1,"t-r2":2,"other-r3":9}}`)
	}))
	defer srv.Close()
	address := srv.Listener.Addr().String()
	for addresses, want := range map[int]int{1: 1, 2: 2} {
		n, err := CountDoubledKeys(context.Background(), slices.Repeat([]string{address}, addresses), "t")
		if err != nil || n != want {
			t.Errorf("%d addresses: %d doubled keys, error %v; want %d", addresses, n, err, want)
		}
	}
}
