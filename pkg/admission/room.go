package admission

import (
	"math"
	"time"
)

// capacity is the number of places for waiting work.
func (q *Queue) capacity() int {
	return int(math.Ceil(q.settings.QueueFactor * float64(q.limit.announced)))
}

// places is the part of the queue that a rank with a share keeps.
func (q *Queue) places(rank int) int {
	return int(math.Ceil(q.accounts[rank].share * float64(q.capacity())))
}

// softPlaces is what a rank with a share keeps unless the places of others would go below their share. A rank with a
// small share and few places runs dry between two of its arrivals in a flood, and its slot goes to others.
func (q *Queue) softPlaces(rank int) int {
	if q.accounts[rank].share == 0 {
		return 0
	}
	few := min(q.settings.MinPlaces, q.capacity()/softFraction)
	return max(q.places(rank), few)
}

// softFraction of the queue is the most that MinPlaces gives to one rank.
const softFraction = 5

// makeRoom finds a place for work of the rank. In a full queue it takes the newest place of the least urgent rank that
// holds more than its own places: any such rank for a newcomer that is entitled to a place, otherwise a less urgent one.
// A newcomer that is entitled by its share, or is the only one of its rank, also takes places beyond others' shares.
func (q *Queue) makeRoom(now time.Time, w Request) (Ticket, bool) {
	rank := w.Rank
	if q.queued < q.capacity() {
		return 0, true
	}
	if t, ok := q.displaceLate(now, w); ok {
		return t, true
	}
	own := len(q.queues[rank])
	if t, ok := q.displace(rank, own < q.softPlaces(rank), q.softPlaces); ok || own >= max(q.places(rank), 1) {
		return t, ok
	}
	return q.displace(rank, own < q.places(rank), q.places)
}

func (q *Queue) displace(rank int, entitled bool, places func(int) int) (Ticket, bool) {
	for r := Ranks - 1; r >= 0; r-- {
		if r == rank || (r < rank && !entitled) || len(q.queues[r]) <= places(r) {
			continue
		}
		return q.remove(r, len(q.queues[r])-1).ticket, true
	}
	return 0, false
}
