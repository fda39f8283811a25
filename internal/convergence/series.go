// Package convergence measures how long accepted release notes take to come into force at every node of a mesh, and how
// much network, processor and memory the nodes use for it.
package convergence

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Series generates release notes of which each is valid on top of the previous ones. Series with different names use
// different object names and do not conflict.
type Series struct {
	name   string
	random *rand.Rand
	// routes holds the routes that the series has added and not withdrawn.
	routes       []config.Route
	routesAdded  int
	notesCreated int
}

// NewSeries returns a series. Name and seed alone determine its notes.
func NewSeries(name string, seed uint64) *Series {
	return &Series{name: name, random: rand.New(rand.NewPCG(seed, 0))}
}

// First returns the first note. It adds the policy and the service that all routes of the series use, the given
// services, and the given number of routes.
func (s *Series) First(services []string, routes int) config.ReleaseNote {
	n := s.newNote("services, a policy and routes")
	n.Add.Services = []config.Service{{Name: s.name}}
	for _, name := range services {
		n.Add.Services = append(n.Add.Services, config.Service{Name: name})
	}
	n.Add.Policies = []config.Policy{{Name: s.name, Rank: config.MaxRank, Target: config.Duration(time.Second),
		Deadline: config.Duration(5 * time.Second), Worth: 1}}
	n.Add.Routes = s.addRoutes(routes)
	return n
}

// Next returns a note like an ordinary change: it adds two routes, changes one and withdraws one. With fewer than three
// routes it only adds.
func (s *Series) Next() config.ReleaseNote {
	n := s.newNote("two routes added, one changed, one withdrawn")
	if len(s.routes) > 2 {
		s.random.Shuffle(len(s.routes), func(i, j int) { s.routes[i], s.routes[j] = s.routes[j], s.routes[i] })
		s.routes[0].Idempotent = !s.routes[0].Idempotent
		n.Change.Routes = []config.Route{s.routes[0]}
		last := len(s.routes) - 1
		n.Withdraw.Routes = []string{s.routes[last].Name}
		s.routes = s.routes[:last]
	}
	n.Add.Routes = s.addRoutes(2)
	return n
}

func (s *Series) newNote(summary string) config.ReleaseNote {
	s.notesCreated++
	return config.ReleaseNote{ID: fmt.Sprintf("%s-%05d", s.name, s.notesCreated), Author: "mlload", Summary: summary}
}

func (s *Series) addRoutes(n int) []config.Route {
	from := len(s.routes)
	for range n {
		s.routesAdded++
		name := fmt.Sprintf("%s-r%05d", s.name, s.routesAdded)
		s.routes = append(s.routes, config.Route{Name: name, PathPrefix: "/" + name, Methods: []string{"GET"},
			Service: s.name, Policy: s.name, Idempotent: true})
	}
	return append([]config.Route(nil), s.routes[from:]...)
}
