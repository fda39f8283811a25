package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// histogramSize is the number of classes of service times. The first one holds all times below histogramBase, each further
	// one is wider by histogramFactor, and the last one holds all longer times: 29 s and more.
	histogramSize   = 24
	histogramBase   = time.Millisecond
	histogramFactor = 1.5625
	// loadLevels is the number of levels of load that are told apart.
	loadLevels = 3
	// maxRoutes limits the routes that a node tells apart; further ones are counted together, so that the size of a report does
	// not grow with the configuration.
	maxRoutes = 16
	// otherRoutes is the name under which further routes are counted.
	otherRoutes = "(other)"
)

// Cell names the requests that are compared with each other: those of one route, run at one level of load.
type Cell struct {
	Route string
	Load  uint8
}

// loadLevel returns the level of load of an instance of which inUse of limit slots are taken.
func loadLevel(inUse, limit int) uint8 {
	switch f := float64(inUse) / float64(max(1, limit)); {
	case f <= 0.4:
		return 0
	case f <= 0.8:
		return 1
	}
	return loadLevels - 1
}

// Tally counts the requests of a cell.
type Tally struct {
	// Answers counts the requests that were run, Failures those among them without a proper answer.
	Answers, Failures uint64
	// Times is the histogram of the service times of proper answers, without those of an instance that has just started.
	Times []uint64
}

// class returns the class of a service time.
func class(took time.Duration) int {
	if took < histogramBase {
		return 0
	}
	return min(histogramSize-1, 1+int(math.Log(float64(took)/float64(histogramBase))/math.Log(histogramFactor)))
}

// classEnd returns the upper end of a class.
func classEnd(c int) time.Duration {
	return time.Duration(float64(histogramBase) * math.Pow(histogramFactor, float64(c)))
}

func (t *Tally) add(o Tally) {
	t.Answers += o.Answers
	t.Failures += o.Failures
	if len(o.Times) != histogramSize {
		return
	}
	if t.Times == nil {
		t.Times = make([]uint64, histogramSize)
	}
	for i, n := range o.Times {
		t.Times[i] += n
	}
}

// since returns what was counted after an earlier state of the tally.
func (t Tally) since(earlier Tally) Tally {
	out := t.clone()
	out.Answers -= min(out.Answers, earlier.Answers)
	out.Failures -= min(out.Failures, earlier.Failures)
	for i := range min(len(out.Times), len(earlier.Times)) {
		out.Times[i] -= min(out.Times[i], earlier.Times[i])
	}
	return out
}

func (t *Tally) clone() Tally {
	out := *t
	out.Times = slices.Clone(t.Times)
	return out
}

// timed returns the number of service times.
func (t *Tally) timed() (n uint64) {
	for _, c := range t.Times {
		n += c
	}
	return n
}

// slower returns the number of service times beyond a class.
func (t *Tally) slower(c int) (n uint64) {
	for i := c + 1; i < len(t.Times); i++ {
		n += t.Times[i]
	}
	return n
}

// quantile returns the class that holds the q-quantile of the service times.
func (t *Tally) quantile(q float64) int {
	want, sum := q*float64(t.timed()), uint64(0)
	for i, c := range t.Times {
		if sum += c; float64(sum) >= want {
			return i
		}
	}
	return histogramSize - 1
}

// Sample is one request that the instance beside a node has run.
type Sample struct {
	Route string
	// InUse and Limit are the slots taken, with this request, and those that there are.
	InUse, Limit int
	// Failed is set if the instance answered with an error, or with nothing that could be passed on.
	Failed bool
	Took   time.Duration
	// Cold is set if the instance had just started.
	Cold bool
}

// tallies counts samples by cell.
type tallies struct {
	cells  map[Cell]*Tally
	routes map[string]bool
}

func newTallies() tallies {
	return tallies{cells: make(map[Cell]*Tally), routes: make(map[string]bool)}
}

func (t *tallies) add(s Sample) {
	route := s.Route
	if !t.routes[route] {
		if len(t.routes) < maxRoutes {
			t.routes[route] = true
		} else {
			route = otherRoutes
		}
	}
	key := Cell{route, loadLevel(s.InUse, s.Limit)}
	c := t.cells[key]
	if c == nil {
		c = &Tally{Times: make([]uint64, histogramSize)}
		t.cells[key] = c
	}
	c.Answers++
	switch {
	case s.Failed:
		c.Failures++
	case !s.Cold:
		c.Times[class(s.Took)]++
	}
}

func (t *tallies) snapshot() map[Cell]Tally {
	out := make(map[Cell]Tally, len(t.cells))
	for k, c := range t.cells {
		out[k] = c.clone()
	}
	return out
}
