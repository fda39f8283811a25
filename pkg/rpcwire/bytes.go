package rpcwire

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// keysPrefix is the prefix of the methods that carry claims and outcomes of requests with idempotency keys. Their
// traffic grows with the callers' load, so it is counted separately from the control messages, which have their own
// byte budget.
const keysPrefix = "Keys."

// directionCounters holds the counters of bytes received and sent.
type directionCounters struct{ in, out metrics.Counter }

// byteCounters counts the bytes of frames, headers included, by the kind of their method.
type byteCounters struct{ control, keys directionCounters }

// newByteCounters returns the counters of one side, "client" or "server".
func newByteCounters(set *metric.Set, side string) byteCounters {
	newDirection := func(kind string) directionCounters {
		prefix := kind + "." + side + ".bytes_"
		return directionCounters{in: set.Counter(prefix + "in"), out: set.Counter(prefix + "out")}
	}
	return byteCounters{control: newDirection("control"), keys: newDirection("keys")}
}

func (b byteCounters) forMethod(method string) directionCounters {
	if strings.HasPrefix(method, keysPrefix) {
		return b.keys
	}
	return b.control
}
