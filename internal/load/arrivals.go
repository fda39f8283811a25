package load

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"
)

// source draws the arrivals of one class. Each class has its own random streams, so that a change to one class leaves
// the others as they were.
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

// advance draws the next arrival. Exponential gaps have no memory, so a gap that crosses the start or the end of a
// flood is drawn again from there at the new rate.
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

// rateAt returns the rate at t and when it changes; 0 means never.
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

// serviceTime draws a service time: half of the mean is fixed and half exponential, so that it has a tail but no
// request is free.
func (s *source) serviceTime() time.Duration {
	mean := float64(s.class.ServiceTime)
	return time.Duration(mean/2 + s.demand.ExpFloat64()*mean/2)
}

// Arrivals yields the requests of the profile in order of time.
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
