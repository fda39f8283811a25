package balance

import (
	"slices"
	"sync"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Splitter divides the requests of routes among services by weight. It is safe for concurrent use.
//
// It uses smooth weighted round robin: with each request the current weight of every service grows by its configured
// weight. The service with the highest current weight is chosen, and the sum of the configured weights is subtracted
// from its current weight. Unlike a random choice, this divides short series of requests in proportion as well.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]*routeSplit
}

type routeSplit struct {
	parts          []config.WeightedService
	currentWeights []int
}

// Next returns the service for the next request of a route.
func (s *Splitter) Next(route string, parts []config.WeightedService) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.routes[route]
	if sp == nil || !slices.Equal(sp.parts, parts) {
		if s.routes == nil {
			s.routes = make(map[string]*routeSplit)
		}
		sp = &routeSplit{parts: parts, currentWeights: make([]int, len(parts))}
		s.routes[route] = sp
	}
	return sp.next()
}

func (sp *routeSplit) next() string {
	best, sum := 0, 0
	for i, p := range sp.parts {
		sp.currentWeights[i] += p.Weight
		sum += p.Weight
		if sp.currentWeights[i] > sp.currentWeights[best] {
			best = i
		}
	}
	sp.currentWeights[best] -= sum
	return sp.parts[best].Service
}

// Peek returns the service that Next would return, and does not count a request.
func (s *Splitter) Peek(route string, parts []config.WeightedService) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := routeSplit{parts: parts, currentWeights: make([]int, len(parts))}
	if known := s.routes[route]; known != nil && slices.Equal(known.parts, parts) {
		copy(sp.currentWeights, known.currentWeights)
	}
	return sp.next()
}
