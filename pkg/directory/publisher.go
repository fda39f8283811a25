package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// writeTimeout is the timeout for one write of the own record. After a failed write the record is sent to the other
// nodes directly.
const writeTimeout = 500 * time.Millisecond

// readOwnTimeout is the timeout for one read of the own record.
const readOwnTimeout = 500 * time.Millisecond

// Publisher writes the record of the own instance to the store and retries until it is stored. Only the latest state is
// written; superseded states are skipped. It replaces only an object that it has read or written itself: a write without a response
// may be carried out seconds later, and must not replace a newer record then.
type Publisher struct {
	State *State
	Store Store
	Log   zerolog.Logger
	// Offer sends a record to the other nodes directly. It is called when a write to the store fails.
	Offer func(ctx context.Context, in membership.Instance)
	// OnRead, if set, is called with each record that Read finds, before it can be replaced.
	OnRead func(membership.Instance)

	mu     sync.Mutex
	latest membership.Instance
	// stored is the record that the store holds, as far as is known. Each change of it closes and replaces storedChange.
	stored       membership.Instance
	storedChange chan struct{}
	// version is the version of the object in the store as last read or written by this node; it is empty if the object is not
	// known to exist.
	version string
	wake    chan struct{}
}

// NewPublisher returns a publisher that has no record yet.
func NewPublisher(s *State, store Store, log zerolog.Logger, offer func(ctx context.Context, in membership.Instance)) *Publisher {
	return &Publisher{State: s, Store: store, Log: log, Offer: offer, wake: make(chan struct{}, 1), storedChange: make(chan struct{})}
}

// Set replaces the record to write. It does not block.
func (p *Publisher) Set(in membership.Instance) {
	p.mu.Lock()
	p.latest = in
	p.mu.Unlock()
	p.State.Merge(in)
	p.signal()
}

func (p *Publisher) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// ObserveStored processes the own record as read from the store. Another writer may have replaced it, or an older record may have
// come back; in that case the latest record is written again.
func (p *Publisher) ObserveStored(in membership.Instance) {
	p.setStored(in)
	if _, rewrite := p.unstored(); rewrite {
		p.signal()
	}
}

// ObserveRemoved records that the store no longer holds the record.
func (p *Publisher) ObserveRemoved() {
	p.setStored(membership.Instance{})
	p.setVersion("")
}

func (p *Publisher) setVersion(version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = version
}

func (p *Publisher) setStored(in membership.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stored = in
	close(p.storedChange)
	p.storedChange = make(chan struct{})
}

// AwaitStored blocks until the store holds the record of a leaving backend server, or a newer one that says the same. It returns the
// context's error if ctx ends first. Other nodes do not count, since all processes may end at once. A write that waits for its
// next attempt is tried again at once.
func (p *Publisher) AwaitStored(ctx context.Context, in membership.Instance) error {
	p.signal()
	for {
		p.mu.Lock()
		done, changed := !supersedes(in, p.stored) && sameLeaving(in, p.stored), p.storedChange
		p.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sameLeaving reports whether two records say that the same start of a backend server leaves.
func sameLeaving(a, b membership.Instance) bool {
	return a.BackendLeaving && b.BackendLeaving && a.BackendID == b.BackendID && a.BackendStarted == b.BackendStarted
}

// unstored returns the latest record and whether it still has to be written to the store.
func (p *Publisher) unstored() (membership.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.latest.ID != "" && supersedes(p.latest, p.stored)
}

// Run writes changed records to the store until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	for {
		select {
		case <-p.wake:
			p.flush(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// flush retries the write until the store holds the latest record or ctx ends.
func (p *Publisher) flush(ctx context.Context) {
	conflict := false
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		in, ok := p.unstored()
		if !ok {
			return
		}
		err := p.Write(ctx, in)
		if fault.Is(err, fault.Conflict) || fault.Is(err, fault.NotFound) {
			again := conflict // Another writer changes the object time and again, or the store contradicts itself.
			conflict = true
			if _, _, readErr := p.Read(ctx, in.ID); readErr == nil && !again {
				continue
			}
		}
		if err == nil {
			backoff, conflict = minBackoff, false
			continue
		}
		event.RecordNotStored.Write(event.RecordNotStored.Log(&p.Log).Err(err).Str("state", in.State.String()).Uint64("sequence", in.Sequence))
		p.Offer(ctx, in)
		select {
		case <-p.wake: // A newer record is not held up by the backoff of this one.
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
		}
	}
}

// Read returns the own record in the store, currently. An object that does not hold a record counts as none. After a conflict it is
// the record of an earlier run, a late write of it, or one of another writer.
func (p *Publisher) Read(ctx context.Context, self membership.InstanceID) (in membership.Instance, found bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readOwnTimeout)
	defer cancel()
	obj, err := p.Store.Get(ctx, platform.KindInstance, string(self))
	if fault.Is(err, fault.NotFound) {
		p.ObserveRemoved()
		return in, false, nil
	}
	if err != nil {
		return in, false, err
	}
	p.setVersion(obj.Version)
	if in, err = decodeRecord(obj); err != nil {
		event.RecordRefused.Write(event.RecordRefused.Log(&p.Log).Err(err))
		p.setStored(membership.Instance{})
		return membership.Instance{}, false, nil
	}
	p.ObserveStored(in)
	if p.OnRead != nil {
		p.OnRead(in)
	}
	return in, true, nil
}

// Write stores a record in place of the object that this node knows. That of a departed instance is kept, since this node may
// restart while its backend server still runs, and must not send it requests again.
func (p *Publisher) Write(ctx context.Context, in membership.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	spec, err := encodeRecord(in)
	if err != nil {
		return err
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	if version == "" {
		version, err = p.Store.Create(ctx, platform.KindInstance, string(in.ID), spec)
	} else {
		version, err = p.Store.Put(ctx, platform.KindInstance, string(in.ID), version, spec)
	}
	if err != nil {
		return err
	}
	p.setVersion(version)
	p.setStored(in)
	event.RecordStored.Write(event.RecordStored.Log(&p.Log).Str("state", in.State.String()).Str("backend", in.BackendID).
		Uint64("incarnation", in.Incarnation).Uint64("sequence", in.Sequence))
	return nil
}
