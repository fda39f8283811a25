// Package load generates open-loop HTTP load, classifies each response and reports the results by rank.
package load

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Limits of a run.
const (
	// MaxDuration and MaxRequests limit every run. A profile or trace beyond them is invalid.
	MaxDuration = 10 * time.Minute
	MaxRequests = 1_000_000
	// MaxInFlight is the highest limit that a run can set for its requests in flight, each with a connection and a
	// goroutine. A request beyond the limit of the run is not sent and counts as dropped.
	MaxInFlight          = 4096
	defaultMaxInFlight   = 1024
	defaultTimeout       = 5 * time.Second
	maxBodyBytes         = 1 << 20
	maxRequestsPerSecond = 100_000
)

// Profile describes the load of a run.
type Profile struct {
	Name string `yaml:"name"`
	// Seed determines the arrival and service times, so that a run can be repeated.
	Seed        uint64          `yaml:"seed"`
	Duration    config.Duration `yaml:"duration"`
	MaxRequests int             `yaml:"maxRequests"`
	MaxInFlight int             `yaml:"maxInFlight"`
	Classes     []Class         `yaml:"classes"`
}

// Class is a kind of request. Its arrivals are a Poisson process.
type Class struct {
	Name   string `yaml:"name"`
	Path   string `yaml:"path"`
	Method string `yaml:"method"`
	// Rate is the mean number of arrivals per second.
	Rate     float64 `yaml:"rate"`
	BodySize int     `yaml:"bodySize"`
	// Keyed states that the requests carry an Idempotency-Key.
	Keyed bool `yaml:"keyed"`
	// Target is the longest latency at which an answered request counts as in target.
	Target config.Duration `yaml:"target"`
	// Timeout is the time after which the client gives up.
	Timeout config.Duration `yaml:"timeout"`
	// Rank is the urgency of the requests, from 0, the most urgent, to config.MaxRank.
	Rank int `yaml:"rank"`
	// Worth is the weight of one request in the sums of a report.
	Worth int `yaml:"worth"`
	// GuaranteedShare is the fraction of the slot time that is reserved for the rank. Only the simulations of package
	// replay use it.
	GuaranteedShare float64 `yaml:"guaranteedShare"`
	// ServiceTime is the mean service time that the backend stand-in simulates. 0 leaves it to the stand-in.
	ServiceTime config.Duration `yaml:"serviceTime"`
	// Opaque states that responses do not repeat the request ID, so crossed responses cannot be detected.
	Opaque bool              `yaml:"opaque"`
	Header map[string]string `yaml:"header"`
	Flood  *Flood            `yaml:"flood"`
}

// Flood multiplies the rate of a class by Factor from Start to End.
type Flood struct {
	Factor float64         `yaml:"factor"`
	Start  config.Duration `yaml:"start"`
	End    config.Duration `yaml:"end"`
}

// ParseProfile parses a profile from YAML, sets defaults and checks it. Unknown keys are errors.
func ParseProfile(data []byte) (Profile, error) {
	var p Profile
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(&p); err != nil {
		return p, fault.Wrap(fault.Invalid, "load profile", err, "correct the line that the error names")
	}
	p.setDefaults()
	return p, p.check()
}

func (p *Profile) setDefaults() {
	if p.MaxRequests == 0 {
		p.MaxRequests = MaxRequests
	}
	if p.MaxInFlight == 0 {
		p.MaxInFlight = defaultMaxInFlight
	}
	for i := range p.Classes {
		c := &p.Classes[i]
		if c.Method == "" {
			c.Method = http.MethodGet
		}
		if c.Timeout == 0 {
			c.Timeout = config.Duration(defaultTimeout)
		}
	}
}

func (p Profile) check() error {
	var errs []error
	require := func(ok bool, what, remedy string) {
		if !ok {
			errs = append(errs, fault.New(fault.Invalid, "load profile", what, remedy))
		}
	}
	require(p.Duration > 0 && p.Duration.Std() <= MaxDuration, "duration is out of range", fmt.Sprintf("use a duration above 0 and up to %s", MaxDuration))
	require(p.MaxRequests > 0 && p.MaxRequests <= MaxRequests, "maxRequests is out of range", fmt.Sprintf("use 1 to %d", MaxRequests))
	require(p.MaxInFlight > 0 && p.MaxInFlight <= MaxInFlight, "maxInFlight is out of range", fmt.Sprintf("use 1 to %d", MaxInFlight))
	require(len(p.Classes) > 0, "no classes", "add at least one class")
	for _, c := range p.Classes {
		prefix := "class " + c.Name + ": "
		require(c.Name != "", "a class has no name", "name each class")
		require(len(c.Path) > 0 && c.Path[0] == '/', prefix+"path does not start with /", "use an absolute path")
		require(c.Rate > 0 && c.Rate <= maxRequestsPerSecond, prefix+"rate is out of range", fmt.Sprintf("use a rate above 0 and up to %d requests per second", maxRequestsPerSecond))
		require(c.BodySize >= 0 && c.BodySize <= maxBodyBytes, prefix+"bodySize is out of range", fmt.Sprintf("use 0 to %d bytes", maxBodyBytes))
		require(c.Target > 0, prefix+"target is not above 0", "set the longest latency that is in target")
		require(c.Timeout > 0 && c.Timeout.Std() <= time.Minute, prefix+"timeout is out of range", "use a duration above 0 and up to 1m")
		require(c.Rank >= 0 && c.Rank <= config.MaxRank, prefix+"rank is out of range", fmt.Sprintf("use 0 to %d", config.MaxRank))
		require(c.GuaranteedShare >= 0 && c.GuaranteedShare <= 1, prefix+"guaranteedShare is out of range", "use 0 to 1")
		require(c.ServiceTime >= 0, prefix+"serviceTime is below 0", "use 0 or more")
		if f := c.Flood; f != nil {
			require(f.Factor > 0 && f.Factor*c.Rate <= maxRequestsPerSecond, prefix+"flood factor is out of range", fmt.Sprintf("use a factor above 0, with factor x rate up to %d requests per second", maxRequestsPerSecond))
			require(f.Start >= 0 && f.End > f.Start, prefix+"flood start or end is out of range", "set start to 0 or more and end after start")
		}
	}
	return errors.Join(errs...)
}
