package directory

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// putTimeout bounds one write of the own record. After it the record goes to the other nodes directly.
const putTimeout = 500 * time.Millisecond

// Publisher writes the record of the own instance to the store, latest state only, until the store holds it.
type Publisher struct {
	State *State
	Store Store
	Log   zerolog.Logger
	// Offer passes a record to the other nodes while the store does not take it.
	Offer func(ctx context.Context, in membership.Instance)

	mu     sync.Mutex
	latest membership.Instance
	stored membership.Instance
	wake   chan struct{}
}

// NewPublisher returns a publisher without a record.
func NewPublisher(s *State, store Store, log zerolog.Logger, offer func(context.Context, membership.Instance)) *Publisher {
	return &Publisher{State: s, Store: store, Log: log, Offer: offer, wake: make(chan struct{}, 1)}
}

// Set changes the record. It does not block.
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

// Stored takes the own record as the store holds it. A write whose answer was lost may take effect late and bring an
// older record back; the record is then written again.
func (p *Publisher) Stored(in membership.Instance) {
	p.mu.Lock()
	p.stored = in
	again := p.latest.ID != "" && supersedes(p.latest, in)
	p.mu.Unlock()
	if again {
		p.signal()
	}
}

// Removed notes that the store no longer holds the record.
func (p *Publisher) Removed() {
	p.mu.Lock()
	p.stored = membership.Instance{}
	p.mu.Unlock()
}

// Latest returns the record.
func (p *Publisher) Latest() membership.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest
}

// exists reports whether the store has held a record of the instance.
func (p *Publisher) exists() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stored.ID != "" && p.stored.State != membership.StateDeparted
}

// due returns the record if the store does not hold it yet.
func (p *Publisher) due() (membership.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest, p.latest.ID != "" && supersedes(p.latest, p.stored)
}

// Run writes changes until ctx ends.
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

// flush writes until the store holds the latest record.
func (p *Publisher) flush(ctx context.Context) {
	for pause := firstBackoff; ctx.Err() == nil; pause = min(2*pause, lastBackoff) {
		in, ok := p.due()
		if !ok {
			return
		}
		err := p.Write(ctx, in)
		if err == nil {
			pause = firstBackoff
			continue
		}
		event.RecordNotStored.Write(event.RecordNotStored.Log(&p.Log).Err(err).Str("state", in.State.String()).Uint64("sequence", in.Sequence))
		p.Offer(ctx, in)
		clock.Sleep(ctx, pause/2+rand.N(pause/2))
	}
}

// Write puts a record into the store; a departed instance's object is removed.
func (p *Publisher) Write(ctx context.Context, in membership.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	if in.State == membership.StateDeparted {
		if err := p.Store.Delete(ctx, platform.KindInstance, string(in.ID)); err != nil {
			return err
		}
	} else {
		spec, err := encodeRecord(in)
		if err != nil {
			return err
		}
		write := p.Store.Put
		if !p.exists() {
			write = p.Store.Create
		}
		if err := write(ctx, platform.KindInstance, string(in.ID), spec); err != nil {
			return err
		}
	}
	p.mu.Lock()
	if supersedes(in, p.stored) {
		p.stored = in
	}
	p.mu.Unlock()
	event.RecordStored.Write(event.RecordStored.Log(&p.Log).Str("state", in.State.String()).Str("backend", in.BackendID).
		Uint64("incarnation", in.Incarnation).Uint64("sequence", in.Sequence))
	return nil
}
