// Package clock separates code that needs the time from the system clock.
package clock

import "time"

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// System is the clock of the operating system.
type System struct{}

// Now returns the current time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }
