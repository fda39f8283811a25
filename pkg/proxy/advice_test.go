package proxy

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Guards against a limit that is lifted by one response that was sent before the backend server named it, and against a
// limit that stays in force when the server names none any more.
func TestLimitFollowsTheResponses(t *testing.T) {
	var a advice
	now := time.Unix(100, 0)
	for i, c := range []struct {
		after   time.Duration
		named   float64
		want    float64
		changed bool
	}{
		{0, 0, 0, false},
		{time.Second, 34.5, 34.5, true},
		{time.Millisecond, 0, 34.5, false},
		{limitHold / 2, 34.5, 34.5, false},
		{limitHold / 2, 30, 30, true},
		{limitHold / 2, 0, 30, false},
		{limitHold, 0, 0, true},
		{time.Millisecond, 0, 0, false},
		{time.Millisecond, 12, 12, true},
	} {
		now = now.Add(c.after)
		if limit, changed, _ := a.observe(now, Verdict{RateLimit: c.named}, func(float64) {}); limit != c.want || changed != c.changed {
			t.Errorf("step %d: limit %v, changed %v; want %v, %v", i, limit, changed, c.want, c.changed)
		}
	}
}

// slowGate blocks the first call of SetRate until unblock is closed.
type slowGate struct {
	Gate
	mu               sync.Mutex
	rates            []float64
	entered, unblock chan struct{}
}

func (g *slowGate) SetRate(perSecond float64) {
	g.mu.Lock()
	first := g.entered
	g.entered = nil
	g.mu.Unlock()
	if first != nil {
		close(first)
		<-g.unblock
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rates = append(g.rates, perSecond)
}

func (g *slowGate) Load() Load { return Load{} }

// Guards against an older limit that stays in force when two responses change it at the same moment: the first one is
// delayed between taking its advice and setting the rate of the gate.
func TestNewerLimitStaysInForce(t *testing.T) {
	entered := make(chan struct{})
	g := &slowGate{entered: entered, unblock: make(chan struct{})}
	e := NewEgress(EgressSettings{Gate: g, Metrics: metric.NewSet(), Clock: clock.System{}, Log: zerolog.Nop()})
	var wg sync.WaitGroup
	wg.Go(func() { e.TakeAdvice(Verdict{RateLimit: 10}) })
	<-entered
	second := make(chan struct{})
	wg.Go(func() { e.TakeAdvice(Verdict{RateLimit: 20}); close(second) })
	select {
	case <-second:
	case <-time.After(50 * time.Millisecond): // The second response waits for the first one, as it should.
	}
	close(g.unblock)
	wg.Wait()
	if last := g.rates[len(g.rates)-1]; last != 20 {
		t.Errorf("the gate keeps %v a second after %v, want the limit of the newer response, 20", last, g.rates)
	}
}

// Guards against bytes between nodes that nobody reads: net/http adds a date to each response of a server.
func TestResponsesBetweenNodesCarryNoDate(t *testing.T) {
	e := NewEgress(EgressSettings{Gate: &slowGate{}, Metrics: metric.NewSet(), Clock: clock.System{}, Log: zerolog.Nop()})
	srv := httptest.NewServer(e)
	defer srv.Close()
	resp, err := http.Get(srv.URL)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.Header.Get(HeaderReason) == "" || resp.Header.Get("Date") != "" {
		t.Errorf("headers %v, want a refusal without a date", resp.Header)
	}
}
