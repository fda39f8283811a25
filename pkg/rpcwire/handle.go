package rpcwire

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Handler implements one method. The context ends when the server stops or the call has run for CallLimit.
type Handler[A, R any] func(ctx context.Context, args *A, reply *R) error

// receiver is the net/rpc receiver of one method. It recovers from panics of the handler, which net/rpc does not do: a
// panic in a handler would end the process. Each method has its own receiver.
type receiver[A, R any] struct {
	server *Server
	method string
	handle Handler[A, R]
}

// Call runs the handler; net/rpc finds it by reflection.
func (r *receiver[A, R]) Call(args *A, reply *R) error {
	ctx, cancel := context.WithTimeout(r.server.ctx, r.server.settings.CallLimit)
	defer cancel()
	return encodeError(r.run(ctx, args, reply))
}

func (r *receiver[A, R]) run(ctx context.Context, args *A, reply *R) (err error) {
	defer func() {
		if p := recover(); p != nil {
			r.server.recordPanic(r.method, p)
			err = fault.New(fault.Internal, r.method, "the handler panicked", "report the stack trace in the peer's log")
		}
	}()
	return r.handle(ctx, args, reply)
}

func (r *receiver[A, R]) dispatch(ctx context.Context, args, reply any) error {
	a, ok := args.(*A)
	b, ok2 := reply.(*R)
	if !ok || !ok2 {
		return fault.New(fault.Internal, r.method, fmt.Sprintf("%T and %T are not the handler's types", args, reply), "pass the types of the handler")
	}
	return r.run(ctx, a, b)
}

// Handle registers the handler of a method such as "Relay.Sync". It must be called before Start.
func Handle[A, R any](s *Server, method string, h Handler[A, R]) {
	r := &receiver[A, R]{server: s, method: method, handle: h}
	if err := s.rpc.RegisterName(method, r); err != nil {
		panic("rpcwire: " + err.Error())
	}
	s.handlers[method] = r.dispatch
}

// HandleFunc registers a handler with the signature that net/rpc uses, without a context.
func HandleFunc[A, R any](s *Server, method string, h func(args *A, reply *R) error) {
	Handle(s, method, func(_ context.Context, args *A, reply *R) error { return h(args, reply) })
}

// kindSeparator separates the kind of a fault from its text. net/rpc transfers errors as text; the kind is put in front
// of it so that the caller can restore the fault.
const kindSeparator = "\x1f"

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	return errors.New(string(fault.KindOf(err)) + kindSeparator + err.Error())
}

func decodeError(method, text string) error {
	kind, rest, ok := strings.Cut(text, kindSeparator)
	if !ok {
		return fault.New(fault.Internal, method, text, "check that both nodes run the same release")
	}
	return fault.Wrap(fault.Kind(kind), method, errors.New(rest), "")
}
