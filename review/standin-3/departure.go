package main

import (
	"context"
	"syscall"
	"time"
)

// drillDeparture checks DRAIN for a departure that was acknowledged before a drill, after which all processes are killed once.
func drillDeparture(m *mesh, trouble bool) (int, error) {
	m.work = 50 * time.Millisecond
	m.publish(settings{version: 1, routes: []route{{"read", "/read/", "safe", "desk"}, {"lodge", "/lodge/", "unsafe", "desk"}}})
	for i, service := range []string{"desk", "desk", "office", "office"} {
		if _, err := m.addIn(zones[i%2], service, "v1", 0, true); err != nil {
			return notRun, err
		}
	}
	if err := m.awaitServed("/read/1", 20*time.Second); err != nil {
		return notRun, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for _, v := range m.machines[2:] {
		go v.load(ctx, "/read/1", 20)
	}
	time.Sleep(5 * time.Second)
	leaving := m.machines[0].instance
	// Two heartbeats are on their way for seconds.
	leaving.quiet.Store(true)
	late := []string{leaving.body()}
	time.Sleep(heartbeat)
	late = append(late, leaving.body())
	time.Sleep(800 * time.Millisecond)
	before := m.store.takeCopy()
	time.Sleep(time.Second)
	leaving.state.Store("gone")
	if !leaving.announce("instances.deregister", time.Second) {
		return notRun, errNotServed
	}
	acked := time.Now()
	m.record.line("instance %s: its departure is acknowledged", leaving.id)
	time.Sleep(500 * time.Millisecond)
	if trouble {
		m.store.goAway()
		time.Sleep(time.Second)
		m.store.comeBack(&before)
		for _, v := range m.machines {
			v.signal(syscall.SIGKILL)
		}
		time.Sleep(300 * time.Millisecond)
		for _, v := range m.machines {
			<-v.ended
			if err := v.start(); err != nil {
				return notRun, err
			}
		}
	} else {
		time.Sleep(1300 * time.Millisecond)
	}
	back := time.Now()
	time.Sleep(time.Until(acked.Add(2700 * time.Millisecond)))
	for _, body := range late {
		m.record.line("instance %s: a late heartbeat arrives, acknowledged %v: %s", leaving.id, leaving.send("instances.heartbeat", body, time.Second), body)
		time.Sleep(1100 * time.Millisecond)
	}
	// A machine is in touch again stabilityMs after the start of its process, and drainMs has passed long before.
	time.Sleep(time.Until(back.Add(stability + 200*time.Millisecond)))
	first := leaving.ran()
	m.recordsRuns.Store(true)
	time.Sleep(time.Until(acked.Add(9 * time.Second)))
	n := leaving.ran() - first
	m.record.line("the instance that had left ran %d requests from %.1f s to 9 s after the acknowledgement", n, back.Add(stability+200*time.Millisecond).Sub(acked).Seconds())
	if n > 0 {
		return broken, nil
	}
	return held, nil
}
