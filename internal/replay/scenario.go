package replay

import (
	"fmt"
	"iter"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/load"
	"github.com/monsoonlatch/monsoonlatch/pkg/admission"
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Times of a scenario, from its start. The measured window starts one second after the start of the flood, to leave out
// the transition, and ends with the flood.
const (
	floodStart       = 2 * time.Second
	windowStart      = 3 * time.Second
	floodEnd         = 8 * time.Second
	scenarioDuration = 9 * time.Second
	// The rates of a profile are meant for one instance with referenceSlots slots. A scenario scales them to its own
	// number of slots.
	referenceSlots = 20
)

// Scenario is a load profile, scaled to the size of a service, in which one class floods.
type Scenario struct {
	Profile   load.Profile
	Instances int
	Slots     int
	// FloodClass is the name of the flooding class. During the flood, its load is FloodFactor times the capacity of all
	// instances.
	FloodClass  string
	FloodFactor float64
	Seed        uint64
	Settings    admission.Settings
}

// Arrivals returns the requests of the scenario in order of arrival time.
func (s Scenario) Arrivals() (iter.Seq[load.Record], error) {
	p := s.Profile
	p.Seed, p.Duration = s.Seed, config.Duration(scenarioDuration)
	p.Classes = append([]load.Class(nil), p.Classes...)
	found := false
	for i := range p.Classes {
		c := &p.Classes[i]
		c.Rate *= float64(s.Instances*s.Slots) / referenceSlots
		c.Flood = nil
		if c.Name == s.FloodClass && c.ServiceTime > 0 {
			found = true
			capacity := float64(s.Instances*s.Slots) / c.ServiceTime.Std().Seconds()
			c.Flood = &load.Flood{Factor: s.FloodFactor * capacity / c.Rate, Start: config.Duration(floodStart), End: config.Duration(floodEnd)}
		}
	}
	if !found {
		return nil, fault.New(fault.Invalid, "scenario", fmt.Sprintf("class %q with a serviceTime does not exist", s.FloodClass),
			"name a class of the profile that has a serviceTime")
	}
	return p.Arrivals(), nil
}

// Shares returns the guaranteed share of each rank: the largest of the shares of its classes, since a rank has a single
// share.
func Shares(p load.Profile) map[int]float64 {
	shares := make(map[int]float64)
	for _, c := range p.Classes {
		shares[c.Rank] = max(shares[c.Rank], c.GuaranteedShare)
	}
	return shares
}

// Run simulates the scenario with the ranked queue, or with a FIFO queue.
func (s Scenario) Run(fifo bool) (Result, error) {
	arrivals, err := s.Arrivals()
	if err != nil {
		return Result{}, err
	}
	return Run(arrivals, Settings{Instances: s.Instances, Slots: s.Slots, Seed: s.Seed, From: windowStart, To: floodEnd,
		NewDiscipline: s.discipline(fifo)}), nil
}

func (s Scenario) discipline(fifo bool) func() admission.Discipline {
	settings := s.Settings
	settings.Slots, settings.WarmStart, settings.Shares = s.Slots, true, Shares(s.Profile)
	if fifo {
		return func() admission.Discipline { return admission.NewFIFO(settings) }
	}
	return func() admission.Discipline { return admission.New(settings) }
}

// FloodRank returns the rank of the flooding class.
func (s Scenario) FloodRank() int {
	for _, c := range s.Profile.Classes {
		if c.Name == s.FloodClass {
			return c.Rank
		}
	}
	return 0
}
