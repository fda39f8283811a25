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

// randomSimulation is a simulated service under a random schedule of faults and requests.
type randomSimulation struct {
	*simulation
	t     *rapid.T
	ctx   context.Context
	zones int
	guard func(h *host) doer
	seed  int
	calls sync.WaitGroup
	// firstSent holds when each key was first sent.
	firstSent     map[string]time.Time
	hostCount     int
	lastRequest   int
	partitionedAt time.Time

	historyMu sync.Mutex
	history   []porcupine.Operation
}

// happens is true in the given percentage of cases. It depends on a hash of the seed, the time and what only, so that
// the order in which goroutines run does not matter.
func (m *randomSimulation) happens(percent int, what ...any) bool {
	return m.draw(100, what...) < percent
}

// draw returns a number below n that depends on a hash of the seed, the time and what only.
func (m *randomSimulation) draw(n int, what ...any) int {
	h := fnv.New64a()
	fmt.Fprint(h, m.seed, m.now().UnixNano(), what)
	return int(h.Sum64() >> 33 % uint64(n))
}

// newRandomSimulation draws how often messages are lost and how late hosts learn of changes, and starts the first
// hosts. guard returns the guard that handles the requests at a host.
func newRandomSimulation(t *rapid.T, guard func(*host) doer) *randomSimulation {
	m := &randomSimulation{simulation: newSimulation(time.Now), t: t, guard: guard, firstSent: make(map[string]time.Time)}
	m.ctx = context.WithValue(context.Background(), virtualTimeKey{}, true)
	m.seed = rapid.IntRange(0, 1<<30).Draw(t, "seed")
	m.zones = rapid.IntRange(1, 4).Draw(t, "zones")
	m.nodeOptions.PlatformRate = 1000
	m.nodeOptions.PlatformBurst = 1000
	m.nodeOptions.RetryDelay = func() time.Duration {
		return 10*time.Millisecond + time.Duration(m.draw(40, "pause"))*time.Millisecond
	}
	lostRequests := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lost requests")
	lostReplies := rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "lost replies")
	m.fault = func(from *host, to, method string) (bool, bool, time.Duration) {
		delay := time.Duration(m.draw(600, "delay", from.self, to, method)) * time.Millisecond
		return m.happens(lostRequests, "request", from.self, to, method),
			m.happens(lostReplies, "answer", from.self, to, method), delay
	}
	m.store.lostReply = func() bool { return m.happens(lostReplies, "store", m.store.version, m.store.creates) }
	m.agesUnknown = rapid.Bool().Draw(t, "ages unknown")
	maxLagMillis := rapid.SampledFrom([]int{1, 2000, 29_000}).Draw(t, "lag")
	m.learnDelay = func(h *host, c change) time.Duration {
		f := fnv.New64a()
		fmt.Fprint(f, m.seed, h.self.ID, c.instance.Incarnation, c.departure)
		return time.Duration(f.Sum64()%uint64(maxLagMillis)) * time.Millisecond
	}
	m.newClockOffset = func() time.Duration { return time.Duration(rapid.IntRange(-5, 5).Draw(t, "clock")) * time.Hour }
	for range rapid.IntRange(3, 7).Draw(t, "instances") {
		m.add(time.Now().Add(longAgo))
	}
	return m
}

// add starts a host with a new ID in a random zone.
func (m *randomSimulation) add(joined time.Time) {
	id := fmt.Sprint("i", m.hostCount)
	m.hostCount++
	m.startHost(id, zoneName(rapid.IntRange(0, m.zones-1).Draw(m.t, "zone")), joined)
}

// startHost starts a host. One that starts on the side of a partition without most zones has a stale membership at
// once.
func (m *randomSimulation) startHost(id, zone string, joined time.Time) {
	h := m.join(id, zone, joined)
	if !m.partitionedAt.IsZero() && len(m.partitionSide) > 0 && !m.reachesMostZones(zone) {
		h.minoritySince = time.Now().Add(-m.staleAfter)
	}
	_ = h.node.Start(m.ctx)
}

// pickLive draws a live host, or returns nil if there is none.
func (m *randomSimulation) pickLive() *host {
	var live []string
	for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
		if !m.isDead(m.hosts[id]) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return nil
	}
	return m.hosts[rapid.SampledFrom(live).Draw(m.t, "host")]
}

// crash ends a host without a hand-over.
func (m *randomSimulation) crash(h *host) {
	m.mu.Lock()
	h.dead = true
	m.mu.Unlock()
	_ = h.node.Stop(m.ctx)
	m.depart(h, false, time.Now())
}

// stop stops a host as planned, with a hand-over.
func (m *randomSimulation) stop(h *host) {
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

// send sends a request with a key through an ingress, mostly to the home that the ingress knows. A key is sent again
// only while less than its window has passed since the first request.
func (m *randomSimulation) send(ingress *host, keyNumber int) {
	key := fmt.Sprint(keyNumber)
	first, ok := m.firstSent[key]
	if ok && time.Since(first) > 10*time.Minute-10*time.Second {
		return
	}
	if !ok {
		m.firstSent[key] = time.Now()
	} else {
		m.lastRequest++
	}
	target := ingress
	if rapid.IntRange(0, 9).Draw(m.t, "misrouted") > 0 {
		if in, ok := ingress.node.Home(testService, key); ok {
			target = m.hosts[string(in.ID)]
		}
	}
	m.lastRequest++
	request := m.lastRequest
	m.calls.Go(func() {
		call := time.Now()
		out := m.call(ingress, target, key, request)
		m.historyMu.Lock()
		defer m.historyMu.Unlock()
		m.history = append(m.history, porcupine.Operation{ClientId: request, Input: callInput{key}, Call: call.UnixNano(),
			Output: out, Return: time.Now().UnixNano()})
	})
}

func (m *randomSimulation) isDead(h *host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return h.dead
}

// call sends one request to the target. If the target crashed or stopped before the request ended, the result is lost.
func (m *randomSimulation) call(ingress, target *host, key string, request int) callOutput {
	m.mu.Lock()
	unreachable := target == nil || target.dead || m.partitionSide[ingress.zone] != m.partitionSide[target.zone]
	m.mu.Unlock()
	if unreachable {
		return callOutput{outcome: OutcomeNotRun}
	}
	var out callOutput
	ctx, cancel := context.WithTimeout(m.ctx, 4*time.Second)
	defer cancel()
	res := m.guard(target).Do(ctx, Request{Service: testService, Key: key, Window: 10 * time.Minute},
		func(ctx context.Context) Result { return m.runBackend(ctx, target, request, &out) })
	if out.outcome = res.Outcome; res.Outcome == OutcomeAnswered {
		out.answer = string(res.Answer.Body)
	}
	if m.isDead(target) {
		out.outcome, out.answer = OutcomeUnknown, ""
	}
	return out
}

// runBackend is the backend server: it runs the request, sheds it, or runs it and loses its answer. A dead host runs
// nothing.
func (m *randomSimulation) runBackend(ctx context.Context, h *host, request int, out *callOutput) Result {
	if m.isDead(h) {
		return unknown(metric.RefusedAnswerBroken)
	}
	if m.happens(5, "shed", request) {
		return notRun(metric.RefusedBackendShed)
	}
	out.ran, out.ranAnswer = true, fmt.Sprint("answer to ", request)
	time.Sleep(time.Duration(m.draw(1500, "service time", request)) * time.Millisecond)
	if ctx.Err() != nil || m.happens(10, "broken", request) {
		return unknown(metric.RefusedAnswerBroken)
	}
	return answered(out.ranAnswer)
}

// randomStep does one random step of the schedule.
func (m *randomSimulation) randomStep() {
	h := m.pickLive()
	kind := rapid.IntRange(0, 19).Draw(m.t, "action")
	switch {
	case h == nil || kind == 0:
		m.add(time.Now())
	case kind == 1:
		m.crash(h)
	case kind == 2:
		m.crash(h)
		m.startHost(string(h.self.ID), h.zone, time.Now())
	case kind == 3:
		m.calls.Go(func() { m.stop(h) })
	case kind == 4 && h.isolatedSince.IsZero():
		m.isolate(h)
	case kind == 4 || kind == 5:
		for _, id := range slices.Sorted(maps.Keys(m.hosts)) {
			if other := m.hosts[id]; !m.isDead(other) && !other.isolatedSince.IsZero() {
				m.reconnect(other)
			}
		}
	case kind == 6 && len(m.partitionSide) == 0:
		side := make(map[string]int)
		for z := range m.zones {
			side[zoneName(z)] = rapid.IntRange(0, 1).Draw(m.t, "side")
		}
		side["platform"] = rapid.IntRange(0, 1).Draw(m.t, "platform side")
		m.partition(side)
	case kind == 6 || kind == 7 && len(m.partitionSide) > 0:
		m.heal()
	case kind == 8:
		m.store.mu.Lock()
		m.store.down = !m.store.down
		m.store.mu.Unlock()
	default:
		for range rapid.IntRange(1, 3).Draw(m.t, "copies") {
			if via := m.pickLive(); via != nil {
				m.send(via, rapid.IntRange(0, 4).Draw(m.t, "key"))
			}
		}
	}
}

// finish waits for all requests and stops the remaining hosts.
func (m *randomSimulation) finish() {
	m.calls.Wait()
	for _, h := range m.hosts {
		if !m.isDead(h) {
			_ = h.node.Stop(m.ctx)
		}
	}
}

// runRandomSchedule runs one random schedule with a guard and returns the simulation with its history.
func runRandomSchedule(t *rapid.T, guard func(*host) doer) *randomSimulation {
	m := newRandomSimulation(t, guard)
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		m.randomStep()
		time.Sleep(rapid.SampledFrom([]time.Duration{0, 0, 300 * time.Millisecond, 4 * time.Second, 12 * time.Second,
			31 * time.Second, 100 * time.Second}).Draw(t, "wait"))
	}
	m.finish()
	return m
}

// isolate cuts a host off from relays and other hosts. It is marked as departed when its membership is stale, unless it
// reconnects before.
func (m *randomSimulation) isolate(h *host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.isolatedSince = m.now()
	m.changes = append(m.changes, change{instance: m.instance(string(h.self.ID), h.zone, h.self.Incarnation),
		at: h.isolatedSince.Add(m.staleAfter), departure: true})
}

// reconnect ends the isolation of a host. A host that was marked as departed announces itself with a new incarnation.
func (m *randomSimulation) reconnect(h *host) {
	m.mu.Lock()
	now := m.now()
	if now.Sub(h.isolatedSince) >= m.staleAfter {
		m.lastIncarnation++
		h.self.Incarnation, h.started = m.lastIncarnation, now
		m.changes = append(m.changes, change{instance: m.instance(string(h.self.ID), h.zone, m.lastIncarnation), at: now})
	}
	m.changes = slices.DeleteFunc(m.changes, func(c change) bool { return c.departure && c.at.After(now) })
	h.isolatedSince = time.Time{}
	m.mu.Unlock()
	m.notify()
}

// partition assigns zones to sides. Hosts on a side without most zones no longer learn of changes on the other side.
func (m *randomSimulation) partition(side map[string]int) {
	m.mu.Lock()
	m.partitionSide, m.partitionedAt = side, m.now()
	for _, h := range m.hosts {
		if h.minoritySince.IsZero() && !m.reachesMostZones(h.zone) {
			h.minoritySince = m.partitionedAt
		}
	}
	m.mu.Unlock()
	m.notify()
}

// reachesMostZones reports whether more than half of the zones are on the zone's side of the partition.
func (m *randomSimulation) reachesMostZones(zone string) bool {
	reached := 0
	for z := range m.zones {
		if m.partitionSide[zoneName(z)] == m.partitionSide[zone] {
			reached++
		}
	}
	return 2*reached > m.zones
}

func zoneName(i int) string { return string(rune('a' + i)) }

// heal ends the partition. Instances that joined on a side without most zones count as joining now.
func (m *randomSimulation) heal() {
	m.mu.Lock()
	now := m.now()
	for i, c := range m.changes {
		if !c.departure && c.at.After(m.partitionedAt) && !m.reachesMostZones(c.instance.AvailabilityZone) {
			m.changes[i].at = now
		}
	}
	m.partitionSide = make(map[string]int)
	for _, h := range m.hosts {
		if !h.minoritySince.IsZero() {
			h.minoritySince, h.started = time.Time{}, now
		}
	}
	m.mu.Unlock()
	m.notify()
}
