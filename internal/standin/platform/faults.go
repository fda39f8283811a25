package platform

import (
	"net/http"
	"time"
)

// Faults are the fault switches. The zero value is a platform that works.
type Faults struct {
	// Down cuts each request, and each open watch, without an answer.
	Down bool `json:"down,omitempty"`
	// SlowMillis delays each request; a delayed write takes effect even if its client has gone.
	SlowMillis int `json:"slowMillis,omitempty"`
	// LoseAnswers is how many of the next writes take effect without an answer; below 0 means all.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// StaleReads answers reads from the state at the time when the switch was set.
	StaleReads bool `json:"staleReads,omitempty"`
	// ExpireWatches ends open and new watches with 410.
	ExpireWatches bool `json:"expireWatches,omitempty"`
	// SilentWatches keeps open and new watches open without events, bookmarks or an end.
	SilentWatches bool `json:"silentWatches,omitempty"`
}

// Counts is the number of calls by kind. A watch counts once, however long it waits.
type Counts struct {
	Get    int64 `json:"get"`
	List   int64 `json:"list"`
	Create int64 `json:"create"`
	Update int64 `json:"update"`
	Delete int64 `json:"delete"`
	Watch  int64 `json:"watch"`
	Other  int64 `json:"other"`
}

// Total returns the number of all calls.
func (c Counts) Total() int64 {
	return c.Get + c.List + c.Create + c.Update + c.Delete + c.Watch + c.Other
}

// Writes returns the number of calls that can change an object.
func (c Counts) Writes() int64 { return c.Create + c.Update + c.Delete }

// SetFaults replaces all fault switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && s.stale == nil {
		s.stale = s.state.clone()
	}
	if !f.StaleReads {
		s.stale = nil
	}
	s.faults = f
	s.wake()
}

// Faults returns the fault switches.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Save remembers the present state for a later Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.saved = s.state.clone()
}

// Restore returns to the saved state, or to an empty one, with its version numbers, and expires open watches.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = newState(s.state.keep)
	if s.saved != nil {
		s.state = s.saved.clone()
	}
	s.epoch++
	s.wake()
}

// Counts returns the calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// wake makes open watches look at the state again. The caller holds the lock.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// delay applies SlowMillis and cuts the request while the platform is down.
func (s *Server) delay() {
	f := s.Faults()
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	if s.Faults().Down {
		cut()
	}
}

// cut closes the connection without an answer.
func cut() { panic(http.ErrAbortHandler) }

// losesAnswer reports whether the answer of the write in progress is lost. The caller holds the lock.
func (s *Server) losesAnswer() bool {
	switch {
	case s.faults.LoseAnswers == 0:
		return false
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
	}
	return true
}
