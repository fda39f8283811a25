package proxy

import (
	"github.com/rcrowley/go-metrics"

	"github.com/monsoonlatch/monsoonlatch/pkg/balance"
	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

// zoneTraffic counts the attempts of an ingress, and the bytes of their request and response bodies, by the relation of
// the instance to the own availability zone.
type zoneTraffic struct {
	attempts, requestBytes, responseBytes [len(balance.Relations)]metrics.Counter
}

func newZoneTraffic(m *metric.Set) *zoneTraffic {
	t := &zoneTraffic{}
	for i, name := range balance.Relations {
		t.attempts[i] = m.Counter(metric.ZoneAttempts + name)
		t.requestBytes[i] = m.Counter(metric.ZoneRequestBytes + name)
		t.responseBytes[i] = m.Counter(metric.ZoneResponseBytes + name)
	}
	return t
}

// count counts one attempt. A response that ends early counts with its whole length.
func (t *zoneTraffic) count(relation balance.Relation, c *call, rep *reply) {
	t.attempts[relation].Inc(1)
	t.requestBytes[relation].Inc(int64(len(c.body)))
	t.responseBytes[relation].Inc(rep.bodyBytes())
}

// bodyBytes returns the size of the body of the response as far as it is known.
func (rep *reply) bodyBytes() int64 { return max(int64(len(rep.body)), rep.length) }
