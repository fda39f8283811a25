package admission

// coldLimitDivisor divides the announced slots; the result is the initial limit of a cold instance.
const coldLimitDivisor = 5

// slotLimit is the maximum number of slots in use. It adapts to the capacity of the backend server, between one slot
// and the announced slots.
type slotLimit struct {
	announced int
	coldLimit int
	warmStart bool
	// exactSlots states that the backend server can run as many requests at once as it announces slots.
	exactSlots bool
	limit      float64
}

func newSlotLimit(announced, cold int, warm bool) slotLimit {
	l := slotLimit{coldLimit: max(cold, 0), warmStart: warm}
	l.setAnnounced(announced)
	return l
}

// setAnnounced sets the number of announced slots. An instance that had none before starts cold, unless warmStart is
// set.
func (l *slotLimit) setAnnounced(n int) {
	before := l.announced
	l.announced = clampSlots(n)
	if before == 0 {
		l.limit = float64(l.coldSlots())
		if l.warmStart {
			l.limit = float64(l.announced)
		}
	}
	l.limit = min(l.limit, float64(l.announced))
}

// minExactFraction is the fraction of exact slots below which the limit does not fall: status checks and new
// connections use a few of them for a short time.
const minExactFraction = 0.75

func (l *slotLimit) coldSlots() int {
	if l.coldLimit > 0 {
		return min(l.coldLimit, l.announced)
	}
	return max(l.announced/coldLimitDivisor, 1)
}

func (l *slotLimit) slots() int { return int(l.limit) }

// observe adjusts the limit. If the backend server sheds a request, the limit falls: by one slot if the slots are
// exact, otherwise below the number of requests in flight. A success adds a fraction of a slot, so that the limit rises
// by about one each time all slots have been used once. Successes at low use do not show that the backend server can
// take more.
func (l *slotLimit) observe(r Result, inUse int) {
	if l.announced == 0 {
		return
	}
	switch {
	case r.Shed && l.exactSlots && inUse < l.slots():
		// The backend server had free slots, so the shed request says nothing about their number.
	case r.Shed && l.exactSlots:
		l.limit = max(1, minExactFraction*float64(l.announced), l.limit-1)
	case r.Shed:
		l.limit = max(1, min(l.limit-1, float64(inUse-1)))
	case r.Served && 2*inUse >= l.slots():
		l.limit = min(l.limit+1/max(l.limit, 1), float64(l.announced))
	}
}
