package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
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

// restoreSpread is the time over which the nodes read their records after the store has come back from a copy, and write those that
// it has lost. 2,100 nodes then make 2,100 calls of each kind a second, a tenth of what the users' store takes for each node.
const restoreSpread = time.Second

// Publisher writes the record of the own instance to the store and retries until it is stored. Only the latest state is
// written; superseded states are skipped. It replaces only an object that it has read or written itself: a write without a response
// may be carried out seconds later, and must not replace a newer record then. When the store has come back from a copy, it reads
// the record, and writes it again if it was lost.
type Publisher struct {
	State *State
	Store Store
	// Eras knows the latest era of the store.
	Eras *era.Tracker
	Log  zerolog.Logger
	// Offer sends a record to the other nodes directly. It is called when a write to the store fails.
	Offer func(ctx context.Context, in membership.Instance)
	// OnRead, if set, is called with each record that Read finds, before it can be replaced.
	OnRead func(membership.Instance)
	// OnLost, if set, is called when the store no longer holds a record that it has held. Other nodes may take the instance for
	// departed until they get a newer record.
	OnLost func()

	mu     sync.Mutex
	latest membership.Instance
	// stored is the record that the store holds, as far as is known, and version that of the object as last read or written by this
	// node; its token is empty if the object is not known to exist. Both are void once the era of the version has ended. Each change
	// closes and replaces storedChange, and storedAt is the time of the last one.
	stored       membership.Instance
	version      Version
	storedAt     time.Time
	storedChange chan struct{}
	// published is the latest record that the store has held in any era. Other nodes know it.
	published membership.Instance
	// informed is set once this run of the node has known the state of its backend server. Until then the records that it writes
	// vouch for no later era than that of the record of the earlier run, recalled; nil means that none was read.
	informed bool
	recalled *era.Number
	wake     chan struct{}
}

// NewPublisher returns a publisher that has no record yet.
func NewPublisher(s *State, store Store, eras *era.Tracker, log zerolog.Logger, offer func(ctx context.Context, in membership.Instance)) *Publisher {
	return &Publisher{State: s, Store: store, Eras: eras, Log: log, Offer: offer, wake: make(chan struct{}, 1), storedChange: make(chan struct{})}
}

// Set replaces the record to write. It does not block.
func (p *Publisher) Set(in membership.Instance) {
	p.mu.Lock()
	p.latest = in
	p.informed = p.informed || in.State == membership.StateReady || in.BackendLeaving
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

// ObserveStored processes the own record as read from the store in an era. Another writer may have replaced it, or an older record
// may have come back; in that case the latest record is written again.
func (p *Publisher) ObserveStored(in membership.Instance, read era.Number) {
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	if version.Era != read {
		version = Version{Era: read} // The object is read before it is replaced.
	}
	p.setStored(in, version)
	if _, rewrite := p.unstored(); rewrite {
		p.signal()
	}
}

// ObserveRemoved records that the store no longer holds the record, as read in an era.
func (p *Publisher) ObserveRemoved(read era.Number) {
	p.setStored(membership.Instance{}, Version{Era: read})
}

// ObserveMissing processes a current listing without the own record, which was requested at the given time. A record that has
// been stored since then is not missing.
func (p *Publisher) ObserveMissing(read era.Number, requested time.Time) {
	p.mu.Lock()
	lost := p.published.ID != "" && (p.version.Era < read || p.stored.ID != "" && p.storedAt.Before(requested))
	p.mu.Unlock()
	if lost {
		p.lose(read)
		p.signal()
	}
}

// lose records that the store has lost the record.
func (p *Publisher) lose(read era.Number) {
	p.ObserveRemoved(read)
	event.RecordLost.Write(event.RecordLost.Log(&p.Log).Uint64("era", uint64(read)))
	if p.OnLost != nil {
		p.OnLost()
	}
}

// setStored takes in what the store holds at a version. What was read in an earlier era than the last time is out of date.
func (p *Publisher) setStored(in membership.Instance, version Version) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version.Era < p.version.Era {
		return
	}
	p.stored, p.version, p.storedAt = in, version, time.Now()
	if supersedes(in, p.published) {
		p.published = in
	}
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
		done, changed := p.current() && !supersedes(in, p.stored) && sameLeaving(in, p.stored), p.storedChange
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

// unstored returns the latest record and whether it still has to be written to the store, or may have to.
func (p *Publisher) unstored() (membership.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.latest.ID != "" && (supersedes(p.latest, p.stored) || !p.current())
}

// current reports whether what is known of the stored record is of the present era. The caller holds mu.
func (p *Publisher) current() bool { return p.stored.ID == "" || p.version.Era >= p.Eras.Latest() }

// Run writes changed records to the store until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	for {
		select {
		case <-p.wake:
		case <-p.eraEnded():
			p.awaitTurn(ctx)
		case <-ctx.Done():
			return
		}
		p.flush(ctx)
	}
}

// eraEnded returns a channel that is closed once the era in which the record was stored has ended, or nil if it is not stored.
func (p *Publisher) eraEnded() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stored.ID == "" {
		return nil
	}
	return p.Eras.Ended(p.version.Era)
}

// awaitTurn spreads the calls that all nodes make after a restore of the store. A record that says that the backend server leaves does
// not wait, since it has been acknowledged, and neither does a change.
func (p *Publisher) awaitTurn(ctx context.Context) {
	p.mu.Lock()
	leaving := p.latest.BackendLeaving
	p.mu.Unlock()
	if leaving {
		return
	}
	select {
	case <-time.After(rand.N(restoreSpread)):
	case <-p.wake:
	case <-ctx.Done():
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
		var err error
		if p.restored() {
			if _, _, err = p.Read(ctx, in.ID); err == nil {
				continue
			}
		} else {
			err = p.Write(ctx, in)
		}
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
		if in.BackendLeaving || p.isNew(in) {
			p.Offer(ctx, in)
		}
		select {
		case <-p.wake: // A newer record is not held up by the backoff of this one.
		case <-time.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
		}
	}
}

// restored reports whether the store has come back from a copy since it held the record. What it holds then is not known.
func (p *Publisher) restored() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.current()
}

// isNew reports whether other nodes cannot know the record from the store.
func (p *Publisher) isNew(in membership.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return supersedes(in, p.published)
}

// Read returns the own record in the store, currently. An object that does not hold a record counts as none. After a conflict it is
// the record of an earlier run, a late write of it, or one of another writer.
func (p *Publisher) Read(ctx context.Context, self membership.InstanceID) (in membership.Instance, found bool, err error) {
	in, found, _, err = p.read(ctx, self)
	return in, found, err
}

// vouchedEra returns the latest era of the store in which this node, or its earlier run, has known all that was acknowledged to its
// backend server.
func (p *Publisher) vouchedEra() era.Number {
	p.mu.Lock()
	defer p.mu.Unlock()
	if latest := p.Eras.Latest(); p.informed || p.recalled == nil || *p.recalled > latest {
		return latest
	}
	return *p.recalled
}

// read is Read. outlived is set if the store has come back from a copy since an era that the record vouches for, so that a departure
// may be lost.
func (p *Publisher) read(ctx context.Context, self membership.InstanceID) (in membership.Instance, found, outlived bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readOwnTimeout)
	defer cancel()
	obj, err := p.Store.Get(ctx, platform.KindInstance, string(self))
	if fault.Is(err, fault.NotFound) {
		if p.restored() {
			p.lose(p.Eras.Latest())
		} else {
			p.ObserveRemoved(p.Eras.Latest())
		}
		return in, false, false, nil
	}
	if err != nil {
		return in, false, false, err
	}
	vouched, told := vouchedEraOf(obj)
	if outlived = told && vouched < obj.Era; told {
		p.mu.Lock()
		p.recalled = &vouched
		p.mu.Unlock()
	}
	if in, err = decodeRecord(obj); err != nil {
		event.RecordRefused.Write(event.RecordRefused.Log(&p.Log).Err(err))
		p.setStored(membership.Instance{}, versionOf(obj))
		return membership.Instance{}, false, outlived, nil
	}
	p.setStored(in, versionOf(obj))
	if _, rewrite := p.unstored(); rewrite {
		p.signal()
	}
	if p.OnRead != nil {
		p.OnRead(in)
	}
	return in, true, outlived, nil
}

// Write stores a record in place of the object that this node knows. That of a departed instance is kept, since this node may
// restart while its backend server still runs, and must not send it requests again.
func (p *Publisher) Write(ctx context.Context, in membership.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	spec, err := encodeRecord(in, p.vouchedEra())
	if err != nil {
		return err
	}
	p.mu.Lock()
	version := p.version
	p.mu.Unlock()
	if version.Token == "" {
		version, err = p.Store.Create(ctx, platform.KindInstance, string(in.ID), spec)
	} else {
		version, err = p.Store.Put(ctx, platform.KindInstance, string(in.ID), version, spec)
	}
	if err != nil {
		return err
	}
	p.setStored(in, version)
	event.RecordStored.Write(event.RecordStored.Log(&p.Log).Str("state", in.State.String()).Str("backend", in.BackendID).
		Uint64("incarnation", in.Incarnation).Uint64("sequence", in.Sequence))
	return nil
}
