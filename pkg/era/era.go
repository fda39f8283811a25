// Package era tells the histories of a store apart. When a store comes back from an earlier copy of itself, it has lost changes
// and gives their revisions out again. It counts that: a revision names a change only together with the era of the store in
// which it was given out. The package does no I/O.
package era

import (
	"cmp"
	"context"
	"sync"
)

// Number counts how often a store has come back from a copy. For a store that does not tell it, it is zero throughout.
type Number uint64

// Position is a point in the history of a store, or the point at which an object was last changed.
type Position struct {
	Era      Number
	Revision uint64
}

// Compare returns -1, 0 or 1 if p is before, at or after q. Any position of a later era is after those of earlier ones: what was
// read in it is what the store holds since it has come back, however small its revision is.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Tracker knows the latest era that any answer of the store, or another node, has told. It is safe for concurrent use.
type Tracker struct {
	// OnRaise, if set, is called when the store is found to have come back from a copy. It must not block. It is not called for the
	// first era that becomes known.
	OnRaise func(before, now Number)

	mu     sync.Mutex
	latest Number
	// known is set once an era has been told, and restores counts the raises since then.
	known    bool
	restores uint64
	// raised is closed and replaced when latest rises.
	raised chan struct{}
}

// NewTracker returns a tracker that knows no era.
func NewTracker() *Tracker { return &Tracker{raised: make(chan struct{})} }

// Latest returns the latest known era, or zero if none is known.
func (t *Tracker) Latest() Number {
	latest, _ := t.state()
	return latest
}

// Restores returns how often the store was found to have come back from a copy. The first era that becomes known does not count.
func (t *Tracker) Restores() uint64 {
	_, restores := t.state()
	return restores
}

// Observe takes in an era that an answer of the store or another node has told.
func (t *Tracker) Observe(n Number) {
	t.mu.Lock()
	before, first := t.latest, !t.known
	t.known = true
	if n > before {
		if !first {
			t.restores++
		}
		t.latest = n
		close(t.raised)
		t.raised = make(chan struct{})
	}
	t.mu.Unlock()
	if n > before && !first && t.OnRaise != nil {
		t.OnRaise(before, n)
	}
}

// Ended returns a channel that is closed once an era later than n is known.
func (t *Tracker) Ended(n Number) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.latest > n {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	return t.raised
}

// EachRestore calls handle after each restore of the store, with the era that began with it, until ctx ends. Restores that follow while
// handle runs are taken together.
func (t *Tracker) EachRestore(ctx context.Context, handle func(ctx context.Context, now Number)) {
	known, handled := t.state()
	for {
		select {
		case <-t.Ended(known):
		case <-ctx.Done():
			return
		}
		before := handled
		if known, handled = t.state(); handled != before { // The first era that becomes known is no restore.
			handle(ctx, known)
		}
	}
}

func (t *Tracker) state() (latest Number, restores uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latest, t.restores
}
