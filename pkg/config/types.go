// Package config defines the mesh configuration (services, policies, routes and tenants), the release notes that change it, and
// the immutable snapshot that a node routes requests with. It performs no I/O.
package config

import "time"

// Limits on the size of a configuration, and defaults.
const (
	MaxRoutes   = 10_000
	MaxServices = 500
	MaxPolicies = 64
	// MaxTenants and MaxTenantKeys limit the workspaces and all their keys in release notes.
	MaxTenants    = 1_000
	MaxTenantKeys = 4_000
	// MaxRank is the rank of the least urgent work; rank 0 is the most urgent.
	MaxRank = 7
	// DefaultIdempotencyWindow is how long the outcome of a request with an idempotency key is kept by default.
	DefaultIdempotencyWindow = 10 * time.Minute
)

// Duration is a time.Duration that is encoded as a string such as "250ms" in release notes and stored objects.
type Duration time.Duration

// Service is a named group of backend servers.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// CallableFrom lists the services whose nodes need routes to this service; empty means all services.
	CallableFrom []string `json:"callableFrom,omitempty" yaml:"callableFrom,omitempty"`
	// MaxConnections is the operators' limit on the connections to one backend server. Nodes distribute it but do not
	// apply it.
	MaxConnections int `json:"maxConnections,omitempty" yaml:"maxConnections,omitempty"`
	// HealthPath is the path at which a backend server reports whether it is healthy and accepts new requests; empty if it
	// reports neither.
	HealthPath string `json:"healthPath,omitempty" yaml:"healthPath,omitempty"`
}

// Policy sets the priority, deadline and retry limits of the requests of a route.
type Policy struct {
	Name string `json:"name" yaml:"name"`
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int `json:"rank" yaml:"rank"`
	// Target is the latency within which a response counts as on time.
	Target Duration `json:"target" yaml:"target"`
	// Worth is the weight of one response in reports; it does not affect the order of admission.
	Worth int `json:"worth" yaml:"worth"`
	// GuaranteedShare is the fraction of a backend server's slot time that requests of this rank keep when requests of
	// other ranks overload the server. A slot runs one request at a time.
	GuaranteedShare float64 `json:"guaranteedShare" yaml:"guaranteedShare"`
	// Deadline is the maximum duration of a call.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// MaxRetries limits the retries of one call at one node.
	MaxRetries int `json:"maxRetries" yaml:"maxRetries"`
	// IdempotencyWindow is how long the outcome of a request with an idempotency key is kept; 0 means
	// DefaultIdempotencyWindow.
	IdempotencyWindow Duration `json:"idempotencyWindow,omitempty" yaml:"idempotencyWindow,omitempty"`
	// ClassRanks holds the rank of the requests of tenants by the tenant's priority class. For other requests Rank applies.
	ClassRanks map[string]int `json:"classRanks,omitempty" yaml:"classRanks,omitempty"`
}

// RankFor returns the rank of the requests of a tenant with the given priority class; the class may be empty.
func (p *Policy) RankFor(class string) int {
	if rank, ok := p.ClassRanks[class]; ok && class != "" {
		return rank
	}
	return p.Rank
}

// Tenant is a workspace: a customer of the mesh whose requests carry one of its API keys.
type Tenant struct {
	Name string `json:"name" yaml:"name"`
	// Keys holds the SHA-256 digests of the API keys as KeyDigest returns them. The keys themselves are not kept, so that
	// neither stored objects nor messages nor logs can reveal them.
	Keys []string `json:"keys,omitempty" yaml:"keys,omitempty"`
	// PriorityClass selects the rank of the tenant's requests; see Policy.ClassRanks. If it is empty, the rank of the
	// policy applies.
	PriorityClass string `json:"priorityClass,omitempty" yaml:"priorityClass,omitempty"`
	// Rate is the number of requests a second that all nodes together accept from the tenant; 0 means no limit. Burst is
	// the number of requests that may come at once beyond it.
	Rate  float64 `json:"rate,omitempty" yaml:"rate,omitempty"`
	Burst float64 `json:"burst,omitempty" yaml:"burst,omitempty"`
}

// WeightedService is a service that receives a weighted part of the requests of a route.
type WeightedService struct {
	Service string `json:"service" yaml:"service"`
	// Weight is the service's share relative to the sum of all weights of the route.
	Weight int `json:"weight" yaml:"weight"`
}

// Route assigns matching requests to a service and a policy.
type Route struct {
	Name string `json:"name" yaml:"name"`
	// Host is the host name that the route matches, without a port. A route with an empty host matches requests that no
	// route with their host matches.
	Host       string   `json:"host,omitempty" yaml:"host,omitempty"`
	PathPrefix string   `json:"pathPrefix" yaml:"pathPrefix"`
	Methods    []string `json:"methods,omitempty" yaml:"methods,omitempty"`
	Service    string   `json:"service,omitempty" yaml:"service,omitempty"`
	// Split distributes the requests among several services by weight; it replaces Service.
	Split  []WeightedService `json:"split,omitempty" yaml:"split,omitempty"`
	Policy string            `json:"policy" yaml:"policy"`
	// Idempotent reports whether a request may safely be executed more than once.
	Idempotent bool `json:"idempotent" yaml:"idempotent"`
	// Public routes accept requests without an API key. It has no effect in a configuration without tenants.
	Public bool `json:"public,omitempty" yaml:"public,omitempty"`
}

// Limits restricts the size of requests to a node and how long a connection may wait for a header or stay idle. For a
// zero value the node's own limit applies.
type Limits struct {
	MaxHeaderBytes int      `json:"maxHeaderBytes,omitempty" yaml:"maxHeaderBytes,omitempty"`
	MaxBodyBytes   int64    `json:"maxBodyBytes,omitempty" yaml:"maxBodyBytes,omitempty"`
	HeaderTimeout  Duration `json:"headerTimeout,omitempty" yaml:"headerTimeout,omitempty"`
	IdleTimeout    Duration `json:"idleTimeout,omitempty" yaml:"idleTimeout,omitempty"`
}

// Configuration is the complete configuration of the mesh, with each kind of item by name. If it has tenants, a request
// needs an API key of one of them, unless its route is public.
type Configuration struct {
	Limits   Limits             `json:"limits,omitzero"`
	Services map[string]Service `json:"services"`
	Policies map[string]Policy  `json:"policies"`
	Routes   map[string]Route   `json:"routes"`
	Tenants  map[string]Tenant  `json:"tenants,omitempty"`
}

// Items is a list of services, policies, routes and tenants to add or change.
type Items struct {
	Services []Service `json:"services,omitempty" yaml:"services,omitempty"`
	Policies []Policy  `json:"policies,omitempty" yaml:"policies,omitempty"`
	Routes   []Route   `json:"routes,omitempty" yaml:"routes,omitempty"`
	Tenants  []Tenant  `json:"tenants,omitempty" yaml:"tenants,omitempty"`
}

// Names lists services, policies, routes and tenants by name.
type Names struct {
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	Policies []string `json:"policies,omitempty" yaml:"policies,omitempty"`
	Routes   []string `json:"routes,omitempty" yaml:"routes,omitempty"`
	Tenants  []string `json:"tenants,omitempty" yaml:"tenants,omitempty"`
}

// ReleaseNote is a set of configuration changes that is applied atomically.
type ReleaseNote struct {
	ID       string `json:"id" yaml:"id"`
	Author   string `json:"author" yaml:"author"`
	Summary  string `json:"summary" yaml:"summary"`
	Add      Items  `json:"add" yaml:"add"`
	Change   Items  `json:"change" yaml:"change"`
	Withdraw Names  `json:"withdraw" yaml:"withdraw"`
}

// Version orders accepted configurations. It never decreases and may increase by more than 1.
type Version uint64

// NoteRecord describes an accepted release note in the history of the head.
type NoteRecord struct {
	ID      string  `json:"id"`
	Digest  string  `json:"digest"`
	Version Version `json:"version"`
	Author  string  `json:"author,omitempty"`
	Summary string  `json:"summary,omitempty"`
	Touched Names   `json:"touched"`
}

// Head is the content of the head object in the platform's store: the current configuration and the records of the
// latest accepted release notes.
type Head struct {
	Version       Version       `json:"version"`
	Hash          string        `json:"hash"`
	Configuration Configuration `json:"configuration"`
	Notes         []NoteRecord  `json:"notes"`
}

// Delta holds the changes that turn the configuration of version From into that of version To, whose hash is ToHash.
type Delta struct {
	From     Version
	To       Version
	ToHash   string
	Upsert   Items
	Withdraw Names
	Limits   Limits
}

// Source provides the current snapshot. Current returns nil until the first configuration is accepted.
type Source interface {
	Current() *Snapshot
}
