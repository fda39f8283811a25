// Package event defines the numbered log events. docs/events.md lists them for operators; a test checks that the page
// and the code agree.
//
// Number ranges: 1000 kernel, 1100 configuration and synchronisation, 1200 relay, 1300 data path, 1400 idempotency,
// 1500 platform, 1600 admin and announcements, 1700 command line and roll-outs, 1800 stand-ins and load generator (none yet).
package event

import "github.com/rs/zerolog"

// Event is one kind of log entry.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Text is the log message.
	Text string
	// Action tells the operator what to do. It is empty if nothing needs to be done.
	Action string
}

// Log starts a log entry. The caller adds fields and passes the entry to Write.
func (e Event) Log(l *zerolog.Logger) *zerolog.Event {
	return l.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// Write completes the entry with the event's text and emits it.
func (e Event) Write(z *zerolog.Event) { z.Msg(e.Text) }

var catalogue []Event

// define adds an event to the catalogue.
func define(number int, name string, level zerolog.Level, text, action string) Event {
	e := Event{Number: number, Name: name, Level: level, Text: text, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events.
func Catalogue() []Event { return catalogue }
