package convergence

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// Highest value of the histograms and their number of significant digits.
const (
	histogramMaxMicros = int64(time.Hour / time.Microsecond)
	histogramDigits    = 3
)

// observation is the time of the first poll that found a node serving a version.
type observation struct {
	version config.Version
	at      time.Time
}

// pollHistory holds the poll results of one node. It must not be used concurrently.
type pollHistory struct {
	address string
	id      string
	// observations is sorted by version and by time.
	observations []observation
	// failedPolls holds the times of polls that failed or found the node without a configuration, in ascending order.
	failedPolls []time.Time
	// reverts counts the answers with an older version than the node had served before.
	reverts int
}

// recordAnswer records an answered poll. Version 0 means that the node has no configuration yet; such a node serves
// nothing, so the poll counts as failed.
func (h *pollHistory) recordAnswer(at time.Time, id string, v config.Version) {
	if v == 0 {
		h.failedPolls = append(h.failedPolls, at)
		return
	}
	h.id = id
	last := h.lastVersion()
	if v < last {
		h.reverts++
	}
	if v > last {
		h.observations = append(h.observations, observation{v, at})
	}
}

func (h *pollHistory) lastVersion() config.Version {
	if len(h.observations) == 0 {
		return 0
	}
	return h.observations[len(h.observations)-1].version
}

// inForceSince returns the time of the first poll that found the node serving v or a later version.
func (h *pollHistory) inForceSince(v config.Version) (time.Time, bool) {
	i, _ := slices.BinarySearchFunc(h.observations, v, func(o observation, v config.Version) int { return cmp.Compare(o.version, v) })
	if i == len(h.observations) {
		return time.Time{}, false
	}
	return h.observations[i].at, true
}

// pollFailedBetween reports whether a poll failed between two times, inclusive.
func (h *pollHistory) pollFailedBetween(from, to time.Time) bool {
	i, _ := slices.BinarySearchFunc(h.failedPolls, from, func(m, from time.Time) int { return m.Compare(from) })
	return i < len(h.failedPolls) && !h.failedPolls[i].After(to)
}

// acceptedNote is a submitted note: the version that it created and the time at which the submit returned.
type acceptedNote struct {
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

func quantilesOf(h *hdrhistogram.Histogram) Times {
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

// computeConvergence computes the convergence times of the notes from the poll results. end is the time at which the
// polls stopped; a node that never served a note counts with the time until end.
func computeConvergence(notes []acceptedNote, histories []*pollHistory, end time.Time) Convergence {
	reached := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	all := hdrhistogram.New(1, histogramMaxMicros, histogramDigits)
	var c Convergence
	slowest := time.Duration(-1)
	for _, n := range notes {
		longestReached, longestAll := time.Duration(-1), time.Duration(-1)
		missing := 0
		for _, history := range histories {
			at, ok := history.inForceSince(n.version)
			if !ok {
				missing++
				at = end
			}
			took := max(at.Sub(n.at), 0)
			longestAll = max(longestAll, took)
			if history.pollFailedBetween(n.at, at) {
				c.Interrupted++
				continue
			}
			longestReached = max(longestReached, took)
			if took > slowest {
				slowest, c.Slowest = took, cmp.Or(history.id, history.address)
			}
		}
		c.Missing += missing
		recordTime(reached, longestReached)
		if missing == 0 {
			recordTime(all, longestAll)
		}
	}
	for _, history := range histories {
		c.Reverts += history.reverts
	}
	c.Reached, c.All = quantilesOf(reached), quantilesOf(all)
	return c
}

func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	if d >= 0 {
		_ = h.RecordValue(min(d.Microseconds(), histogramMaxMicros))
	}
}
