package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// order writes an order to roll out a version, and returns when it was acknowledged.
func (m *mesh) order(service, version string, durationS int) time.Time {
	for {
		at := time.Now()
		if revision, ok := m.store.put("rollouts", service, fmt.Sprintf(`{"service":%q,"targetVersion":%q,"durationS":%d}`, service, version, durationS)); ok {
			m.record.line("operator: order to roll out %s at %s acknowledged at revision %d", version, service, revision)
			return at
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// orderStatus returns the state and the version in the status of an order.
func (m *mesh) orderStatus(service string) (state, version string) {
	o, _ := m.store.get("rollouts", service)
	var s struct{ State, TargetVersion string }
	_ = json.Unmarshal(o.Status, &s)
	return s.State, s.TargetVersion
}

// badPart is the part of its answers that the bad version fails.
const badPart = 0.2

// drillRollout checks EXPOSURE for an order that comes after a drill.
func drillRollout(m *mesh, trouble bool) (int, error) {
	m.publish(settings{version: 1, routes: []route{{"read", "/read/", "safe", "desk"}}})
	var old []*machine
	for i := range 6 {
		v, err := m.add([]string{"desk", "office"}[i%2], "v1", 0, true)
		if err != nil {
			return notRun, err
		}
		if v.service == "desk" {
			old = append(old, v)
		}
	}
	if err := m.awaitServed("/read/1", 20*time.Second); err != nil {
		return notRun, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	start := func(v *machine) { go v.load(ctx, "/read/1", 30) }
	for _, v := range m.machines {
		if v.service == "office" {
			start(v)
		}
	}
	time.Sleep(5 * time.Second)
	m.order("desk", "v2", 12)
	for range 3 {
		if _, err := m.add("desk", "v2", 0, false); err != nil {
			return notRun, err
		}
	}
	var copies []storeCopy
	const every = 500 * time.Millisecond
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(every) {
		copies = append(copies, m.store.takeCopy())
		if state, version := m.orderStatus("desk"); state == "completed" && version == "v2" {
			break
		}
		if time.Now().After(deadline) {
			return notRun, fmt.Errorf("the first order was not completed")
		}
	}
	m.record.line("platform: the order is completed; the old instances stop")
	for _, v := range old {
		v.remove()
	}
	time.Sleep(time.Second)
	if trouble {
		before := copies[len(copies)-1-int(4*time.Second/every)]
		m.store.goAway()
		time.Sleep(2 * time.Second)
		m.store.comeBack(&before)
	}
	time.Sleep(2 * stability)
	for range 3 {
		if _, err := m.add("desk", "v3", badPart, false); err != nil {
			return notRun, err
		}
	}
	time.Sleep(500 * time.Millisecond)
	ordered := m.order("desk", "v3", 20)
	all, bad := m.ranSoFar("desk", "v2")+m.ranSoFar("desk", "v3"), m.ranSoFar("desk", "v3")
	time.Sleep(time.Until(ordered.Add(20 * time.Second)))
	all, bad = m.ranSoFar("desk", "v2")+m.ranSoFar("desk", "v3")-all, m.ranSoFar("desk", "v3")-bad
	limit := exposeShare*float64(all) + exposeSlack
	state, version := m.orderStatus("desk")
	m.record.line("from the order of v3 to its deadline: the instances of desk ran %d requests, those of v3 %d of them; the limit is %.0f; the status says %q, version %q",
		all, bad, limit, state, version)
	if float64(bad) > limit {
		return broken, nil
	}
	return held, nil
}
