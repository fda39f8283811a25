package platform

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// Call names a kind of platform call in the counters.
type Call string

// Kinds of platform calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallCreate Call = "create"
	CallUpdate Call = "update"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
)

// limited is a Store that passes calls on to next while its token bucket has tokens.
type limited struct {
	next    Store
	bucket  *rate.Limiter
	metrics *metric.Set
}

// Limit returns a store that takes one token from a bucket for each call and refuses the call with Limited when the
// bucket is empty. A call never waits for a token: the caller decides whether and when to retry. The counters are
// platform.calls.KIND for calls passed on and platform.limited.KIND for calls refused.
func Limit(next Store, perSecond float64, burst int, metrics *metric.Set) Store {
	return &limited{next: next, bucket: rate.NewLimiter(rate.Limit(perSecond), burst), metrics: metrics}
}

func (l *limited) take(call Call) error {
	if !l.bucket.Allow() {
		l.metrics.Counter("platform.limited." + string(call)).Inc(1)
		return fault.New(fault.Limited, "platform "+string(call), "local rate limit of platform calls reached", "try again later")
	}
	l.metrics.Counter("platform.calls." + string(call)).Inc(1)
	return nil
}

func (l *limited) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	if err := l.take(CallGet); err != nil {
		return Object{}, err
	}
	return l.next.Get(ctx, kind, name)
}

func (l *limited) List(ctx context.Context, kind ObjectKind) ([]Object, error) {
	if err := l.take(CallList); err != nil {
		return nil, err
	}
	return l.next.List(ctx, kind)
}

func (l *limited) Create(ctx context.Context, obj Object) (Object, error) {
	if err := l.take(CallCreate); err != nil {
		return Object{}, err
	}
	return l.next.Create(ctx, obj)
}

func (l *limited) Update(ctx context.Context, obj Object) (Object, error) {
	if err := l.take(CallUpdate); err != nil {
		return Object{}, err
	}
	return l.next.Update(ctx, obj)
}

func (l *limited) Delete(ctx context.Context, kind ObjectKind, name, version string) error {
	if err := l.take(CallDelete); err != nil {
		return err
	}
	return l.next.Delete(ctx, kind, name, version)
}

func (l *limited) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	if err := l.take(CallWatch); err != nil {
		return err
	}
	return l.next.Watch(ctx, kind, name, version, handle)
}
