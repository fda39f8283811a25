package platform

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// CallKind names a kind of platform call in the counters.
type CallKind string

// Kinds of platform calls.
const (
	CallGet    CallKind = "get"
	CallList   CallKind = "list"
	CallCreate CallKind = "create"
	CallUpdate CallKind = "update"
	CallDelete CallKind = "delete"
	CallWatch  CallKind = "watch"
)

// limitedStore is a Store that passes calls on to next while its token bucket has tokens.
type limitedStore struct {
	next    Store
	bucket  *rate.Limiter
	metrics *metric.Set
}

// Limit returns a store that takes one token from a bucket for each call and rejects the call with Limited when the
// bucket is empty. A call never waits for a token: the caller decides whether and when to retry. The counters are
// platform.calls.KIND for calls passed on and platform.limited.KIND for calls rejected.
func Limit(next Store, perSecond float64, burst int, metrics *metric.Set) Store {
	return &limitedStore{next: next, bucket: rate.NewLimiter(rate.Limit(perSecond), burst), metrics: metrics}
}

func (l *limitedStore) takeToken(call CallKind) error {
	if !l.bucket.Allow() {
		l.metrics.Counter("platform.limited." + string(call)).Inc(1)
		return fault.New(fault.Limited, "platform "+string(call), "local rate limit of platform calls reached", "try again later")
	}
	l.metrics.Counter("platform.calls." + string(call)).Inc(1)
	return nil
}

func (l *limitedStore) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	if err := l.takeToken(CallGet); err != nil {
		return Object{}, err
	}
	return l.next.Get(ctx, kind, name)
}

func (l *limitedStore) List(ctx context.Context, kind ObjectKind) ([]Object, error) {
	if err := l.takeToken(CallList); err != nil {
		return nil, err
	}
	return l.next.List(ctx, kind)
}

func (l *limitedStore) Create(ctx context.Context, obj Object) (Object, error) {
	if err := l.takeToken(CallCreate); err != nil {
		return Object{}, err
	}
	return l.next.Create(ctx, obj)
}

func (l *limitedStore) Update(ctx context.Context, obj Object) (Object, error) {
	if err := l.takeToken(CallUpdate); err != nil {
		return Object{}, err
	}
	return l.next.Update(ctx, obj)
}

func (l *limitedStore) Delete(ctx context.Context, kind ObjectKind, name, version string) error {
	if err := l.takeToken(CallDelete); err != nil {
		return err
	}
	return l.next.Delete(ctx, kind, name, version)
}

func (l *limitedStore) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	if err := l.takeToken(CallWatch); err != nil {
		return err
	}
	return l.next.Watch(ctx, kind, name, version, handle)
}
