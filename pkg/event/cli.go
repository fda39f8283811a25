package event

import "github.com/rs/zerolog"

// Events of the operator command line.
var (
	NoteRecognised = define(1700, "note_recognised", zerolog.InfoLevel,
		"the head object already contains the release note; it is not applied again", "")
	NoteRace = define(1701, "note_race", zerolog.InfoLevel,
		"another release note was accepted first; this one is checked again on top of it", "")
	AnswerLost = define(1702, "answer_lost", zerolog.WarnLevel,
		"the platform did not respond to a write; the head object is read again",
		"If the submit fails, submit the same note again; it is applied at most once.")
	WaitInterrupted = define(1703, "wait_interrupted", zerolog.WarnLevel,
		"reading the status failed while a submit waits for it; it is retried", "")
)
