// Package admission decides which request a backend server runs next. Queue and FIFO do no I/O and take the current
// time with every call. Gate makes one of them safe for use by many goroutines.
package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Ranks is the number of priority ranks; rank 0 is the most urgent.
const Ranks = config.MaxRank + 1

// Request is one call that needs a slot of the backend server. A zero Deadline means no deadline.
type Request struct {
	Rank     int
	Policy   string
	Arrived  time.Time
	Deadline time.Time
	// Target is the time by which the response should arrive; a later response is worth less. Zero means that only the
	// deadline matters, and that requests of one rank start in order of arrival.
	Target time.Time
	// Tenant is the tenant that the request belongs to; empty for none.
	Tenant string
	// Moved is set if the request has been offered to another instance before.
	Moved bool
}

// Refusal tells why a request got no slot. A refused request has not been run.
type Refusal struct {
	Reason     metric.Refusal
	RetryAfter time.Duration
}

// Load is the number of slots in use, their current limit, and the number of waiting requests.
type Load struct{ InUse, Limit, Queued int }

// Ticket identifies a waiting request; zero identifies none.
type Ticket uint64

// Verdict is the kind of a Decision.
type Verdict uint8

// Verdicts on offered requests.
const (
	// Refuse: the request gets no slot; Decision.Refusal holds the reason.
	Refuse Verdict = iota
	// Run: the request holds a slot until Done is called.
	Run
	// Wait: the request is queued; a later Notice for Decision.Ticket tells whether it runs.
	Wait
)

// Decision states what happens to an offered request. Displaced is the waiting request that lost its place in the queue
// to the offered one, and DisplacedRefusal what its caller is told.
type Decision struct {
	Verdict          Verdict
	Ticket           Ticket
	Refusal          Refusal
	Displaced        Ticket
	DisplacedRefusal Refusal
}

// Notice ends the wait of a request: with a slot if Refusal.Reason is empty, otherwise with a refusal.
type Notice struct {
	Ticket  Ticket
	Refusal Refusal
	// Started is the time at which the request got its slot.
	Started time.Time
}

// Granted reports whether the request got a slot.
func (n Notice) Granted() bool { return n.Refusal.Reason == "" }

// Result tells how a request that held a slot ended. Served is set if the backend server responded, and Shed if it
// rejected the request because of its load. If neither is set, the outcome says nothing about the backend server's
// capacity, for example because the slot was released unused.
type Result struct {
	Served      bool
	Shed        bool
	ServiceTime time.Duration
	// Started is the time at which the request got its slot; if zero, that was ServiceTime ago.
	Started time.Time
}

// Discipline is a queueing discipline: it decides which requests get slots. It is not safe for concurrent use. A
// returned slice is valid until the next call.
type Discipline interface {
	Offer(now time.Time, req Request) Decision
	// Done ends a request that had a slot. It reads the rank, the policy and the tenant of req only.
	Done(now time.Time, req Request, r Result) []Notice
	// Cancel removes a waiting request and reports whether it was still waiting.
	Cancel(now time.Time, t Ticket) bool
	// Expire refuses the waiting requests that can no longer finish in time.
	Expire(now time.Time) []Notice
	// LatestStart returns the time from which Expire refuses the request; zero if it never does.
	LatestStart(req Request) time.Time
	SetSlots(now time.Time, n int) []Notice
	SetShares(now time.Time, shares map[int]float64)
	// SetRate limits the requests that start per second; zero means no limit.
	SetRate(now time.Time, perSecond float64) []Notice
	// NextWake returns how long after now Wake must be called for a request that waits for the rate limit or may have to
	// move. It returns false if there is none.
	NextWake(now time.Time) (time.Duration, bool)
	Wake(now time.Time) []Notice
	Load() Load
}

// Settings configure a discipline. Zero values mean the defaults.
type Settings struct {
	// Slots is the number of slots that the backend server announced.
	Slots int
	// WarmStart sets the initial limit to all announced slots instead of ColdSlots.
	WarmStart bool
	// ExactSlots states that the backend server can run as many requests at once as it announces slots, so that a
	// request that it sheds while fewer run does not lower the limit.
	ExactSlots bool
	// ColdSlots is the initial limit of a cold instance; zero means a fifth of the announced slots.
	ColdSlots int
	// Shares is the guaranteed share of slot time by rank.
	Shares map[int]float64
	// Headroom is the fraction of the slots that ranks from HeadroomRanks on leave free while a top rank has had
	// requests within the last second.
	Headroom float64
	// HeadroomRanks is the number of top ranks that may use the headroom.
	HeadroomRanks int
	// Reserve sets how many slots beyond the average use of more urgent ranks are not lent to a rank with much longer
	// service times. It is a multiple of the square root of that average, which is the standard deviation of the use
	// under random arrivals. A negative value turns the reserve off.
	Reserve float64
	// QueueFactor limits the waiting requests to this multiple of the announced slots; a negative value means no queue.
	QueueFactor float64
	// MaxTargetWait is the fraction of the time to its target, less its service time, that a request may have to wait
	// behind others of its rank and more urgent ones; zero means no limit.
	MaxTargetWait float64
	// WaitLimitNeedsTenants applies MaxTargetWait only while requests of tenants are in progress or were recently.
	WaitLimitNeedsTenants bool
	// MinPlaces is the number of places in the queue that a rank with a share keeps, however small the share, but at
	// most a fifth of the queue.
	MinPlaces int
	// MoveWhenSlow refuses waiting requests once the running ones take much longer than usual, if they could still meet
	// their target at another instance.
	MoveWhenSlow bool
	// Deviations is the number of mean deviations that the service time estimate of a waiting request adds to its mean;
	// a negative value means none.
	Deviations float64
}

// Defaults of Settings; see docs/measurements/admission.md.
const (
	DefaultHeadroomRanks = 2
	DefaultReserve       = 0.25
	DefaultQueueFactor   = 2
	DefaultMinPlaces     = 8
	DefaultDeviations    = 2
	// maxSlots, maxQueueFactor and maxReserve limit values that come from announcements or settings.
	maxSlots       = 1 << 16
	maxQueueFactor = 64
	maxReserve     = 64
)

// withDefaults replaces zero and invalid values.
func (s Settings) withDefaults() Settings {
	s.Headroom = min(orDefault(s.Headroom, 0), 1)
	if s.Reserve == 0 || math.IsNaN(s.Reserve) {
		s.Reserve = DefaultReserve
	}
	s.Reserve = min(s.Reserve, maxReserve)
	s.QueueFactor = min(orDefault(s.QueueFactor, DefaultQueueFactor), maxQueueFactor)
	s.MaxTargetWait = orDefault(s.MaxTargetWait, 0)
	s.Deviations = orDefault(s.Deviations, DefaultDeviations)
	if s.HeadroomRanks <= 0 || s.HeadroomRanks > Ranks {
		s.HeadroomRanks = DefaultHeadroomRanks
	}
	if s.MinPlaces == 0 {
		s.MinPlaces = DefaultMinPlaces
	}
	return s
}

// orDefault returns def for zero and NaN, and zero for negative values.
func orDefault(v, def float64) float64 {
	if v == 0 || math.IsNaN(v) {
		return def
	}
	return max(v, 0)
}

func clampRank(r int) int { return min(max(r, 0), Ranks-1) }

func clampSlots(n int) int { return min(max(n, 0), maxSlots) }
