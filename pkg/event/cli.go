package event

import "github.com/rs/zerolog"

// Events of the operators' command line.
var (
	NoteRecognised = define(1700, "note_recognised", zerolog.InfoLevel, "the head holds the release note already; it is not applied again", "")
	NoteRace       = define(1701, "note_race", zerolog.InfoLevel, "another release note was accepted first; this one is checked again", "")
	AnswerLost     = define(1702, "answer_lost", zerolog.WarnLevel, "the platform did not answer a write; the head is read again",
		"If the submit fails, submit the same note again; it is applied at most once.")
	WaitInterrupted = define(1703, "wait_interrupted", zerolog.WarnLevel, "the status cannot be read while a submit waits; it is read again", "")
)
