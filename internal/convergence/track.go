package convergence

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Bounds of the histograms, in microseconds, with three significant digits.
const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// sighting is the first time at which a node was seen to serve a version.
type sighting struct {
	version config.Version
	at      time.Time
}

// track is what was observed of one node. It is used by one goroutine at a time.
type track struct {
	address   string
	id        string
	sightings []sighting
	// missed holds the times of polls that failed, or that found a node without a configuration.
	missed []time.Time
	// reverts counts answers with a version below one served before.
	reverts int
}

// seen records a successful poll. A node without a configuration is not ready and serves nothing.
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

// inForce returns when the node was first seen with v or a later version.
func (t *track) inForce(v config.Version) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(t.sightings, v, func(s sighting, v config.Version) int { return cmp.Compare(s.version, v) })
	if i == len(t.sightings) {
		return time.Time{}, false
	}
	return t.sightings[i].at, true
}

// interrupted reports whether a poll failed from one time to another.
func (t *track) interrupted(from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(t.missed, from, func(m, from time.Time) int { return m.Compare(from) })
	return i < len(t.missed) && !t.missed[i].After(to)
}

// accepted is a note of the run.
type accepted struct {
	version config.Version
	at      time.Time
}

// Times are the quantiles of convergence times over notes.
type Times struct {
	Notes int   `json:"notes"`
	P50Us int64 `json:"p50Us"`
	P99Us int64 `json:"p99Us"`
	MaxUs int64 `json:"maxUs"`
}

func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{Notes: int(h.TotalCount()), P50Us: h.ValueAtQuantile(50), P99Us: h.ValueAtQuantile(99), MaxUs: h.Max()}
}

// Convergence is the time from the accepted submit of a note to the version in force at every node.
type Convergence struct {
	// Reached counts, for each note, the nodes that answered every poll until the note was in force.
	Reached Times `json:"reached"`
	// All counts every node, those that were down meanwhile included.
	All Times `json:"all"`
	// Interrupted is the number of pairs of note and node that only All counts.
	Interrupted int `json:"interrupted"`
	// Missing is the number of pairs in which the note was not seen in force until the end.
	Missing int `json:"missing"`
	// Reverts is the number of answers with an older version than one served before.
	Reverts int `json:"reverts"`
	// Slowest is the node with the longest time in Reached.
	Slowest string `json:"slowest"`
}

// converge computes the times of the notes from the tracks. end is when the polls stopped.
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
