package balance

import (
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// HasRoom reports whether an instance that Pick has just chosen is expected to run the request at once: it has not more
// requests than it can run at the same time.
func (p *Picker) HasRoom(now time.Time, id membership.InstanceID) bool {
	in := p.byID[id]
	// The score counts one request more than those in flight, among which the chosen one is already.
	return in != nil && in.score(now, p.settings.SlowStart)-1/float64(max(1, in.record.Slots)) <= 1
}
