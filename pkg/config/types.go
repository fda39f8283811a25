// Package config holds the configuration of the mesh: services, policies and routes, the release notes that change
// it, and the immutable snapshot that a node serves. It does no I/O.
package config

import "time"

// Limits on a configuration.
const (
	MaxRoutes   = 10_000
	MaxServices = 500
	MaxPolicies = 64
	// MaxRank is the least urgent rank; rank 0 is the most urgent.
	MaxRank = 7
	// DefaultIdempotencyWindow is how long the outcome of a keyed request is kept.
	DefaultIdempotencyWindow = 10 * time.Minute
)

// Duration is a time span written as a string such as "250ms" in notes and objects.
type Duration time.Duration

// Service is a named set of backend servers.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// CallableFrom lists the services whose nodes need routes to this one; empty means all.
	CallableFrom []string `json:"callableFrom,omitempty" yaml:"callableFrom,omitempty"`
	// MaxConnections bounds the connections to one backend server; 0 means its slots.
	MaxConnections int `json:"maxConnections,omitempty" yaml:"maxConnections,omitempty"`
}

// Policy states how the work of a route is ranked and bounded.
type Policy struct {
	Name string `json:"name" yaml:"name"`
	// Rank orders work by urgency; 0 is the most urgent.
	Rank int `json:"rank" yaml:"rank"`
	// Target is the time within which an answer counts as on time.
	Target Duration `json:"target" yaml:"target"`
	// Worth weighs one answer in reports; it does not change admission order.
	Worth int `json:"worth" yaml:"worth"`
	// GuaranteedShare is the fraction of slot time that the rank keeps in a flood of other work.
	GuaranteedShare float64 `json:"guaranteedShare" yaml:"guaranteedShare"`
	// Deadline is the longest time that a call may take.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// MaxRetries bounds retries of one call at one node.
	MaxRetries int `json:"maxRetries" yaml:"maxRetries"`
	// IdempotencyWindow is how long the outcome of a keyed request is kept; 0 means DefaultIdempotencyWindow.
	IdempotencyWindow Duration `json:"idempotencyWindow,omitempty" yaml:"idempotencyWindow,omitempty"`
}

// WeightedService is one part of a route's traffic.
type WeightedService struct {
	Service string `json:"service" yaml:"service"`
	// Weight is the part's share, relative to the sum of the weights of the route.
	Weight int `json:"weight" yaml:"weight"`
}

// Route maps requests to a service under a policy.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host is the host that the route serves, without a port; empty means every host without a route of its own.
	Host       string   `json:"host,omitempty" yaml:"host,omitempty"`
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	Service    string   `json:"service,omitempty" yaml:"service,omitempty"`
	// Split divides the requests among several services; it takes the place of Service.
	Split  []WeightedService `json:"split,omitempty" yaml:"split,omitempty"`
	Policy string            `json:"policy" yaml:"policy"`
	// Idempotent states that running a request twice is harmless.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
}

// Limits bound what a caller may send to a node and how long its connection may idle. Zero values leave the node's
// own limits in force.
type Limits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty" yaml:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty" yaml:"headerTimeout,omitempty"`
	IdleTimeout    Duration `json:"idleTimeout,omitempty" yaml:"idleTimeout,omitempty"`
}

// Configuration is the whole configuration of the mesh.
type Configuration struct {
	Limits   Limits             `json:"limits,omitzero"`
	Services map[string]Service `json:"services"`
	Policies map[string]Policy  `json:"policies"`
	Routes   map[string]Route   `json:"routes"`
}

// Items is a set of services, policies and routes in a release note.
type Items struct {
	Services []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Policies []Policy  `json:"policies,omitempty" yaml:"policies,omitempty"`
	Routes   []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
}

// Names lists services, policies and routes by name.
type Names struct {
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	Policies []string `json:"policies,omitempty" yaml:"policies,omitempty"`
	Routes   []string `json:"routes,omitempty" yaml:"routes,omitempty"`
}

// ReleaseNote is one change of the configuration, applied as a whole or not at all.
type ReleaseNote struct {
	ID       string `json:"id" yaml:"id"`
	Author   string `json:"author" yaml:"author"`
	Summary  string `json:"summary" yaml:"summary"`
	Add      Items  `json:"add" yaml:"add"`
	Change   Items  `json:"change" yaml:"change"`
	Withdraw Names  `json:"withdraw" yaml:"withdraw"`
}

// Version orders accepted configurations. It never falls, and may rise in steps of any size.
type Version uint64

// NoteRecord is the trace that an accepted note leaves in the head.
type NoteRecord struct {
	ID      string  `json:"id"`
	Digest  string  `json:"digest"`
	Version Version `json:"version"`
	Author  string  `json:"author,omitempty"`
	Summary string  `json:"summary,omitempty"`
	Touched Names   `json:"touched"`
}

// Head is the content of the head object on the platform.
type Head struct {
	Version       Version       `json:"version"`
	Hash          string        `json:"hash"`
	Configuration Configuration `json:"configuration"`
	Notes         []NoteRecord  `json:"notes"`
}

// Delta turns the configuration of version From into that of version To.
type Delta struct {
	From     Version
	To       Version
	ToHash   string
	Upsert   Items
	Withdraw Names
	Limits   Limits
}

// Source gives the snapshot in force. Current returns nil before the first configuration is accepted.
type Source interface {
	Current() *Snapshot
}
