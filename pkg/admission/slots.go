package admission

// coldFraction of the announced slots is the limit of a cold instance.
const coldFraction = 5

// slotLimit follows what the backend server can take, between one slot and the announced slots.
type slotLimit struct {
	announced int
	cold      int
	warm      bool
	// exact states that the announced slots are what the backend server runs at once.
	exact bool
	limit float64
}

func newSlotLimit(announced, cold int, warm bool) slotLimit {
	l := slotLimit{cold: max(cold, 0), warm: warm}
	l.announce(announced)
	return l
}

// announce sets the announced slots. An instance without slots before starts cold.
func (l *slotLimit) announce(n int) {
	before := l.announced
	l.announced = clampSlots(n)
	if before == 0 {
		l.limit = float64(l.coldSlots())
		if l.warm {
			l.limit = float64(l.announced)
		}
	}
	l.limit = min(l.limit, float64(l.announced))
}

// exactFloor is the part of exact slots below which the limit does not fall: status checks and new connections hold a few
// of them for a moment.
const exactFloor = 0.75

func (l *slotLimit) coldSlots() int {
	if l.cold > 0 {
		return min(l.cold, l.announced)
	}
	return max(l.announced/coldFraction, 1)
}

func (l *slotLimit) slots() int { return int(l.limit) }

// observe lowers the limit below the work that was in flight when the backend server shed some of it. A success adds
// a fraction of a slot, so that the limit rises by about one in each round of full use; successes at low use prove
// nothing about more slots.
func (l *slotLimit) observe(r Result, inUse int) {
	if l.announced == 0 {
		return
	}
	switch {
	case r.Shed && l.exact && inUse < l.slots():
		// The backend server had free slots: what it shed says nothing about their number.
	case r.Shed && l.exact:
		l.limit = max(1, exactFloor*float64(l.announced), l.limit-1)
	case r.Shed:
		l.limit = max(1, min(l.limit-1, float64(inUse-1)))
	case r.Served && 2*inUse >= l.slots():
		l.limit = min(l.limit+1/max(l.limit, 1), float64(l.announced))
	}
}
