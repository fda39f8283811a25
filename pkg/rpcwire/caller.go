// Package rpcwire transports net/rpc calls between nodes, with a deadline for each call, a size limit for each message
// and a liveness probe for each connection.
package rpcwire

import "context"

// Caller calls a net/rpc method of the node whose Server listens on addr. The context must have a deadline. A call that
// exceeds it fails with Unavailable, and its connection is closed.
type Caller interface {
	Call(ctx context.Context, addr, method string, args, reply any) error
}
