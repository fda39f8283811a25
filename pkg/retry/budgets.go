package retry

import "time"

// Budgets keeps one Decider for each service, so that retries of one service cannot use up what the others have paid
// in. Like a Decider it is not safe for concurrent use.
type Budgets struct {
	set       Settings
	byService map[string]*Decider
}

// NewBudgets returns budgets that all have the same settings.
func NewBudgets(s Settings) *Budgets {
	return &Budgets{set: s, byService: make(map[string]*Decider)}
}

func (b *Budgets) of(service string) *Decider {
	d := b.byService[service]
	if d == nil {
		d = New(b.set)
		b.byService[service] = d
	}
	return d
}

// Request counts a request to a service, before its first attempt.
func (b *Budgets) Request(service string) { b.of(service).Request() }

// Success counts a request to a service that was answered.
func (b *Budgets) Success(service string) { b.of(service).Success() }

// Decide takes one retry from the budget of the service if the attempt may be retried.
func (b *Budgets) Decide(now time.Time, service string, a Attempt) Decision {
	return b.of(service).Decide(now, a)
}
