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

// direction holds the counters of bytes received and sent.
type direction struct{ in, out metrics.Counter }

// byteCounters counts the bytes of frames, headers included, by the kind of their method.
type byteCounters struct{ control, keys direction }

// newByteCounters returns the counters of one side, "client" or "server".
func newByteCounters(set *metric.Set, side string) byteCounters {
	of := func(kind string) direction {
		prefix := kind + "." + side + ".bytes_"
		return direction{in: set.Counter(prefix + "in"), out: set.Counter(prefix + "out")}
	}
	return byteCounters{control: of("control"), keys: of("keys")}
}

func (b byteCounters) of(method string) direction {
	if strings.HasPrefix(method, keysPrefix) {
		return b.keys
	}
	return b.control
}
