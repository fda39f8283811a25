package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// The simulation runs deciders, the nodes beside the instances of one service and a store on a virtual clock. Messages are
// function calls that can be lost; faults are switched by the tests.

const (
	simService = "desk"
	simOld     = "v1"
	simNew     = "v2"
)

var simSettings = Settings{ExposeShare: 0.1, ExposeSlack: 50, RollbackTime: 5 * time.Second}

// behaviour is how an instance answers a request.
type behaviour func(s *sim, in *simInstance, route string) (took time.Duration, failed bool)

type simInstance struct {
	record  membership.Instance
	local   *Local
	answers behaviour
	started time.Time
	// running are the ends of the requests that the instance runs.
	running []simCall
	// silent cuts the node off from all others; reports and plans do not pass.
	silent bool
	// got counts the requests handed to the instance.
	got int
	// bad counts its bad answers.
	bad int
}

type simCall struct {
	end    time.Time
	permit *Permit
	sample Sample
}

type simDecider struct {
	decider *Decider
	table   *Table
	// storeDown makes the store unreachable for this decider.
	storeDown bool
	down      bool
}

// simStore holds one object.
type simStore struct {
	object   Object
	exists   bool
	revision uint64
	era      era.Number
	writes   int
	// lose makes the answer of a write get lost; the write may be done or not.
	lose func() bool
	// history holds the phases in the order in which they were stored.
	history []Phase
}

func (s *simStore) put(o Object) {
	s.revision++
	o.At = era.Position{Era: s.era, Revision: s.revision}
	s.object, s.exists = o, true
}

// copy returns the state of the store, and restore brings it back from one.
func (s *simStore) copy() simStore {
	return simStore{object: s.object, exists: s.exists, revision: s.revision}
}

func (s *simStore) restore(c simStore) {
	s.era++
	s.object, s.exists, s.revision = c.object, c.exists, c.revision
	s.object.At.Era = s.era
}

func (s *simStore) putStatus(w Write) (WriteResult, *Object) {
	s.writes++
	lost := s.lose != nil && s.lose()
	if lost && s.writes%2 == 0 {
		return WriteUnknown, nil // Neither done nor answered.
	}
	if !s.exists || s.object.At != w.At {
		if lost {
			return WriteUnknown, nil
		}
		return WriteConflict, nil
	}
	o := s.object
	status := w.Status
	o.Status = &status
	s.put(o)
	if n := len(s.history); n == 0 || s.history[n-1] != status.Phase {
		s.history = append(s.history, status.Phase)
	}
	if lost {
		return WriteUnknown, nil
	}
	stored := s.object
	return WriteDone, &stored
}

type sim struct {
	t         reporterT
	rng       *rand.Rand
	now       time.Time
	store     *simStore
	deciders  []*simDecider
	instances []*simInstance
	// ingresses are the tables of nodes that send requests; they get plans with a delay of one step.
	perStep int
	routes  []string
	// lossy makes reports and replies get lost.
	lossy float64

	orderAt time.Time
	// total counts the requests since the order.
	total, refused int
	// badAt is the time of the 50th bad answer; lastNew that of the last request to the new version.
	bad     int
	badAt   time.Time
	lastNew time.Time
	// endedAt is when the store held the end of the order.
	endedAt time.Time
	// strandedAtEnd is the number of requests that were at the old version when the order was completed.
	strandedAtEnd int
	nextRun       uint64
	// onStep, if set, is called before each step.
	onStep func()
}

const (
	simStep = 50 * time.Millisecond
	simBase = 40 * time.Millisecond
)

func healthy(s *sim, in *simInstance, _ string) (time.Duration, bool) {
	took := time.Duration(float64(simBase) * (0.7 + 0.6*s.rng.Float64()))
	if s.now.Sub(in.started) < 3*time.Second {
		took *= 2 // cold
	}
	return took, false
}

func failing(part float64) behaviour {
	return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
		took, _ := healthy(s, in, route)
		return took, s.rng.Float64() < part
	}
}

func slow(part, factor float64) behaviour {
	return func(s *sim, in *simInstance, route string) (time.Duration, bool) {
		took, _ := healthy(s, in, route)
		if s.rng.Float64() < part {
			took = time.Duration(float64(took) * factor)
		}
		return took, false
	}
}

// newSim returns a service with old instances and as many deciders as there are watchers. Instances of the new version start
// when the order is given.
func newSim(t reporterT, seed uint64, old, perSecond int) *sim {
	s := &sim{t: t, rng: rand.New(rand.NewPCG(seed, 17)), now: time.UnixMilli(1_700_000_000_000), store: &simStore{}, routes: []string{"lookup", "lodge"},
		perStep: perSecond / int(time.Second/simStep)}
	for range 3 {
		s.deciders = append(s.deciders, s.newDecider())
	}
	for i := range old {
		s.addInstance(fmt.Sprintf("old-%d", i), simOld, healthy).started = s.now.Add(-time.Hour)
	}
	return s
}

func (s *sim) newDecider() *simDecider {
	s.nextRun++
	return &simDecider{decider: NewDecider(simSettings, s.nextRun), table: NewTable(true)}
}

func (s *sim) addInstance(id, version string, answers behaviour) *simInstance {
	in := &simInstance{answers: answers, started: s.now, record: membership.Instance{ID: membership.InstanceID(id), Service: simService,
		Version: version, State: membership.StateReady, Slots: 10, BackendStarted: s.now.UnixMilli()}}
	s.instances = append(s.instances, in)
	s.restart(in)
	return in
}

// restart replaces the process of the node beside an instance. It learns the plan from the store, as at each start.
func (s *sim) restart(in *simInstance) {
	s.nextRun++
	in.running = nil
	in.local = NewLocal(&Local{Table: NewTable(true), Service: simService, GrantTime: 1500 * time.Millisecond,
		Version: func() (string, int64) { return in.record.Version, in.record.BackendStarted }})
	if s.store.exists {
		in.local.Table.Merge(PlanOf(&s.store.object))
	}
	in.local.Table.SetKnown()
}

func (s *sim) order(duration time.Duration, newInstances int, answers behaviour) {
	s.orderAt = s.now
	s.store.put(Object{Name: simService, Created: "1", Order: Order{Service: simService, Target: simNew, Duration: duration}})
	s.spread()
	for i := range newInstances {
		s.addInstance(fmt.Sprintf("new-%d", i), simNew, answers)
	}
}

// spread carries the object to the deciders that the store answers, and plans to all nodes that can be reached.
func (s *sim) spread() {
	var plans []Plan
	for _, d := range s.deciders {
		if d.down {
			continue
		}
		if !d.storeDown && s.store.exists {
			d.decider.ObserveObject(s.now, s.store.object)
			d.table.Merge(PlanOf(&s.store.object))
			d.decider.ObservePlan(d.table.Get(simService))
		}
		plans = append(plans, d.table.Merge(d.decider.Plans()...)...)
		plans = append(plans, d.table.All()...)
	}
	for _, d := range s.deciders {
		if d.down {
			continue
		}
		for _, p := range d.table.Merge(plans...) {
			d.decider.ObservePlan(p)
		}
	}
	for _, in := range s.instances {
		if !in.silent && s.rng.Float64() >= s.lossy {
			in.local.Table.Merge(plans...)
		}
	}
}

func (s *sim) members(string) []membership.Instance {
	out := make([]membership.Instance, 0, len(s.instances))
	for _, in := range s.instances {
		out = append(out, in.record)
	}
	return out
}

func (s *sim) report() {
	for _, in := range s.instances {
		if in.silent {
			continue
		}
		rep, ok := in.local.Report(in.record.ID)
		if !ok {
			continue
		}
		for _, d := range s.deciders {
			if d.down || s.rng.Float64() < s.lossy {
				continue
			}
			reply := d.decider.ObserveReport(s.now, rep, !d.storeDown)
			if s.rng.Float64() < s.lossy {
				continue
			}
			in.local.Apply(s.now, reply)
			if reply.Able {
				break
			}
		}
	}
}

func (s *sim) decide() {
	for i, d := range s.deciders {
		if d.down {
			continue
		}
		leads := i == 0 && !d.storeDown
		for _, w := range d.decider.Tick(s.now, s.members, leads) {
			if d.storeDown {
				d.decider.ObserveWrite(s.now, w, WriteUnknown, nil)
				continue
			}
			result, obj := s.store.putStatus(w)
			d.decider.ObserveWrite(s.now, w, result, obj)
		}
	}
}

// traffic sends the requests of one step, each from an ingress that follows the plan of a random node.
func (s *sim) traffic() {
	for range s.perStep {
		s.request(s.routes[s.rng.IntN(len(s.routes))])
	}
}

func (s *sim) request(route string) {
	if !s.orderAt.IsZero() {
		s.total++
	}
	ingress := s.instances[s.rng.IntN(len(s.instances))].local.Table
	var tried []membership.InstanceID
	for attempt := range 5 {
		p := ingress.Get(simService)
		var prefer, fallback Filter
		if p.Order != "" {
			prefer, fallback = p.Choose(s.rng.Float64(), s.rng.Float64(), attempt > 0)
		}
		in := s.pick(prefer, tried)
		if in == nil && fallback != nil {
			in = s.pick(fallback, tried)
		}
		if in == nil {
			break
		}
		tried = append(tried, in.record.ID)
		if s.hand(in, route) {
			return
		}
	}
	s.refused++
}

func (s *sim) pick(allow Filter, tried []membership.InstanceID) *simInstance {
	var best *simInstance
	n := 0
	for _, in := range s.instances {
		if in.record.State != membership.StateReady || allow != nil && !allow(&in.record) || slices.Contains(tried, in.record.ID) {
			continue
		}
		if n++; s.rng.IntN(n) == 0 {
			best = in
		}
	}
	return best
}

func (s *sim) hand(in *simInstance, route string) bool {
	permit := in.local.Enter(s.now)
	if permit == nil {
		return false
	}
	permit.Sent()
	in.got++
	took, failed := in.answers(s, in, route)
	cold := s.now.Sub(in.started) < 3*time.Second
	in.running = append(in.running, simCall{s.now.Add(took), permit, Sample{Route: route, InUse: len(in.running) + 1, Limit: in.record.Slots, Failed: failed, Took: took, Cold: cold}})
	if in.record.Version == simNew {
		s.lastNew = s.now
		if failed || !cold && took > 2*simBase {
			s.bad++
			in.bad++
			if s.bad == 50 {
				s.badAt = s.now
			}
		}
	}
	return true
}

func (s *sim) finish() {
	for _, in := range s.instances {
		in.running = slices.DeleteFunc(in.running, func(c simCall) bool {
			if c.end.After(s.now) {
				return false
			}
			c.permit.Ran(c.sample)
			c.permit.Leave()
			return true
		})
	}
}

// run plays for a duration.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(simStep) {
		if s.onStep != nil {
			s.onStep()
		}
		s.finish()
		s.traffic()
		step := int(s.now.Sub(time.UnixMilli(0)) / simStep)
		if step%10 == 0 {
			s.report()
		}
		if step%5 == 0 {
			s.decide()
			s.spread()
		}
		s.noteEnd()
	}
}

func (s *sim) noteEnd() {
	if s.store.object.Status == nil || !s.store.object.Status.Phase.Ended() || !s.endedAt.IsZero() {
		return
	}
	s.endedAt = s.now
	if s.phase() == PhaseCompleted {
		for _, in := range s.instances {
			// A node that is cut off cannot be asked; the design states for how long it is waited for.
			if in.record.Version == simOld && !in.silent {
				s.strandedAtEnd += len(in.running)
			}
		}
	}
}

func (s *sim) phase() Phase {
	if s.store.object.Status == nil {
		return PhasePending
	}
	return s.store.object.Status.Phase
}

// exposed counts the requests that instances of a version got.
func (s *sim) exposed(version string) (n int) {
	for _, in := range s.instances {
		if in.record.Version == version {
			n += in.got
		}
	}
	return n
}

// mustKeepExposure checks the bound on the requests to a bad version.
func (s *sim) mustKeepExposure() {
	s.t.Helper()
	if got, limit := s.exposed(simNew), simSettings.ExposeShare*float64(s.total)+simSettings.ExposeSlack; float64(got) > limit {
		s.t.Errorf("the new version got %d of %d requests, more than %.0f", got, s.total, limit)
	}
	if !s.badAt.IsZero() && s.lastNew.Sub(s.badAt) > simSettings.RollbackTime {
		s.t.Errorf("the new version got a request %v after its 50th bad answer", s.lastNew.Sub(s.badAt))
	}
}

func (s *sim) reason() string {
	if s.store.object.Status == nil {
		return ""
	}
	return s.store.object.Status.Reason
}

// reporterT is what the simulation needs of a test.
type reporterT interface {
	Helper()
	Errorf(format string, args ...any)
}
