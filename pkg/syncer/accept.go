package syncer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Verdict is an acceptor's decision on an offered configuration.
type Verdict uint8

// Verdicts, with the reason for each.
const (
	// Unchanged: the configuration is in force already.
	Unchanged Verdict = iota
	// Accepted: the configuration is in force now.
	Accepted
	// Older: the version is lower than the one in force.
	Older
	// Conflicting: the version is the one in force and the hash differs.
	Conflicting
	// Invalid: the configuration does not match its stated hash or fails validation.
	Invalid
	// Mismatch: the deltas do not start at the version in force, or their result does not have the stated hash.
	Mismatch
)

// Acceptor decides which configuration is in force. The version in force never decreases.
type Acceptor struct {
	mu       sync.Mutex
	current  atomic.Pointer[config.Snapshot]
	rejected atomic.Uint64
}

// NewAcceptor returns an acceptor with no configuration in force.
func NewAcceptor() *Acceptor { return &Acceptor{} }

// Current returns the snapshot in force, or nil.
func (a *Acceptor) Current() *config.Snapshot { return a.current.Load() }

// State returns version and hash of the configuration in force, and the version last rejected as invalid.
func (a *Acceptor) State() ConfigState {
	s := ConfigState{Refused: config.Version(a.rejected.Load())}
	if c := a.current.Load(); c != nil {
		s.Version, s.Hash = c.Version, Hash(c.Hash)
	}
	return s
}

// Update offers an update received from another node.
func (a *Acceptor) Update(u ConfigUpdate) (Verdict, error) {
	if u.Whole != nil {
		return a.UpdateWhole(*u.Whole)
	}
	return a.updateDeltas(u.Deltas)
}

// UpdateWhole offers a whole configuration.
func (a *Acceptor) UpdateWhole(w WholeConfig) (Verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v, err := a.compare(w.Version, w.Hash); v != Accepted {
		return v, err
	}
	hash, err := w.Configuration.Hash()
	if err == nil && hash != w.Hash {
		err = fault.New(fault.Invalid, fmt.Sprintf("configuration version %d", w.Version),
			"the content does not match the stated hash", "restore the head object from its last valid state")
	}
	if err != nil {
		return a.reject(w.Version, err)
	}
	return a.install(w)
}

// compare compares version and hash with those in force. It returns Accepted if the version is newer.
func (a *Acceptor) compare(version config.Version, hash string) (Verdict, error) {
	cur := a.current.Load()
	switch {
	case cur == nil || version > cur.Version:
		return Accepted, nil
	case version < cur.Version:
		return Older, fault.New(fault.Stale, fmt.Sprintf("configuration version %d", version),
			fmt.Sprintf("version %d is in force", cur.Version),
			"raise the version of the head object above the version in force")
	case hash != cur.Hash:
		return Conflicting, fault.New(fault.Conflict, fmt.Sprintf("configuration version %d", version),
			"another configuration with this version is in force",
			"find out which head object is the right one and submit a release note on it")
	}
	return Unchanged, nil
}

func (a *Acceptor) updateDeltas(deltas []config.Delta) (Verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cur := a.current.Load()
	if len(deltas) == 0 {
		return Unchanged, nil
	}
	last := deltas[len(deltas)-1]
	if v, err := a.compare(last.To, last.ToHash); v != Accepted {
		return v, err
	}
	if cur == nil {
		return Mismatch, fault.New(fault.Stale, "apply configuration delta", "no configuration is in force",
			"ask for the whole configuration")
	}
	next, at := cur.Configuration, cur.Version
	for _, d := range deltas {
		if d.From != at {
			return Mismatch, fault.New(fault.Stale, "apply configuration delta",
				fmt.Sprintf("the delta starts at version %d, want %d", d.From, at), "ask for the whole configuration")
		}
		var err error
		if next, err = d.Apply(next); err != nil {
			return Mismatch, err
		}
		at = d.To
	}
	return a.install(WholeConfig{Version: last.To, Hash: last.ToHash, Configuration: next})
}

func (a *Acceptor) install(w WholeConfig) (Verdict, error) {
	snapshot, err := config.Build(w.Version, w.Hash, w.Configuration)
	if err != nil {
		return a.reject(w.Version, err)
	}
	a.current.Store(snapshot)
	return Accepted, nil
}

func (a *Acceptor) reject(version config.Version, err error) (Verdict, error) {
	a.rejected.Store(uint64(version))
	return Invalid, err
}
