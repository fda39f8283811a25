package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Record is one request of a trace. It is stored as a line of JSON with the arrival time and the properties of the
// request and, once it has finished, its outcome.
type Record struct {
	AtUs      int64             `json:"atUs"`
	ID        string            `json:"id"`
	Class     string            `json:"class"`
	Method    string            `json:"method,omitempty"`
	Path      string            `json:"path,omitempty"`
	BodySize  int               `json:"bodySize,omitempty"`
	Keyed     bool              `json:"keyed,omitempty"`
	Opaque    bool              `json:"opaque,omitempty"`
	Header    map[string]string `json:"header,omitempty"`
	Rank      int               `json:"rank"`
	Worth     int               `json:"worth,omitempty"`
	TargetUs  int64             `json:"targetUs"`
	TimeoutUs int64             `json:"timeoutUs"`
	ServiceUs int64             `json:"serviceUs,omitempty"`

	Outcome   Outcome `json:"outcome,omitempty"`
	Reason    string  `json:"reason,omitempty"`
	Status    int     `json:"status,omitempty"`
	LatencyUs int64   `json:"latencyUs,omitempty"`
}

// ArrivalTime returns the arrival time since the start of the run.
func (r Record) ArrivalTime() time.Duration { return microseconds(r.AtUs) }

// Target returns the longest latency that is in target.
func (r Record) Target() time.Duration { return microseconds(r.TargetUs) }

// Timeout returns the time after which the client gives up.
func (r Record) Timeout() time.Duration { return microseconds(r.TimeoutUs) }

// ServiceTime returns the service time of the request.
func (r Record) ServiceTime() time.Duration { return microseconds(r.ServiceUs) }

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func (r Record) check(previous time.Duration) error {
	switch {
	case r.ArrivalTime() < previous:
		return fmt.Errorf("atUs %d is lower than in the previous line", r.AtUs)
	case r.ArrivalTime() > MaxDuration:
		return fmt.Errorf("atUs %d is above the limit of %s", r.AtUs, MaxDuration)
	case r.Rank < 0 || r.Rank > config.MaxRank:
		return fmt.Errorf("rank %d is out of range (0 to %d)", r.Rank, config.MaxRank)
	case r.BodySize < 0 || r.BodySize > maxBodyBytes:
		return fmt.Errorf("bodySize %d is out of range (0 to %d)", r.BodySize, maxBodyBytes)
	case r.TimeoutUs <= 0 || r.Timeout() > time.Minute || r.TargetUs <= 0 || r.ServiceUs < 0:
		return fmt.Errorf("targetUs, timeoutUs or serviceUs is out of range")
	}
	return nil
}

// ReadTrace reads a trace in JSON Lines format and checks each record.
func ReadTrace(in io.Reader) ([]Record, error) {
	const remedy = "correct the line or record the trace again"
	var out []Record
	var previous time.Duration
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		var r Record
		err := json.Unmarshal(lines.Bytes(), &r)
		if err == nil {
			err = r.check(previous)
		}
		if err == nil && n > MaxRequests {
			err = fmt.Errorf("trace has more than %d lines", MaxRequests)
		}
		if err != nil {
			return nil, fault.Wrap(fault.Invalid, fmt.Sprintf("trace line %d", n), err, remedy)
		}
		previous = r.ArrivalTime()
		out = append(out, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fault.Wrap(fault.Invalid, "trace", err, remedy)
	}
	return out, nil
}

// WriteTrace writes records in JSON Lines format.
func WriteTrace(out io.Writer, records []Record) error {
	w := bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write trace: %w", err)
	}
	return nil
}
