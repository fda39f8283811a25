package load

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// source generates the arrivals of one class. Each class has its own random number generators, so a change to one class
// does not change the arrivals of the others.
type source struct {
	class  *Class
	gaps   *rand.Rand
	demand *rand.Rand
	next   time.Duration
}

func newSource(c *Class, seed, index uint64) *source {
	s := &source{class: c, gaps: rand.New(rand.NewPCG(seed, 2*index)), demand: rand.New(rand.NewPCG(seed, 2*index+1))}
	s.advance()
	return s
}

// advance generates the next arrival time. The gaps are exponentially distributed and thus memoryless, so a gap that
// crosses the start or end of a flood is drawn again from that point at the new rate.
func (s *source) advance() {
	for {
		rate, until := s.class.rateAt(s.next)
		at := s.next + time.Duration(s.gaps.ExpFloat64()/rate*float64(time.Second))
		if until == 0 || at < until {
			s.next = at
			return
		}
		s.next = until
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
func (s *source) serviceTime() time.Duration {
	mean := float64(s.class.ServiceTime)
	return time.Duration(mean/2 + s.demand.ExpFloat64()*mean/2)
}

// Arrivals yields the requests of the profile in order of arrival time.
func (p Profile) Arrivals() iter.Seq[Record] {
	return func(yield func(Record) bool) {
		sources := make([]*source, len(p.Classes))
		for i := range p.Classes {
			sources[i] = newSource(&p.Classes[i], p.Seed, uint64(i))
		}
		for n := range p.MaxRequests {
			first := sources[0]
			for _, s := range sources[1:] {
				if s.next < first.next {
					first = s
				}
			}
			if first.next >= p.Duration.Std() || !yield(first.record(n)) {
				return
			}
			first.advance()
		}
	}
}

func (s *source) record(n int) Record {
	c := s.class
	return Record{
		AtUs: s.next.Microseconds(), ID: fmt.Sprintf("r%d", n), Class: c.Name, Method: c.Method, Path: c.Path,
		BodySize: c.BodySize, Keyed: c.Keyed, Opaque: c.Opaque, Header: c.Header, Rank: c.Rank, Worth: c.Worth,
		TargetUs: c.Target.Std().Microseconds(), TimeoutUs: c.Timeout.Std().Microseconds(),
		ServiceUs: s.serviceTime().Microseconds(),
	}
}
