package release

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/status"
)

const (
	// maxAttempts bounds the writes of one submit. Each lost race means that another note was accepted.
	maxAttempts = 64
	// maxFailures bounds how many calls in a row may fail before the submit gives up on the platform.
	maxFailures = 6
	minBackoff  = 20 * time.Millisecond
	maxBackoff  = 2 * time.Second
	// staleReads is how often a head that is older than what nodes serve is read again before it counts as restored.
	staleReads = 3
)

// Option changes how a note is submitted.
type Option func(*submission)

// WithLog writes the submit's events to a log.
func WithLog(log *zerolog.Logger) Option { return func(s *submission) { s.log = log } }

// RaiseAbove gives the next version a number above v. An operator uses it after the platform was restored to a state
// older than what nodes have served; nodes refuse versions at or below the ones that they know.
func RaiseAbove(v config.Version) Option { return func(s *submission) { s.above = v } }

// Result is an accepted note.
type Result struct {
	Record config.NoteRecord `json:"record"`
	// Recognised states that the head held the note already: it was not applied a second time.
	Recognised bool `json:"recognised"`
	// Rebased is how many races against other notes were lost before the note was accepted.
	Rebased int `json:"rebased"`
}

// submission is the state of one Submit.
type submission struct {
	store  platform.Store
	note   config.ReleaseNote
	digest string
	log    *zerolog.Logger
	above  config.Version

	// first is the version that the note was first checked against; false in hasFirst means none was read yet.
	first    config.Version
	hasFirst bool
	// served is the highest version that nodes reported before the head was read.
	served     config.Version
	readServed bool
	raced      int
	failures   int
	stale      int
	// uncertain states that a write was sent whose outcome is not known; uncertainAt is the version it replaces.
	uncertain   bool
	uncertainAt config.Version
}

// Submit applies the note to the head by conditional update. The outcome is one of: the note is accepted as one new
// version; it is recognised as accepted before; or it is refused and nothing has changed. An Unavailable error leaves
// the outcome open: submit the same note again, it is applied at most once.
func Submit(ctx context.Context, store platform.Store, note config.ReleaseNote, options ...Option) (Result, error) {
	digest, err := note.Digest()
	if err != nil {
		return Result{}, err
	}
	nop := zerolog.Nop()
	s := &submission{store: store, note: note, digest: digest, log: &nop}
	for _, o := range options {
		o(s)
	}
	for range maxAttempts {
		result, again, err := s.attempt(ctx)
		if !again {
			return result, s.final(err)
		}
		if err := sleep(ctx, s.failures+s.raced+s.stale); err != nil {
			return Result{}, s.final(fault.Wrap(fault.Unavailable, "submit "+note.ID, err, "submit the same note again"))
		}
	}
	return Result{}, s.final(fault.New(fault.Conflict, "submit "+note.ID, fmt.Sprintf("lost %d races in a row", maxAttempts),
		"submit the same note again when fewer notes are submitted"))
}

// final adds to an error that an earlier write of this submit may have taken effect.
func (s *submission) final(err error) error {
	if err == nil || !s.uncertain {
		return err
	}
	return fault.Wrap(fault.Unavailable, "submit "+s.note.ID+": the outcome of an earlier write is unknown", err,
		"submit the same note again; it is applied at most once")
}

// attempt reads the head, checks the note against it and writes the next head once.
func (s *submission) attempt(ctx context.Context) (result Result, again bool, err error) {
	if err := s.readServedVersion(ctx); err != nil {
		return Result{}, s.retryable(ctx, err), err
	}
	b, err := readBase(ctx, s.store)
	if err != nil {
		return Result{}, s.retryable(ctx, err), err
	}
	if result, done, err := s.recognise(b.head); done {
		return result, false, err
	}
	if again, err := s.refuseRestored(b.head); again || err != nil {
		return Result{}, again, err
	}
	next, err := s.next(b.head)
	if err != nil {
		return Result{}, false, err
	}
	err = b.write(ctx, s.store, next)
	switch {
	case err == nil:
		record, _ := next.Note(s.note.ID)
		return Result{Record: record, Rebased: s.raced}, false, nil
	case fault.Is(err, fault.Conflict):
		s.raced++
		s.failures = 0
		event.NoteRace.Write(event.NoteRace.Log(s.log).Str("note", s.note.ID).Uint64("version", uint64(b.head.Version)))
		return Result{}, true, nil
	case fault.Is(err, fault.Unavailable):
		s.uncertain, s.uncertainAt = true, b.head.Version
		event.AnswerLost.Write(event.AnswerLost.Log(s.log).Str("note", s.note.ID).Err(err))
	}
	return Result{}, s.retryable(ctx, err), err
}

// retryable reports whether a failed call is worth another attempt.
func (s *submission) retryable(ctx context.Context, err error) bool {
	s.failures++
	return ctx.Err() == nil && s.failures < maxFailures && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Limited))
}

// recognise ends the submit when the head knows the note's id.
func (s *submission) recognise(head config.Head) (Result, bool, error) {
	record, ok := head.Note(s.note.ID)
	// A head that has moved on without the note cannot take the earlier write any more.
	s.uncertain = s.uncertain && !ok && head.Version == s.uncertainAt
	if !ok {
		return Result{}, false, nil
	}
	if record.Digest != s.digest {
		return Result{}, true, fault.New(fault.Conflict, "submit "+s.note.ID,
			fmt.Sprintf("a note with this id and other content was accepted as version %d from %s", record.Version, record.Author),
			"choose another id")
	}
	event.NoteRecognised.Write(event.NoteRecognised.Log(s.log).Str("note", record.ID).Uint64("version", uint64(record.Version)))
	return Result{Record: record, Recognised: true, Rebased: s.raced}, true, nil
}

// readServedVersion reads once what nodes serve. It does so before the head is read, so that a higher version is not one
// that was accepted in between.
func (s *submission) readServedVersion(ctx context.Context) error {
	if s.readServed {
		return nil
	}
	zones, _, err := readZones(ctx, s.store)
	if err != nil {
		return err
	}
	s.served, s.readServed = status.HighestVersion(zones), true
	return nil
}

// refuseRestored detects a platform that was restored to an older state: nodes report a version that the head has not
// reached, and would refuse the next one. A stale read looks the same, so the head is read again first.
func (s *submission) refuseRestored(head config.Head) (again bool, err error) {
	if s.served <= max(head.Version, s.above) {
		return false, nil
	}
	if s.stale++; s.stale <= staleReads {
		return true, nil
	}
	return false, fault.New(fault.Stale, "submit "+s.note.ID,
		fmt.Sprintf("the head has version %d, but nodes serve version %d; the platform seems to be restored to an older state", head.Version, s.served),
		fmt.Sprintf("submit the notes that were lost again, the first one with --raise-above=%d", s.served))
}

// next returns the head with the note applied, unless another note won a race for the same names.
func (s *submission) next(head config.Head) (config.Head, error) {
	winners := s.winners(head)
	if !s.hasFirst {
		s.first, s.hasFirst = head.Version, true
	}
	for _, w := range winners {
		if both := w.Touched.Overlap(s.note.Touched()); !both.Empty() {
			return config.Head{}, fault.New(fault.Conflict, "submit "+s.note.ID,
				fmt.Sprintf("release note %s from %s won as version %d and touches %s too", w.ID, w.Author, w.Version, both),
				"read what it changed, correct this note and submit it under a new id")
		}
	}
	head.Version = max(head.Version, s.above)
	next, err := head.Accept(s.note)
	if err != nil && len(winners) > 0 {
		ids := make([]string, len(winners))
		for i, w := range winners {
			ids[i] = w.ID
		}
		return config.Head{}, errors.Join(fault.New(fault.Invalid, "submit "+s.note.ID,
			"the note no longer fits after release note "+strings.Join(ids, ", ")+" won", "correct the note and submit it again"), err)
	}
	return next, err
}

// winners lists the notes accepted since the head that this submit first read.
func (s *submission) winners(head config.Head) []config.NoteRecord {
	var out []config.NoteRecord
	for _, r := range head.Notes {
		if s.hasFirst && r.Version > s.first {
			out = append(out, r)
		}
	}
	return out
}

// sleep waits with full jitter before attempt n+1.
func sleep(ctx context.Context, n int) error {
	limit := min(maxBackoff, minBackoff<<min(n, 10))
	timer := time.NewTimer(rand.N(limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
