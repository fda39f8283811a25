// Package admission decides which work a backend server runs next. Queue and FIFO are pure: they take a clock reading
// with every call and do no I/O. Gate wraps one of them for use by many goroutines.
package admission

import (
	"math"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Ranks is the number of ranks; rank 0 is the most urgent.
const Ranks = config.MaxRank + 1

// Request is one call that needs a slot. A zero Deadline means none.
type Request struct {
	Rank     int
	Policy   string
	Arrived  time.Time
	Deadline time.Time
	// Target is when the work is due; an answer after it is worth less. Zero means that no time is worth more than
	// another, and that work of one rank starts in the order of its arrival.
	Target time.Time
}

// Refusal tells why work got no slot. Refused work has not been run.
type Refusal struct {
	Reason     metric.Refusal
	RetryAfter time.Duration
}

// Load is the use of the slots: in use, the current limit, and the work that waits.
type Load struct{ InUse, Limit, Queued int }

// Ticket names work that waits; zero names none.
type Ticket uint64

// Verdict is the answer to an offer.
type Verdict uint8

// Verdicts on offered work.
const (
	// Refuse: the work gets no slot; Decision.Refusal tells why.
	Refuse Verdict = iota
	// Run: the work holds a slot until Done.
	Run
	// Wait: a later Notice for Decision.Ticket tells whether the work runs.
	Wait
)

// Decision is the answer to an offer. Displaced is waiting work that lost its place to the offered work.
type Decision struct {
	Verdict   Verdict
	Ticket    Ticket
	Refusal   Refusal
	Displaced Ticket
}

// Notice is the end of a wait: a slot if Refusal.Reason is empty, otherwise a refusal.
type Notice struct {
	Ticket  Ticket
	Refusal Refusal
}

// Granted reports whether the work got a slot.
func (n Notice) Granted() bool { return n.Refusal.Reason == "" }

// Result is the end of work that held a slot. Neither Served nor Shed means that the outcome says nothing about the
// backend server's capacity, such as a slot that was given back unused.
type Result struct {
	Served      bool
	Shed        bool
	ServiceTime time.Duration
}

// Discipline orders work for slots. It is not safe for concurrent use. A returned slice is valid until the next call.
type Discipline interface {
	Offer(now time.Time, w Request) Decision
	Done(now time.Time, w Request, r Result) []Notice
	// Cancel removes waiting work and reports whether it was still waiting.
	Cancel(now time.Time, t Ticket) bool
	// Expire refuses waiting work that can no longer finish in time.
	Expire(now time.Time) []Notice
	// LatestStart returns when Expire refuses the work; zero if it never does.
	LatestStart(w Request) time.Time
	SetSlots(now time.Time, n int) []Notice
	SetShares(now time.Time, shares map[int]float64)
	Load() Load
}

// Settings tune a discipline. Zero values mean the defaults.
type Settings struct {
	// Slots is the number of slots that the backend server announced.
	Slots int
	// WarmStart starts with all slots instead of ColdSlots.
	WarmStart bool
	// ExactSlots states that the backend server runs as many calls at once as it announces, so that what it sheds below them
	// does not lower the limit.
	ExactSlots bool
	// ColdSlots is the limit of a cold instance.
	ColdSlots int
	// Shares is the guaranteed share of slot time by rank.
	Shares map[int]float64
	// Headroom is the part of the slots that ranks from HeadroomRanks on leave free while a top rank has had work in
	// the last second.
	Headroom float64
	// HeadroomRanks is the number of top ranks that may use the headroom.
	HeadroomRanks int
	// Reserve is what is not lent to slow work beyond the usual use of more urgent ranks, as a multiple of the square
	// root of that use, which is how far use by random arrivals spreads. A negative value means no reserve.
	Reserve float64
	// QueueFactor bounds the waiting work to this many times the announced slots; a negative value means no queue.
	QueueFactor float64
	// MinPlaces is how many places of the queue a rank with a share keeps, however small the share.
	MinPlaces int
	// Deviations is how many mean deviations the estimate of service time adds to its mean for work that waits; a
	// negative value means none.
	Deviations float64
}

// Defaults of Settings, chosen by measurement: docs/measurements/admission.md.
const (
	DefaultHeadroomRanks = 2
	DefaultReserve       = 0.25
	DefaultQueueFactor   = 2
	DefaultMinPlaces     = 8
	DefaultDeviations    = 2
	// maxSlots, maxQueueFactor and maxReserve bound values that an announcement or a setting gives.
	maxSlots       = 1 << 16
	maxQueueFactor = 64
	maxReserve     = 64
)

// withDefaults replaces zero, negative and meaningless values.
func (s Settings) withDefaults() Settings {
	s.Headroom = min(orDefault(s.Headroom, 0), 1)
	if s.Reserve == 0 || math.IsNaN(s.Reserve) {
		s.Reserve = DefaultReserve
	}
	s.Reserve = min(s.Reserve, maxReserve)
	s.QueueFactor = min(orDefault(s.QueueFactor, DefaultQueueFactor), maxQueueFactor)
	s.Deviations = orDefault(s.Deviations, DefaultDeviations)
	if s.HeadroomRanks <= 0 || s.HeadroomRanks > Ranks {
		s.HeadroomRanks = DefaultHeadroomRanks
	}
	if s.MinPlaces == 0 {
		s.MinPlaces = DefaultMinPlaces
	}
	return s
}

// orDefault returns the default for zero and for values that are no number, and zero for negative values.
func orDefault(v, def float64) float64 {
	if v == 0 || math.IsNaN(v) {
		return def
	}
	return max(v, 0)
}

func clampRank(r int) int { return min(max(r, 0), Ranks-1) }

func clampSlots(n int) int { return min(max(n, 0), maxSlots) }
