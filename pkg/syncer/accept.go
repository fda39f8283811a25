package syncer

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Verdict is the result of an offered configuration.
type Verdict uint8

// Verdicts of an acceptor.
const (
	// Unchanged: the configuration is in force already.
	Unchanged Verdict = iota
	// Accepted: the configuration is in force now.
	Accepted
	// Older: the version is lower than the one in force.
	Older
	// Conflicting: the version is the one in force and the hash differs.
	Conflicting
	// Invalid: the configuration does not have its stated hash or does not pass its checks.
	Invalid
	// Mismatch: the deltas do not lead from the configuration in force to their stated hash.
	Mismatch
)

// Acceptor decides which configuration is in force. The version in force never falls.
type Acceptor struct {
	mu      sync.Mutex
	current atomic.Pointer[config.Snapshot]
	refused atomic.Uint64
}

// NewAcceptor returns an acceptor without a configuration.
func NewAcceptor() *Acceptor { return &Acceptor{} }

// Current returns the snapshot in force, or nil.
func (a *Acceptor) Current() *config.Snapshot { return a.current.Load() }

// State returns what messages say about the configuration in force.
func (a *Acceptor) State() ConfigState {
	s := ConfigState{Refused: config.Version(a.refused.Load())}
	if c := a.current.Load(); c != nil {
		s.Version, s.Hash = c.Version, Hash(c.Hash)
	}
	return s
}

// Update offers what another node has sent.
func (a *Acceptor) Update(u ConfigUpdate) (Verdict, error) {
	if u.Whole != nil {
		return a.Whole(*u.Whole)
	}
	return a.deltas(u.Deltas)
}

// Whole offers a whole configuration.
func (a *Acceptor) Whole(w WholeConfig) (Verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if v, err := a.compare(w.Version, w.Hash); v != Accepted {
		return v, err
	}
	hash, err := w.Configuration.Hash()
	if err == nil && hash != w.Hash {
		err = fault.New(fault.Invalid, fmt.Sprintf("configuration version %d", w.Version), "the content does not have the stated hash",
			"restore the head object from the last good state")
	}
	if err != nil {
		return a.refuse(w.Version, err)
	}
	return a.swap(w)
}

// compare returns Accepted if the version may come into force.
func (a *Acceptor) compare(version config.Version, hash string) (Verdict, error) {
	cur := a.current.Load()
	switch {
	case cur == nil || version > cur.Version:
		return Accepted, nil
	case version < cur.Version:
		return Older, fault.New(fault.Stale, fmt.Sprintf("configuration version %d", version),
			fmt.Sprintf("version %d is in force", cur.Version), "raise the version of the head above the one in force")
	case hash != cur.Hash:
		return Conflicting, fault.New(fault.Conflict, fmt.Sprintf("configuration version %d", version),
			"another configuration with this version is in force", "submit a release note on the right head")
	}
	return Unchanged, nil
}

func (a *Acceptor) deltas(ds []config.Delta) (Verdict, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	cur := a.current.Load()
	if len(ds) == 0 {
		return Unchanged, nil
	}
	last := ds[len(ds)-1]
	if v, err := a.compare(last.To, last.ToHash); v != Accepted {
		return v, err
	}
	if cur == nil {
		return Mismatch, fault.New(fault.Stale, "configuration delta", "no configuration is in force", "ask for the whole configuration")
	}
	next, at := cur.Configuration, cur.Version
	for _, d := range ds {
		if d.From != at {
			return Mismatch, fault.New(fault.Stale, "configuration delta",
				fmt.Sprintf("it starts from version %d, not from %d", d.From, at), "ask for the whole configuration")
		}
		var err error
		if next, err = d.Apply(next); err != nil {
			return Mismatch, err
		}
		at = d.To
	}
	return a.swap(WholeConfig{Version: last.To, Hash: last.ToHash, Configuration: next})
}

func (a *Acceptor) swap(w WholeConfig) (Verdict, error) {
	snapshot, err := config.Build(w.Version, w.Hash, w.Configuration)
	if err != nil {
		return a.refuse(w.Version, err)
	}
	a.current.Store(snapshot)
	return Accepted, nil
}

func (a *Acceptor) refuse(version config.Version, err error) (Verdict, error) {
	a.refused.Store(uint64(version))
	return Invalid, err
}
