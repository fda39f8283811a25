package proxy

import (
	"context"
	"net"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// callerCheckPeriod is how often a call in progress checks whether its caller has left. It is half of the half second within
// which work for a caller that has left should end.
const callerCheckPeriod = 250 * time.Millisecond

// callerConnKey is the context key of the connection on which a caller's request arrived.
type callerConnKey struct{}

// withCallerConn is the ConnContext hook of the server for callers.
func withCallerConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, conn)
}

// callerLeft reports whether the caller has closed the connection on which its request arrived.
func callerLeft(ctx context.Context) bool {
	conn, ok := ctx.Value(callerConnKey{}).(net.Conn)
	return ok && network.PeerLeft(conn)
}

// callerWatch cancels a call whose caller has left. The server of net/http notices that only while no other request of the
// caller waits on the connection.
type callerWatch struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
}

// watchCaller returns a context that ends when the caller closes its connection. The caller of watchCaller must call stop.
func watchCaller(ctx context.Context) (watched context.Context, stop func()) {
	if ctx.Value(callerConnKey{}) == nil {
		return ctx, func() {}
	}
	w := &callerWatch{}
	w.ctx, w.cancel = context.WithCancel(ctx)
	w.timer = time.AfterFunc(time.Hour, w.check)
	w.timer.Reset(callerCheckPeriod)
	return w.ctx, func() {
		w.timer.Stop()
		w.cancel()
	}
}

func (w *callerWatch) check() {
	switch {
	case w.ctx.Err() != nil:
	case callerLeft(w.ctx):
		w.cancel()
	default:
		w.timer.Reset(callerCheckPeriod)
	}
}
