package rpcwire

import (
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// keysPrefix begins the methods that carry the claims and outcomes of keyed requests. They grow with the callers' load,
// so they are counted apart from the control messages, which have a budget of their own.
const keysPrefix = "Keys."

// direction counts bytes received and sent.
type direction struct{ in, out metrics.Counter }

// byteCounters counts whole frames by the kind of their method.
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
