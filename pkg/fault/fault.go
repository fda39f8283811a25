// Package fault defines the typed errors of monsoonlatch. An error names the operation that failed and what an operator
// or a caller can do about it.
package fault

import (
	"errors"
	"fmt"
)

// Kind classifies an error by what the receiver can do about it.
type Kind string

const (
	// Invalid marks input that must be corrected before it is sent again.
	Invalid Kind = "invalid"
	// Conflict marks a conditional update that failed because another writer was faster, or content that contradicts
	// what is already accepted.
	Conflict Kind = "conflict"
	// NotFound marks a name that does not exist.
	NotFound Kind = "not_found"
	// Unavailable marks a peer or the platform that could not be reached or did not respond. A write may or may not
	// have taken effect.
	Unavailable Kind = "unavailable"
	// Limited marks a request that exceeded a rate or size limit and may be sent again later.
	Limited Kind = "limited"
	// Forbidden marks a request from a sender that has no permission for it.
	Forbidden Kind = "forbidden"
	// Stale marks a version, incarnation or sequence that is older than one already accepted.
	Stale Kind = "stale"
	// Internal marks a broken invariant.
	Internal Kind = "internal"
)

// Error is an error with a kind and a remedy.
type Error struct {
	Kind   Kind
	Op     string
	Detail string
	Remedy string
	Err    error
}

// New returns an Error without an underlying error.
func New(kind Kind, op, detail, remedy string) *Error {
	return &Error{Kind: kind, Op: op, Detail: detail, Remedy: remedy}
}

// Wrap returns an Error that wraps err.
func Wrap(kind Kind, op string, err error, remedy string) *Error {
	return &Error{Kind: kind, Op: op, Err: err, Remedy: remedy}
}

func (e *Error) Error() string {
	msg := e.Op
	if e.Detail != "" {
		msg = fmt.Sprintf("%s: %s", msg, e.Detail)
	}
	if e.Err != nil {
		msg = fmt.Sprintf("%s: %v", msg, e.Err)
	}
	if e.Remedy == "" {
		return msg
	}
	return fmt.Sprintf("%s; remedy: %s", msg, e.Remedy)
}

func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or Internal if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}

// Is reports whether err is not nil and has the given kind. Errors without a kind count as Internal.
func Is(err error, kind Kind) bool {
	return err != nil && KindOf(err) == kind
}
