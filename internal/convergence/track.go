package convergence

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Highest value of the histograms, in microseconds, and their number of significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// sighting is the time of the first poll that found a node serving a version.
type sighting struct {
	version config.Version
	at      time.Time
}

// track holds the poll results of one node. It must not be used concurrently.
type track struct {
	address string
	id      string
	// sightings is sorted by version and by time.
	sightings []sighting
	// missed holds the times of polls that failed or found the node without a configuration, in ascending order.
	missed []time.Time
	// reverts counts the answers with an older version than the node had served before.
	reverts int
}

// seen records an answered poll. Version 0 means that the node has no configuration yet; such a node serves nothing, so
// the poll counts as failed.
func (t *track) seen(at time.Time, id string, v config.Version) {
	if v == 0 {
		t.missed = append(t.missed, at)
		return
	}
	t.id = id
	last := t.last()
	if v < last {
		t.reverts++
	}
	if v > last {
		t.sightings = append(t.sightings, sighting{v, at})
	}
}

func (t *track) last() config.Version {
	if len(t.sightings) == 0 {
		return 0
	}
	return t.sightings[len(t.sightings)-1].version
}

// inForce returns the time of the first poll that found the node serving v or a later version.
func (t *track) inForce(v config.Version) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(t.sightings, v, func(s sighting, v config.Version) int { return cmp.Compare(s.version, v) })
	if i == len(t.sightings) {
		return time.Time{}, false
	}
	return t.sightings[i].at, true
}

// interrupted reports whether a poll failed between two times, inclusive.
func (t *track) interrupted(from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(t.missed, from, func(m, from time.Time) int { return m.Compare(from) })
	return i < len(t.missed) && !t.missed[i].After(to)
}

// accepted is a submitted note: the version that it created and the time at which the submit returned.
type accepted struct {
	version config.Version
	at      time.Time
}

// Times holds quantiles of the convergence times of the notes. A note's convergence time is that of its slowest node.
type Times struct {
	Notes int   `json:"notes"`
	P50Us int64 `json:"p50Us"`
	P99Us int64 `json:"p99Us"`
	MaxUs int64 `json:"maxUs"`
}

func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{Notes: int(h.TotalCount()), P50Us: h.ValueAtQuantile(50), P99Us: h.ValueAtQuantile(99), MaxUs: h.Max()}
}

// Convergence describes the time from the accepted submit of a note until its version is in force at every node.
type Convergence struct {
	// Reached covers, for each note, only the nodes that answered every poll until they served the note.
	Reached Times `json:"reached"`
	// All covers every node, including those with failed polls. It leaves out notes that some node never served.
	All Times `json:"all"`
	// Interrupted is the number of pairs of note and node that Reached leaves out because a poll failed.
	Interrupted int `json:"interrupted"`
	// Missing is the number of pairs of note and node in which no poll found the note in force.
	Missing int `json:"missing"`
	// Reverts is the number of answers with an older version than the same node had served before.
	Reverts int `json:"reverts"`
	// Slowest is the node with the longest time that counts in Reached.
	Slowest string `json:"slowest"`
}

// converge computes the convergence times of the notes from the poll results. A note that a node never served counts
// for that node as taking until end, the time at which the polls stopped.
func converge(notes []accepted, tracks []*track, end time.Time) Convergence {
	reached := hdrhistogram.New(1, histogramMax, histogramDigits)
	all := hdrhistogram.New(1, histogramMax, histogramDigits)
	var c Convergence
	slowest := time.Duration(-1)
	for _, n := range notes {
		undisturbed, longest := time.Duration(-1), time.Duration(-1)
		missing := 0
		for _, t := range tracks {
			at, ok := t.inForce(n.version)
			if !ok {
				missing++
				at = end
			}
			took := max(at.Sub(n.at), 0)
			longest = max(longest, took)
			if t.interrupted(n.at, at) {
				c.Interrupted++
				continue
			}
			undisturbed = max(undisturbed, took)
			if took > slowest {
				slowest, c.Slowest = took, cmp.Or(t.id, t.address)
			}
		}
		c.Missing += missing
		record(reached, undisturbed)
		if missing == 0 {
			record(all, longest)
		}
	}
	for _, t := range tracks {
		c.Reverts += t.reverts
	}
	c.Reached, c.All = timesOf(reached), timesOf(all)
	return c
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d >= 0 {
		_ = h.RecordValue(min(d.Microseconds(), histogramMax))
	}
}
