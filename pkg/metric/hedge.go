package metric

// Hedge is what became of a request that waited longer than usual for its response: why a second request was or was not
// sent, and which of the two was answered first.
type Hedge string

// Reasons and results of second requests; docs/reasons.md describes them.
const (
	HedgeSent              Hedge = "sent"
	HedgeWon               Hedge = "won"
	HedgeLost              Hedge = "lost"
	HedgeFailed            Hedge = "failed"
	HedgeDeniedBudget      Hedge = "denied_budget"
	HedgeDeniedRetryBudget Hedge = "denied_retry_budget"
	HedgeDeniedNoRoom      Hedge = "denied_no_room"
	HedgeDeniedDeadline    Hedge = "denied_deadline"
)

// Hedges lists all reasons and results of second requests.
var Hedges = []Hedge{HedgeSent, HedgeWon, HedgeLost, HedgeFailed, HedgeDeniedBudget, HedgeDeniedRetryBudget, HedgeDeniedNoRoom,
	HedgeDeniedDeadline}

// CountHedge counts one reason or result of a second request.
func (s *Set) CountHedge(h Hedge) { inc(s.hedges[h], "hedge", string(h)) }
