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
	// maxAttempts limits the attempts of one submit. Each conflict means that another note was accepted first.
	maxAttempts = 64
	// maxConsecutiveFailures is the number of consecutive failed calls after which the submit gives up.
	maxConsecutiveFailures = 6
	minBackoff             = 20 * time.Millisecond
	maxBackoff             = 2 * time.Second
	// maxStaleReads is how often a head older than the version that nodes serve is read again, since the read may be
	// stale, before the submit concludes that the platform was restored to an older state.
	maxStaleReads = 3
)

// Option configures Submit.
type Option func(*submission)

// WithLog sets the logger for the events of the submit.
func WithLog(log *zerolog.Logger) Option { return func(s *submission) { s.log = log } }

// RaiseAbove makes the version of the note exceed v. Operators use it after the platform was restored to a state older
// than the configuration of the nodes, because nodes reject versions that are not higher than their own.
func RaiseAbove(v config.Version) Option { return func(s *submission) { s.raiseAbove = v } }

// Result describes an accepted release note.
type Result struct {
	Record config.NoteRecord `json:"record"`
	// Recognised reports that the head already contained the note, so that it was not applied again.
	Recognised bool `json:"recognised"`
	// Rebased is the number of write conflicts with other notes before the note was accepted.
	Rebased int `json:"rebased"`
}

// submission is the state of one call of Submit.
type submission struct {
	store      platform.Store
	note       config.ReleaseNote
	digest     string
	log        *zerolog.Logger
	raiseAbove config.Version

	// firstVersion is the head version that the note was first checked against. It is not set while
	// hasFirstVersion is false.
	firstVersion    config.Version
	hasFirstVersion bool
	// servedVersion is the highest version that nodes report. It is read once, before the head.
	servedVersion       config.Version
	hasServedVersion    bool
	conflicts           int
	consecutiveFailures int
	staleReads          int
	// outcomeUnknown reports that the outcome of a write is unknown; unknownWriteBase is the head
	// version that it replaces.
	outcomeUnknown   bool
	unknownWriteBase config.Version
}

// Submit applies the note to the head with a conditional update. The note is either accepted as one new version,
// recognised as already accepted, or rejected without any change. After an Unavailable error the outcome is unknown; it
// is safe to submit the same note again, since it is applied at most once.
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
		result, retry, err := s.attempt(ctx)
		if !retry {
			return result, s.withUnknownOutcome(err)
		}
		if err := backOff(ctx, s.consecutiveFailures+s.conflicts+s.staleReads); err != nil {
			return Result{}, s.withUnknownOutcome(fault.Wrap(fault.Unavailable, "submit "+note.ID, err, "submit the same note again"))
		}
	}
	return Result{}, s.withUnknownOutcome(fault.New(fault.Conflict, "submit "+note.ID, fmt.Sprintf("not accepted after %d attempts because of concurrent release notes", maxAttempts),
		"submit the same note again when fewer notes are being submitted"))
}

// withUnknownOutcome adds to an error that an earlier write of this submit may have taken effect, if that is the case.
func (s *submission) withUnknownOutcome(err error) error {
	if err == nil || !s.outcomeUnknown {
		return err
	}
	return fault.Wrap(fault.Unavailable, "submit "+s.note.ID+": the outcome of an earlier write is unknown", err,
		"submit the same note again; it is applied at most once")
}

// attempt reads the head, checks the note against it and tries once to write the next head. retry reports whether the
// caller should make another attempt.
func (s *submission) attempt(ctx context.Context) (result Result, retry bool, err error) {
	if err := s.readServedVersion(ctx); err != nil {
		return Result{}, s.countFailure(ctx, err), err
	}
	stored, err := readStoredHead(ctx, s.store)
	if err != nil {
		return Result{}, s.countFailure(ctx, err), err
	}
	if result, done, err := s.checkAccepted(stored.head); done {
		return result, false, err
	}
	if retry, err := s.checkRestored(stored.head); retry || err != nil {
		return Result{}, retry, err
	}
	next, err := s.nextHead(stored.head)
	if err != nil {
		return Result{}, false, err
	}
	err = stored.write(ctx, s.store, next)
	switch {
	case err == nil:
		record, _ := next.Note(s.note.ID)
		return Result{Record: record, Rebased: s.conflicts}, false, nil
	case fault.Is(err, fault.Conflict):
		s.conflicts++
		s.consecutiveFailures = 0
		event.NoteRace.Write(event.NoteRace.Log(s.log).Str("note", s.note.ID).Uint64("version", uint64(stored.head.Version)))
		return Result{}, true, nil
	case fault.Is(err, fault.Unavailable):
		s.outcomeUnknown, s.unknownWriteBase = true, stored.head.Version
		event.AnswerLost.Write(event.AnswerLost.Log(s.log).Str("note", s.note.ID).Err(err))
	}
	return Result{}, s.countFailure(ctx, err), err
}

// countFailure counts a failed call and reports whether to make another attempt.
func (s *submission) countFailure(ctx context.Context, err error) bool {
	s.consecutiveFailures++
	return ctx.Err() == nil && s.consecutiveFailures < maxConsecutiveFailures && (fault.Is(err, fault.Unavailable) || fault.Is(err, fault.Limited))
}

// checkAccepted reports whether the submit is complete because the head already contains a note with this id. A note
// with different content under the same id is a conflict.
func (s *submission) checkAccepted(head config.Head) (Result, bool, error) {
	record, ok := head.Note(s.note.ID)
	// The earlier write was conditional on unknownWriteBase, so it can no longer succeed if the head has another version.
	s.outcomeUnknown = s.outcomeUnknown && !ok && head.Version == s.unknownWriteBase
	if !ok {
		return Result{}, false, nil
	}
	if record.Digest != s.digest {
		return Result{}, true, fault.New(fault.Conflict, "submit "+s.note.ID,
			fmt.Sprintf("a release note with the same id but different content was accepted as version %d, submitted by %s", record.Version, record.Author),
			"choose another id")
	}
	event.NoteRecognised.Write(event.NoteRecognised.Log(s.log).Str("note", record.ID).Uint64("version", uint64(record.Version)))
	return Result{Record: record, Recognised: true, Rebased: s.conflicts}, true, nil
}

// readServedVersion reads the highest version that nodes serve, once per submit. It runs before the head is read, so
// that a served version above the head's cannot be one that was accepted between the two reads.
func (s *submission) readServedVersion(ctx context.Context) error {
	if s.hasServedVersion {
		return nil
	}
	zones, _, err := readZoneStatuses(ctx, s.store)
	if err != nil {
		return err
	}
	s.servedVersion, s.hasServedVersion = status.HighestVersion(zones), true
	return nil
}

// checkRestored detects a platform that was restored to an older state: nodes report a higher version than the head's
// and would reject the next version. A stale read of the head looks the same, so it asks for further reads first.
func (s *submission) checkRestored(head config.Head) (retry bool, err error) {
	if s.servedVersion <= max(head.Version, s.raiseAbove) {
		return false, nil
	}
	if s.staleReads++; s.staleReads <= maxStaleReads {
		return true, nil
	}
	return false, fault.New(fault.Stale, "submit "+s.note.ID,
		fmt.Sprintf("the head has version %d, but nodes serve version %d; the platform was probably restored to an older state", head.Version, s.servedVersion),
		fmt.Sprintf("submit the lost release notes again, the first one with --raise-above=%d", s.servedVersion))
}

// nextHead applies the note to the head. It fails if a note accepted since the first attempt affects the same items.
func (s *submission) nextHead(head config.Head) (config.Head, error) {
	accepted := s.acceptedSinceFirstRead(head)
	if !s.hasFirstVersion {
		s.firstVersion, s.hasFirstVersion = head.Version, true
	}
	for _, r := range accepted {
		if overlap := r.Touched.Overlap(s.note.Touched()); !overlap.Empty() {
			return config.Head{}, fault.New(fault.Conflict, "submit "+s.note.ID,
				fmt.Sprintf("release note %s from %s was accepted first as version %d and also affects %s", r.ID, r.Author, r.Version, overlap),
				"review its changes, correct this note and submit it under a new id")
		}
	}
	head.Version = max(head.Version, s.raiseAbove)
	next, err := head.Accept(s.note)
	if err != nil && len(accepted) > 0 {
		ids := make([]string, len(accepted))
		for i, r := range accepted {
			ids[i] = r.ID
		}
		return config.Head{}, errors.Join(fault.New(fault.Invalid, "submit "+s.note.ID,
			"the note is no longer valid after release note "+strings.Join(ids, ", ")+" was accepted", "correct the note and submit it again"), err)
	}
	return next, err
}

// acceptedSinceFirstRead returns the notes accepted since this submit first read the head.
func (s *submission) acceptedSinceFirstRead(head config.Head) []config.NoteRecord {
	var out []config.NoteRecord
	for _, r := range head.Notes {
		if s.hasFirstVersion && r.Version > s.firstVersion {
			out = append(out, r)
		}
	}
	return out
}

// backOff waits before the next attempt: exponential backoff in n with full jitter.
func backOff(ctx context.Context, n int) error {
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
