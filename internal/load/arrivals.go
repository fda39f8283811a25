package load

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// classArrivals generates the arrivals of one class. Each class has its own random number generators, so a change to
// one class does not change the arrivals of the others.
type classArrivals struct {
	class         *Class
	gapRandom     *rand.Rand
	serviceRandom *rand.Rand
	nextTime      time.Duration
}

func newClassArrivals(c *Class, seed, index uint64) *classArrivals {
	a := &classArrivals{class: c, gapRandom: rand.New(rand.NewPCG(seed, 2*index)), serviceRandom: rand.New(rand.NewPCG(seed, 2*index+1))}
	a.advance()
	return a
}

// advance generates the next arrival time. The gaps are exponentially distributed and thus memoryless, so a gap that
// crosses the start or end of a flood is drawn again from that point at the new rate.
func (a *classArrivals) advance() {
	for {
		rate, until := a.class.rateAt(a.nextTime)
		at := a.nextTime + time.Duration(a.gapRandom.ExpFloat64()/rate*float64(time.Second))
		if until == 0 || at < until {
			a.nextTime = at
			return
		}
		a.nextTime = until
	}
}

// rateAt returns the rate at t and the time at which it changes next, 0 if it does not change any more.
func (c *Class) rateAt(t time.Duration) (float64, time.Duration) {
	switch f := c.Flood; {
	case f == nil || t >= f.End.Std():
		return c.Rate, 0
	case t < f.Start.Std():
		return c.Rate, f.Start.Std()
	default:
		return c.Rate * f.Factor, f.End.Std()
	}
}

// serviceTime returns a random service time: half of the mean is constant and half exponentially distributed, so the
// distribution has a tail but no value near zero.
func (a *classArrivals) serviceTime() time.Duration {
	mean := float64(a.class.ServiceTime)
	return time.Duration(mean/2 + a.serviceRandom.ExpFloat64()*mean/2)
}

// Arrivals yields the requests of the profile in order of arrival time.
func (p Profile) Arrivals() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		streams := make([]*classArrivals, len(p.Classes))
		for i := range p.Classes {
			streams[i] = newClassArrivals(&p.Classes[i], p.Seed, uint64(i))
		}
		for n := range p.MaxRequests {
			earliest := streams[0]
			for _, s := range streams[1:] {
				if s.nextTime < earliest.nextTime {
					earliest = s
				}
			}
			if earliest.nextTime >= p.Duration.Std() || !yield(earliest.record(n)) {
				return
			}
			earliest.advance()
		}
	}
}

func (a *classArrivals) record(n int) Record {
	c := a.class
	return Record{
		AtUs: a.nextTime.Microseconds(), ID: fmt.Sprintf("r%d", n), Class: c.Name, Method: c.Method, Path: c.Path,
		BodySize: c.BodySize, Keyed: c.Keyed, Opaque: c.Opaque, Header: c.Header, Rank: c.Rank, Worth: c.Worth,
		TargetUs: c.Target.Std().Microseconds(), TimeoutUs: c.Timeout.Std().Microseconds(),
		ServiceUs: a.serviceTime().Microseconds(),
	}
}
