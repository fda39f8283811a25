package platform

import (
	"net/http"
	"time"
)

// Faults are the faults that tests inject. The zero value is a platform without faults.
type Faults struct {
	// Down closes the connection of each request and of each open watch without a response.
	Down bool `json:"down,omitempty"`
	// SlowMillis delays each request by this time. A delayed write takes effect even if its client has disconnected.
	SlowMillis int `json:"slowMillis,omitempty"`
	// LoseAnswers is the number of next writes that take effect without a response. A negative value means all writes.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// StaleReads serves reads from the state at the time when this fault was set.
	StaleReads bool `json:"staleReads,omitempty"`
	// ExpireWatches ends open and new watches with 410.
	ExpireWatches bool `json:"expireWatches,omitempty"`
	// SilentWatches keeps open and new watches open without sending events or bookmarks and without a timeout.
	SilentWatches bool `json:"silentWatches,omitempty"`
}

// Counts holds the number of calls by kind. A watch counts as one call, however long it stays open.
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

// SetFaults replaces all injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.StaleReads && s.staleState == nil {
		s.staleState = s.state.clone()
	}
	if !f.StaleReads {
		s.staleState = nil
	}
	s.faults = f
	s.notifyWatches()
}

// Faults returns the injected faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Save saves the current state for a later Restore.
func (s *Server) Save() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.savedState = s.state.clone()
}

// Restore returns to the saved state with its version numbers, or to an empty state if none was saved, and expires open
// watches.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = newState(s.state.minHistory)
	if s.savedState != nil {
		s.state = s.savedState.clone()
	}
	s.epoch++
	s.notifyWatches()
}

// Counts returns the number of calls received so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// notifyWatches makes open watches check the state and the faults again. The caller must hold the lock.
func (s *Server) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// applyRequestFaults applies SlowMillis, and aborts the request while Down is set.
func (s *Server) applyRequestFaults() {
	f := s.Faults()
	if f.SlowMillis > 0 {
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
	}
	if s.Faults().Down {
		abort()
	}
}

// abort aborts the request: it closes the connection without a response.
func abort() { panic(http.ErrAbortHandler) }

// loseResponse reports whether to lose the response to the current write, and counts the loss. The caller must hold the
// lock.
func (s *Server) loseResponse() bool {
	switch {
	case s.faults.LoseAnswers == 0:
		return false
	case s.faults.LoseAnswers > 0:
		s.faults.LoseAnswers--
	}
	return true
}
