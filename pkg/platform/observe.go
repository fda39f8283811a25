package platform

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// observedStore is a Store that logs the start and the end of an outage of the platform and counts failed calls by
// error kind.
type observedStore struct {
	next    Store
	log     *zerolog.Logger
	metrics *metric.Set
	down    atomic.Bool
}

// Observe returns a store that logs outages of next and counts failed calls as platform.failed.KIND. Conflict and
// NotFound are regular results, not failures. Pass the returned store to Limit, not the other way round: calls that the
// local rate limit rejects say nothing about the platform.
func Observe(next Store, log *zerolog.Logger, metrics *metric.Set) Store {
	return &observedStore{next: next, log: log, metrics: metrics}
}

// record records the result of any call except Watch.
func (o *observedStore) record(err error) {
	if errors.Is(err, context.Canceled) {
		return // The caller cancelled the call, which says nothing about the platform.
	}
	kind := fault.KindOf(err)
	if err == nil || kind == fault.Conflict || kind == fault.NotFound {
		if o.down.Swap(false) {
			event.PlatformAnswers.Write(event.PlatformAnswers.Log(o.log))
		}
		return
	}
	o.metrics.Counter("platform.failed." + string(kind)).Inc(1)
	switch kind {
	case fault.Unavailable:
		if !o.down.Swap(true) {
			event.PlatformUnavailable.Write(event.PlatformUnavailable.Log(o.log).Err(err))
		}
	case fault.Forbidden:
		event.PlatformRefuses.Write(event.PlatformRefuses.Log(o.log).Err(err))
	}
}

func (o *observedStore) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	obj, err := o.next.Get(ctx, kind, name)
	o.record(err)
	return obj, err
}

func (o *observedStore) List(ctx context.Context, kind ObjectKind) ([]Object, error) {
	list, err := o.next.List(ctx, kind)
	o.record(err)
	return list, err
}

func (o *observedStore) Create(ctx context.Context, obj Object) (Object, error) {
	out, err := o.next.Create(ctx, obj)
	o.record(err)
	return out, err
}

func (o *observedStore) Update(ctx context.Context, obj Object) (Object, error) {
	out, err := o.next.Update(ctx, obj)
	o.record(err)
	return out, err
}

func (o *observedStore) Delete(ctx context.Context, kind ObjectKind, name, version string) error {
	err := o.next.Delete(ctx, kind, name, version)
	o.record(err)
	return err
}

// Watch logs and counts a broken watch but does not report an outage: one connection may hang while others work.
func (o *observedStore) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	err := o.next.Watch(ctx, kind, name, version, handle)
	if fault.Is(err, fault.Unavailable) && ctx.Err() == nil {
		o.metrics.Counter("platform.watch_broken").Inc(1)
		event.WatchBroken.Write(event.WatchBroken.Log(o.log).Str("object", string(kind)+"/"+name).Err(err))
	}
	return err
}
