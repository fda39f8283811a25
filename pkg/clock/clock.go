// Package clock abstracts the system clock, so that tests can control the time.
package clock

import "time"

// Clock is a source of the current time.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time, including a monotonic clock reading.
func (System) Now() time.Time { return time.Now() }
