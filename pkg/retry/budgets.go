package retry

import "time"

// Budgets keeps one Decider for each service, so that the retries of one service cannot use up the budget of another.
// Like a Decider, it is not safe for concurrent use.
type Budgets struct {
	// settings are those of the mesh, own those of this node.
	settings, own Settings
	nodes         int
	byService     map[string]*Decider
}

// NewBudgets returns Budgets that use the same settings for all services.
func NewBudgets(s Settings) *Budgets {
	s = s.withDefaults()
	return &Budgets{settings: s, own: s.forNodes(0), byService: make(map[string]*Decider)}
}

// SetNodes sets the number of nodes that share Settings.MeshBurst.
func (b *Budgets) SetNodes(n int) {
	if n == b.nodes {
		return
	}
	b.nodes, b.own = n, b.settings.forNodes(n)
	for _, d := range b.byService {
		d.update(b.own)
	}
}

func (b *Budgets) of(service string) *Decider {
	d := b.byService[service]
	if d == nil {
		d = newDecider(b.own)
		b.byService[service] = d
	}
	return d
}

// Request counts a request to a service before its first attempt.
func (b *Budgets) Request(service string) { b.of(service).Request() }

// Success counts a request to a service that was answered.
func (b *Budgets) Success(service string) { b.of(service).Success() }

// Decide tells whether to retry the attempt and takes the retry from the budget of the service if it needs one.
func (b *Budgets) Decide(now time.Time, service string, a Attempt) Decision {
	return b.of(service).Decide(now, a)
}
