package idempotency

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

const (
	// maxPendingDeletes bounds the claims that wait for their deletion. It covers more than one window of claims at the
	// default rate. When it is reached no claim is made, since its object would stay on the platform.
	maxPendingDeletes = 8192
	// deletePollInterval is the time between checks for claims whose deletion is due.
	deletePollInterval = time.Second
	// deleteTimeout bounds the calls of one deletion. It is also the delay before a failed deletion is tried again.
	deleteTimeout = 2 * time.Second
)

// claimSpec is the content of a claim object.
type claimSpec struct {
	Claimant    string `json:"claimant"`
	Incarnation uint64 `json:"incarnation"`
	Attempt     uint64 `json:"attempt"`
}

func specOf(c Claim) claimSpec {
	return claimSpec{Claimant: string(c.Claimant.ID), Incarnation: c.Claimant.Incarnation, Attempt: c.Attempt}
}

// PlatformClaim is a claim object on the platform that must be deleted. Version is empty if it is not known.
type PlatformClaim struct {
	Name    string
	Version string
	// Owner is the claim that the object must contain to be deleted if Version is empty.
	Owner ClaimOwner
	// Left is the time until the deletion is due.
	Left time.Duration
}

// ClaimOwner identifies an attempt and all earlier ones of its claimant.
type ClaimOwner struct {
	Claimant Claimant
	Attempt  uint64
}

type pendingDelete struct {
	claim PlatformClaim
	dueAt time.Time
}

// platformClaims creates claim objects on the platform and deletes them, both at a limited rate.
type platformClaims struct {
	store platform.Store
	clock clock.Clock
	log   zerolog.Logger
	// deleteOthersAfter is the time after which the claim of another claimant is deleted, in case that claimant does not
	// do it.
	deleteOthersAfter time.Duration
	// timeout bounds a create and, separately, the calls that follow a conflict or a lost reply.
	timeout time.Duration
	creates *rate.Limiter
	deletes *rate.Limiter

	mu      sync.Mutex // guards pending
	pending map[pendingKey]pendingDelete
}

// pendingKey includes the claimant so that a node can have deletions pending for its own claim on a key and for another
// claimant's.
type pendingKey struct {
	name     string
	claimant Claimant
}

func (c *PlatformClaim) key() pendingKey { return pendingKey{c.Name, c.Owner.Claimant} }

func newPlatformClaims(o *Options) *platformClaims {
	return &platformClaims{
		store: o.Store, clock: o.Clock, log: o.Log,
		deleteOthersAfter: o.MaxWindow + 2*o.MaxMembershipLag, timeout: o.ClaimTimeout,
		creates: rate.NewLimiter(o.PlatformRate, o.PlatformBurst),
		deletes: rate.NewLimiter(o.PlatformRate, o.PlatformBurst), pending: make(map[pendingKey]pendingDelete),
	}
}

// claim creates the key's claim object, unless there is one, and returns the claimant that the object names. Only that
// claimant may run the request.
func (p *platformClaims) claim(ctx context.Context, c Claim) (Claimant, error) {
	const op = "idempotency: claim on the platform"
	if !p.creates.AllowN(p.clock.Now(), 1) {
		return Claimant{}, fault.New(fault.Limited, op, "the rate limit is reached", "send the request again later")
	}
	if !p.scheduleExpiry(c) {
		return Claimant{}, fault.New(fault.Limited, op, "too many claims wait for deletion", "send the request again later")
	}
	spec, err := json.Marshal(specOf(c))
	if err != nil {
		return Claimant{}, fault.Wrap(fault.Internal, op, err, "report this error")
	}
	createCtx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	obj, err := p.store.Create(createCtx, platform.Object{Kind: platform.KindKeyClaim, Name: c.Key.String(), Spec: spec})
	if err == nil {
		p.setVersion(c, obj.Version)
		return c.Claimant, nil
	}
	if !fault.Is(err, fault.Conflict) && !fault.Is(err, fault.Unavailable) {
		return Claimant{}, err
	}
	return p.readBack(ctx, c, spec)
}

// readBack returns the claimant that the claim object names after a conflict or a lost reply. An object from an earlier
// attempt of the same claimant is updated, so that a deletion for that attempt which is still in progress fails.
func (p *platformClaims) readBack(ctx context.Context, c Claim, spec []byte) (Claimant, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	obj, err := p.store.Get(ctx, platform.KindKeyClaim, c.Key.String())
	if err != nil {
		return Claimant{}, err
	}
	var found claimSpec
	if err := json.Unmarshal(obj.Spec, &found); err != nil {
		return Claimant{}, fault.Wrap(fault.Invalid, "idempotency: read claim "+obj.Name, err, "delete the object")
	}
	owner := claimantOf(found)
	if owner != c.Claimant {
		p.scheduleDelete(PlatformClaim{
			Name: obj.Name, Version: obj.Version, Owner: ClaimOwner{Claimant: owner}, Left: p.deleteOthersAfter,
		})
		return owner, nil
	}
	if found.Attempt != c.Attempt {
		obj.Spec = spec
		if obj, err = p.store.Update(ctx, obj); err != nil {
			return Claimant{}, err
		}
	}
	p.setVersion(c, obj.Version)
	return c.Claimant, nil
}

func claimantOf(s claimSpec) Claimant {
	return Claimant{ID: membership.InstanceID(s.Claimant), Incarnation: s.Incarnation}
}

// scheduleExpiry schedules the deletion of the claim after its window, before it is known whether the create succeeds.
// It reports false if too many deletions are pending.
func (p *platformClaims) scheduleExpiry(c Claim) bool {
	return p.scheduleDelete(PlatformClaim{Name: c.Key.String(), Owner: ClaimOwner{c.Claimant, c.Attempt}, Left: c.Keep})
}

// setVersion sets the version of a claim whose deletion is scheduled.
func (p *platformClaims) setVersion(c Claim, version string) {
	p.scheduleDelete(PlatformClaim{
		Name: c.Key.String(), Version: version, Owner: ClaimOwner{c.Claimant, c.Attempt}, Left: c.Keep,
	})
}

// withdraw schedules the immediate deletion of the claim of an attempt that did not run the request.
func (p *platformClaims) withdraw(c Claim) {
	p.scheduleDelete(PlatformClaim{Name: c.Key.String(), Owner: ClaimOwner{c.Claimant, c.Attempt}})
}

// scheduleDelete schedules the deletion of a claim after its Left. It reports false if too many deletions are pending.
func (p *platformClaims) scheduleDelete(c PlatformClaim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[c.key()]; !ok && len(p.pending) >= maxPendingDeletes {
		return false
	}
	p.pending[c.key()] = pendingDelete{claim: c, dueAt: p.clock.Now().Add(c.Left)}
	return true
}

// rescheduleDelete schedules a failed deletion again, unless another deletion for the same key and claimant is pending
// by now.
func (p *platformClaims) rescheduleDelete(c PlatformClaim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.pending[c.key()]; !ok {
		p.pending[c.key()] = pendingDelete{claim: c, dueAt: p.clock.Now().Add(deleteTimeout)}
	}
}

// takeAll removes and returns all pending deletions, for a hand-over.
func (p *platformClaims) takeAll() []PlatformClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	out := make([]PlatformClaim, 0, len(p.pending))
	for _, d := range p.pending {
		d.claim.Left = max(0, d.dueAt.Sub(now))
		out = append(out, d.claim)
	}
	clear(p.pending)
	return out
}

// takeDue removes and returns the deletions that are due.
func (p *platformClaims) takeDue() []PlatformClaim {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var out []PlatformClaim
	for key, d := range p.pending {
		if !d.dueAt.After(now) {
			out = append(out, d.claim)
			delete(p.pending, key)
		}
	}
	return out
}

// deleteDueClaims deletes claims when they are due, until ctx ends.
func (p *platformClaims) deleteDueClaims(ctx context.Context) {
	tick := time.NewTicker(deletePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, c := range p.takeDue() {
			if p.deletes.Wait(ctx) != nil {
				return
			}
			if err := p.delete(ctx, c); err != nil {
				event.KeyClaimDeleteFailed.Write(event.KeyClaimDeleteFailed.Log(&p.log).Err(err))
				p.rescheduleDelete(c)
			}
		}
	}
}

// delete deletes the claim object unless it now belongs to another claimant or a newer attempt.
func (p *platformClaims) delete(ctx context.Context, c PlatformClaim) error {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	if c.Version == "" {
		obj, err := p.store.Get(ctx, platform.KindKeyClaim, c.Name)
		if err != nil {
			return ignoreFault(err, fault.NotFound)
		}
		var found claimSpec
		if json.Unmarshal(obj.Spec, &found) != nil || claimantOf(found) != c.Owner.Claimant || found.Attempt > c.Owner.Attempt {
			return nil
		}
		c.Version = obj.Version
	}
	err := p.store.Delete(ctx, platform.KindKeyClaim, c.Name, c.Version)
	return ignoreFault(ignoreFault(err, fault.NotFound), fault.Conflict)
}

func ignoreFault(err error, kind fault.Kind) error {
	if fault.Is(err, kind) {
		return nil
	}
	return err
}
