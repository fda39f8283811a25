package idempotency

import (
	"context"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// model is a service under a random schedule.
type model struct {
	*world
	t       *rapid.T
	ctx     context.Context
	zones   int
	guard   func(h *host) doer
	seed    int
	calls   sync.WaitGroup
	first   map[string]time.Time
	next    int
	resends int
	cutAt   time.Time

	historyMu sync.Mutex
	history   []porcupine.Operation
}

// chance decides by a hash of what is to be decided, so that the order of goroutines has no say.
func (m *model) chance(percent int, what ...any) bool { return m.draw(100, what...) < percent }

func (m *model) draw(n int, what ...any) int {
	h := fnv.New64a()
	fmt.Fprint(h, m.seed, m.now().UnixNano(), what)
	return int(h.Sum64() >> 33 % uint64(n))
}

func newModel(t *rapid.T, guard func(*host) doer) *model {
	m := &model{world: newWorld(time.Now), t: t, guard: guard, first: make(map[string]time.Time)}
	m.ctx = context.WithValue(context.Background(), virtualTime{}, true)
	m.seed = rapid.IntRange(0, 1<<30).Draw(t, "seed")
	m.zones = rapid.IntRange(1, 4).Draw(t, "zones")
	m.timing.PlatformRate = 1000
	m.timing.PlatformBurst = 1000
	m.timing.Pause = func() time.Duration { return 10*time.Millisecond + time.Duration(m.draw(40, "pause"))*time.Millisecond }
	lostRequests := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lost requests")
	lostAnswers := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lost answers")
	m.fault = func(from *host, to, method string) (bool, bool, time.Duration) {
		delay := time.Duration(m.draw(600, "delay", from.self, to, method)) * time.Millisecond
		return m.chance(lostRequests, "request", from.self, to, method),
			m.chance(lostAnswers, "answer", from.self, to, method), delay
	}
	m.store.lostAnswer = func() bool { return m.chance(lostAnswers, "store", m.store.version, m.store.creates) }
	m.undated = rapid.Bool().Draw(t, "undated")
	lags := rapid.SampledFrom([]int{1, 2000, 29_000}).Draw(t, "lag")
	m.lag = func(h *host, c change) time.Duration {
		f := fnv.New64a()
		fmt.Fprint(f, m.seed, h.self.ID, c.instance.Incarnation, c.departure)
		return time.Duration(f.Sum64()%uint64(lags)) * time.Millisecond
	}
	m.offset = func() time.Duration { return time.Duration(rapid.IntRange(-5, 5).Draw(t, "clock")) * time.Hour }
	for range rapid.IntRange(3, 7).Draw(t, "instances") {
		m.add(time.Now().Add(longAgo))
	}
	return m
}

func (m *model) add(joined time.Time) {
	id := fmt.Sprint("i", m.next)
	m.next++
	m.boot(id, zoneName(rapid.IntRange(0, m.zones-1).Draw(m.t, "zone")), joined)
}

func (m *model) boot(id, zone string, joined time.Time) {
	h := m.join(id, zone, joined)
	if !m.cutAt.IsZero() && len(m.side) > 0 && !m.reachesMost(zone) {
		h.staleFrom = time.Now().Add(-m.stale)
	}
	_ = h.node.Start(m.ctx)
}

// pick draws a live host.
func (m *model) pick() *host {
	var live []string
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		if !m.gone(m.hosts[id]) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return m.hosts[rapid.SampledFrom(live).Draw(m.t, "host")]
}

func (m *model) crash(h *host) {
	m.mu.Lock()
	h.dead = true
	m.mu.Unlock()
	_ = h.node.Stop(m.ctx)
	m.depart(h, false, time.Now())
}

func (m *model) stop(h *host) {
	ctx, cancel := context.WithTimeout(m.ctx, 5*time.Second)
	defer cancel()
	err := h.node.HandOver(ctx)
	m.mu.Lock()
	dead := h.dead
	h.dead = true
	m.mu.Unlock()
	if dead {
		return
	}
	_ = h.node.Stop(m.ctx)
	m.depart(h, err == nil, time.Now())
}

// send sends a key through an ingress to the home that the ingress sees, as a caller does. A key is sent for less
// than its window.
func (m *model) send(ingress *host, slot int) {
	key := fmt.Sprint(slot)
	first, ok := m.first[key]
	if ok && time.Since(first) > 10*time.Minute-10*time.Second {
		return
	}
	if !ok {
		m.first[key] = time.Now()
	} else {
		m.resends++
	}
	target := ingress
	if rapid.IntRange(0, 9).Draw(m.t, "misrouted") > 0 {
		if in, ok := ingress.node.Home(testService, key); ok {
			target = m.hosts[string(in.ID)]
		}
	}
	m.resends++
	request := m.resends
	m.calls.Go(func() {
		call := time.Now()
		out := m.call(ingress, target, key, request)
		m.historyMu.Lock()
		defer m.historyMu.Unlock()
		m.history = append(m.history, porcupine.Operation{ClientId: request, Input: sent{key}, Call: call.UnixNano(),
			Output: out, Return: time.Now().UnixNano()})
	})
}

func (m *model) gone(h *host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.dead
}

// call runs one request at the target. A process that died answers nothing, and runs nothing more.
func (m *model) call(ingress, target *host, key string, request int) seen {
	m.mu.Lock()
	cut := target == nil || target.dead || m.side[ingress.zone] != m.side[target.zone]
	m.mu.Unlock()
	if cut {
		return seen{outcome: OutcomeNotRun}
	}
	var out seen
	ctx, cancel := context.WithTimeout(m.ctx, 4*time.Second)
	defer cancel()
	res := m.guard(target).Do(ctx, Request{Service: testService, Key: key, Window: 10 * time.Minute},
		func(ctx context.Context) Result { return m.backend(ctx, target, request, &out) })
	if out.outcome = res.Outcome; res.Outcome == OutcomeAnswered {
		out.answer = string(res.Answer.Body)
	}
	if m.gone(target) {
		out.outcome, out.answer = OutcomeUnknown, ""
	}
	return out
}

// backend is the backend server: it runs, sheds, or runs and loses its answer.
func (m *model) backend(ctx context.Context, h *host, request int, out *seen) Result {
	if m.gone(h) {
		return unknown(metric.RefusedAnswerBroken)
	}
	if m.chance(5, "shed", request) {
		return notRun(metric.RefusedBackendShed)
	}
	out.ran, out.ranAnswer = true, fmt.Sprint("answer to ", request)
	time.Sleep(time.Duration(m.draw(1500, "service time", request)) * time.Millisecond)
	if ctx.Err() != nil || m.chance(10, "broken", request) {
		return unknown(metric.RefusedAnswerBroken)
	}
	return answered(out.ranAnswer)
}

// step does one thing of the schedule.
func (m *model) step() {
	h := m.pick()
	kind := rapid.IntRange(0, 19).Draw(m.t, "action")
	switch {
	case h == nil || kind == 0:
		m.add(time.Now())
	case kind == 1:
		m.crash(h)
	case kind == 2:
		m.crash(h)
		m.boot(string(h.self.ID), h.zone, time.Now())
	case kind == 3:
		m.calls.Go(func() { m.stop(h) })
	case kind == 4 && h.isolated.IsZero():
		m.isolate(h)
	case kind == 4 || kind == 5:
		for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
			if other := m.hosts[id]; !m.gone(other) && !other.isolated.IsZero() {
				m.reconnect(other)
			}
		}
	case kind == 6 && len(m.side) == 0:
		side := make(map[string]int)
		for z := range m.zones {
			side[zoneName(z)] = rapid.IntRange(0, 1).Draw(m.t, "side")
		}
		side["platform"] = rapid.IntRange(0, 1).Draw(m.t, "platform side")
		m.partition(side)
	case kind == 6 || kind == 7 && len(m.side) > 0:
		m.heal()
	case kind == 8:
		m.store.mu.Lock()
		m.store.down = !m.store.down
		m.store.mu.Unlock()
	default:
		for range rapid.IntRange(1, 3).Draw(m.t, "copies") {
			if via := m.pick(); via != nil {
				m.send(via, rapid.IntRange(0, 4).Draw(m.t, "key"))
			}
		}
	}
}

func (m *model) finish() {
	m.calls.Wait()
	for _, h := range m.hosts {
		if !m.gone(h) {
			_ = h.node.Stop(m.ctx)
		}
	}
}

// playRandom runs one random schedule with a guard and returns whether its history is accepted.
func playRandom(t *rapid.T, guard func(*host) doer) *model {
	m := newModel(t, guard)
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		m.step()
		time.Sleep(rapid.SampledFrom([]time.Duration{0, 0, 300 * time.Millisecond, 4 * time.Second, 12 * time.Second,
			31 * time.Second, 100 * time.Second}).Draw(t, "wait"))
	}
	m.finish()
	return m
}

// isolate cuts a host off from relays and other hosts. Its relay marks it departed later, unless it reconnects.
func (m *model) isolate(h *host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.isolated = m.now()
	m.changes = append(m.changes, change{instance: m.instance(string(h.self.ID), h.zone, h.self.Incarnation),
		at: h.isolated.Add(m.stale), departure: true})
}

// reconnect ends the isolation of a host. One that was marked departed announces itself with a new incarnation.
func (m *model) reconnect(h *host) {
	m.mu.Lock()
	now := m.now()
	if now.Sub(h.isolated) >= m.stale {
		m.nextInc++
		h.self.Incarnation, h.started = m.nextInc, now
		m.changes = append(m.changes, change{instance: m.instance(string(h.self.ID), h.zone, m.nextInc), at: now})
	}
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return c.departure && c.at.After(now) })
	h.isolated = time.Time{}
	m.mu.Unlock()
	m.notify()
}

// partition puts zones on sides. Hosts on a side without most zones no longer learn of the others' changes.
func (m *model) partition(side map[string]int) {
	m.mu.Lock()
	m.side, m.cutAt = side, m.now()
	for _, h := range m.hosts {
		if h.staleFrom.IsZero() && !m.reachesMost(h.zone) {
			h.staleFrom = m.cutAt
		}
	}
	m.mu.Unlock()
	m.notify()
}

func (m *model) reachesMost(zone string) bool {
	reached := 0
	for z := range m.zones {
		if m.side[zoneName(z)] == m.side[zone] {
			reached++
		}
	}
	return 2*reached > m.zones
}

func zoneName(i int) string { return string(rune('a' + i)) }

// heal ends the partition. Joins on a side without most zones count from now.
func (m *model) heal() {
	m.mu.Lock()
	now := m.now()
	for i, c := range m.changes {
		if !c.departure && c.at.After(m.cutAt) && !m.reachesMost(c.instance.AvailabilityZone) {
			m.changes[i].at = now
		}
	}
	m.side = make(map[string]int)
	for _, h := range m.hosts {
		if !h.staleFrom.IsZero() {
			h.staleFrom, h.started = time.Time{}, now
		}
	}
	m.mu.Unlock()
	m.notify()
}
