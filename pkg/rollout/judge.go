package rollout

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Limits of the judgement. The comparison is repeated with each report and for each cell, so that a difference must be far
// beyond chance before a version counts as bad: four standard errors come about by chance in 1 of 30,000 looks.
const (
	badScore = 4.0
	// minFailures and minSlow are the numbers of failed and of slow answers below which a version is not found bad.
	minFailures, minSlow = 6, 8
	// minFailureExcess and minSlowExcess are the differences between the parts of failed or slow answers that count.
	minFailureExcess, minSlowExcess = 0.05, 0.1
	// slowClasses is the number of classes by which an answer must be slower than the old version's median in order to count
	// as slow: two of them are a factor of 2.4. Instances of one version differ in speed by less.
	slowClasses = 2
	// lighterSlowClasses replaces slowClasses where the old version was not seen under the same load, but under less: four are a
	// factor of 6.
	lighterSlowClasses = 4
	// minCompared is the number of answers of the old version from which a cell is compared.
	minCompared = 20
	// suspectScore and minSuspect are the difference from which a version is not found good yet.
	suspectScore = 2.0
	minSuspect   = 2
	// minGood is the number of answers without which a version is not found good, minGoodRoute that for each route with at
	// least usualRoute of the old version's requests.
	minGood, minGoodRoute = 30, 8
	usualRoute            = 0.05
	// minOthers is the number of other instances of the new version that must have answered in a cell before a difference is
	// put down to one instance alone, and minOtherAnswers the number of their answers. Of a version of which three in ten answers fail,
	// 20 good ones in a row come about in 1 of 1,250 looks, and only delay the judgement.
	minOthers, minOtherAnswers = 2, 20
)

// Evidence is what is known of the two versions.
type Evidence struct {
	// Old holds the tallies of all instances of other versions together, New those of each instance of the new version.
	Old map[Cell]Tally
	New map[membership.InstanceID]map[Cell]Tally
}

func (e *Evidence) oldAnswers() (n uint64) {
	for _, t := range e.Old {
		n += t.Answers
	}
	return n
}

// Verdict is the result of a comparison.
type Verdict struct {
	// Bad and Good are not both set. If neither is, there are too few answers, or there is a difference that may be chance.
	Bad, Good bool
	// Suspect is set if there is a difference that may be chance.
	Suspect bool
	// Reason names the difference, or what is missing.
	Reason string
	// Answers and Failures count those of the new version.
	Answers, Failures uint64
}

// Judge compares the new version with the old one: for each route under each load, for each route, and as a whole.
func Judge(e Evidence) Verdict {
	v := Verdict{}
	views := e.views()
	for _, in := range e.New {
		for _, t := range in {
			v.Answers += t.Answers
			v.Failures += t.Failures
		}
	}
	suspect := ""
	for _, key := range slices.SortedFunc(maps.Keys(views), func(a, b Cell) int {
		return strings.Compare(a.Route, b.Route)*loadLevels*2 + int(a.Load) - int(b.Load)
	}) {
		w := views[key]
		d := w.difference(w.pooled(""))
		if !d.suspect || w.oneInstanceAlone() {
			continue
		}
		if d.bad {
			v.Bad, v.Reason = true, fmt.Sprintf("%s: %s", key.describe(), d.text)
			return v
		}
		if suspect == "" {
			suspect = fmt.Sprintf("%s: %s", key.describe(), d.text)
		}
	}
	switch missing := e.missing(v.Answers); {
	case suspect != "":
		v.Suspect, v.Reason = true, "not clear: "+suspect
	case missing != "":
		v.Reason = missing
	default:
		v.Good, v.Reason = true, "no difference to the old version"
	}
	return v
}

// Loads and routes of cells that stand for several.
const (
	anyLoad  = loadLevels
	anyRoute = "*"
)

func (c Cell) describe() string {
	route := "route " + c.Route
	if c.Route == anyRoute {
		route = "all routes"
	}
	return route + [...]string{", low load", ", medium load", ", high load", ""}[min(c.Load, anyLoad)]
}

// view holds the tallies that are compared in one cell.
type view struct {
	old     Tally
	byNew   map[membership.InstanceID]Tally
	lighter bool // old was seen under less load than new
	timed   bool // the service times are comparable, since the load is the same
}

// views returns the cells to compare.
func (e *Evidence) views() map[Cell]*view {
	out := make(map[Cell]*view)
	at := func(c Cell) *view {
		if out[c] == nil {
			out[c] = &view{byNew: make(map[membership.InstanceID]Tally), timed: c.Load != anyLoad}
		}
		return out[c]
	}
	aggregates := func(c Cell) []Cell { return []Cell{c, {c.Route, anyLoad}, {anyRoute, anyLoad}} }
	for id, cells := range e.New {
		for c, t := range cells {
			for _, k := range aggregates(c) {
				w := at(k)
				sum := w.byNew[id]
				sum.add(t)
				w.byNew[id] = sum
			}
		}
	}
	for c, t := range e.Old {
		for _, k := range aggregates(c) {
			at(k).old.add(t)
		}
	}
	for c, w := range out {
		for load := int(c.Load) - 1; load >= 0 && w.timed && w.old.timed() < minCompared; load-- {
			if lighter := e.Old[Cell{c.Route, uint8(load)}]; lighter.timed() >= minCompared {
				w.old.Times, w.lighter = lighter.Times, true
			}
		}
	}
	return out
}

// pooled returns the tally of the new version without one instance.
func (w *view) pooled(without membership.InstanceID) (sum Tally) {
	for id, t := range w.byNew {
		if id != without || without == "" {
			sum.add(t)
		}
	}
	return sum
}

// difference describes how the new version differs from the old one in a cell.
type difference struct {
	bad, suspect bool
	text         string
}

func (w *view) difference(n Tally) difference {
	d := difference{}
	if w.old.Answers >= minCompared || !w.timed {
		excess, score := compare(n.Failures, n.Answers, w.old.Failures, w.old.Answers)
		text := fmt.Sprintf("%d of %d answers failed, of the old version %d of %d", n.Failures, n.Answers, w.old.Failures, w.old.Answers)
		d.note(excess, score, n.Failures, minFailures, minFailureExcess, text)
	}
	if !w.timed || w.old.timed() < minCompared || n.timed() == 0 {
		return d
	}
	apart := slowClasses
	if w.lighter {
		apart = lighterSlowClasses
	}
	// Above the old version's 0.9-quantile few answers of a good version lie, however much the service times vary.
	from := max(w.old.quantile(0.5)+apart, w.old.quantile(0.9))
	for c := from; c < histogramSize-1 && !d.bad; c++ {
		slow, oldSlow := n.slower(c), w.old.slower(c)
		excess, score := compare(slow, n.timed(), oldSlow, w.old.timed())
		text := fmt.Sprintf("%d of %d answers took over %v, of the old version %d of %d", slow, n.timed(), classEnd(c).Round(histogramBase), oldSlow, w.old.timed())
		d.note(excess, score, slow, minSlow, minSlowExcess, text)
	}
	return d
}

func (d *difference) note(excess, score float64, count, minCount uint64, minExcess float64, text string) {
	switch {
	case d.bad:
	case count >= minCount && excess >= minExcess && score >= badScore:
		d.bad, d.suspect, d.text = true, true, text
	case !d.suspect && count >= minSuspect && excess >= minExcess && score >= suspectScore:
		d.suspect, d.text = true, text
	}
}

// compare returns by how much the part a of n exceeds the part b of m, and the excess in standard errors. Without answers of the
// old version, that counts as free of faults.
func compare(a, n, b, m uint64) (excess, score float64) {
	if n == 0 {
		return 0, 0
	}
	p, q, weight := float64(a)/float64(n), 0.0, 1/float64(n)
	if m > 0 {
		q = float64(b) / float64(m)
		weight += 1 / float64(m)
	}
	pooled := float64(a+b) / float64(n+m)
	deviation := math.Sqrt(pooled * (1 - pooled) * weight)
	if deviation == 0 {
		return p - q, 0
	}
	return p - q, (p - q) / deviation
}

// oneInstanceAlone reports whether a difference is due to a single instance: the others have answered often enough in this cell
// and show none. Such an instance is at fault itself, for example because its VM is slow.
func (w *view) oneInstanceAlone() bool {
	for id := range w.byNew {
		others := w.pooled(id)
		answered := 0
		for other, t := range w.byNew {
			if other != id && t.Answers > 0 {
				answered++
			}
		}
		if answered >= minOthers && others.Answers >= minOtherAnswers && !w.difference(others).suspect {
			return true
		}
	}
	return false
}

// missing tells which answers are missing for a judgement; empty if none are.
func (e *Evidence) missing(answers uint64) string {
	if answers < minGood {
		return fmt.Sprintf("too few answers: %d of %d", answers, minGood)
	}
	oldRoutes, newRoutes, total := make(map[string]uint64), make(map[string]uint64), uint64(0)
	for c, t := range e.Old {
		oldRoutes[c.Route] += t.Answers
		total += t.Answers
	}
	for _, cells := range e.New {
		for c, t := range cells {
			newRoutes[c.Route] += t.Answers
		}
	}
	for _, route := range slices.Sorted(maps.Keys(oldRoutes)) {
		if float64(oldRoutes[route]) >= usualRoute*float64(total) && newRoutes[route] < minGoodRoute {
			return fmt.Sprintf("too few answers on route %s: %d of %d", route, newRoutes[route], minGoodRoute)
		}
	}
	return ""
}
