package main

import (
	"maps"
	"slices"
	"strings"

	"github.com/monsoonlatch/monsoonlatch/pkg/release"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

type services struct{}

// serviceReport is one service with its routes and nodes.
type serviceReport struct {
	Name         string   `json:"name"`
	CallableFrom []string `json:"callableFrom,omitempty"`
	Routes       []string `json:"routes"`
	Ready        int      `json:"ready"`
	Starting     int      `json:"starting"`
	Draining     int      `json:"draining"`
	CutOff       int      `json:"cutOff"`
	// Configured is false for a service that nodes report but that the head does not contain.
	Configured bool `json:"configured"`
}

// Run lists the services.
func (c *services) Run(e *env) error {
	o, err := withStore(e, release.Status)
	if err != nil {
		return err
	}
	list := buildServiceReports(o)
	if e.JSON {
		return e.writeJSON(list)
	}
	var rows [][]any
	for _, s := range list {
		from := strings.Join(s.CallableFrom, ",")
		switch {
		case !s.Configured:
			from = "(not configured)"
		case from == "":
			from = "all"
		}
		rows = append(rows, []any{s.Name, len(s.Routes), s.Ready, s.Starting, s.Draining, s.CutOff, from})
	}
	return e.writeTable("SERVICE ROUTES READY STARTING DRAINING CUT-OFF CALLABLE-FROM", rows)
}

func buildServiceReports(o release.Overview) []serviceReport {
	byName := make(map[string]*serviceReport)
	for name, s := range o.Head.Configuration.Services {
		byName[name] = &serviceReport{Name: name, CallableFrom: s.CallableFrom, Routes: []string{}, Configured: true}
	}
	for name, r := range o.Head.Configuration.Routes {
		if s, ok := byName[r.Service]; ok {
			s.Routes = append(s.Routes, name)
		}
	}
	for _, n := range o.Nodes(o.Head.Version) {
		if byName[n.Service] == nil {
			byName[n.Service] = &serviceReport{Name: n.Service, Routes: []string{}}
		}
		byName[n.Service].add(n)
	}
	out := make([]serviceReport, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		slices.Sort(byName[name].Routes)
		out = append(out, *byName[name])
	}
	return out
}

func (s *serviceReport) add(n status.Node) {
	switch {
	case n.Rollout == status.CutOff:
		s.CutOff++
	case n.State == status.StateReady:
		s.Ready++
	case n.State == status.StateDraining:
		s.Draining++
	default:
		s.Starting++
	}
}
