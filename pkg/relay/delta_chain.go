package relay

import (
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// maxChainLength is the number of deltas that a relay keeps. At 2,800 changes a day, a node that was disconnected for
// half an hour can still be updated by deltas.
const maxChainLength = 64

type deltaLink struct {
	delta    config.Delta
	fromHash string
}

// deltaChain holds the deltas between the configurations that a relay has accepted last, oldest first.
type deltaChain []deltaLink

// add appends a delta whose base configuration has the given hash. A gap in the versions discards the older deltas.
func (c deltaChain) add(d config.Delta, fromHash string) deltaChain {
	if len(c) > 0 && c[len(c)-1].delta.To != d.From {
		c = nil
	}
	c = append(c, deltaLink{d, fromHash})
	if len(c) > maxChainLength {
		c = append(deltaChain(nil), c[len(c)-maxChainLength:]...)
	}
	return c
}

// from returns the deltas that lead from the configuration with this version and hash to the newest one. It returns
// false if the chain does not reach back to that configuration.
func (c deltaChain) from(v config.Version, hash string) ([]config.Delta, bool) {
	for i, l := range c {
		if l.delta.From != v {
			continue
		}
		if l.fromHash != hash {
			return nil, false
		}
		out := make([]config.Delta, 0, len(c)-i)
		for _, rest := range c[i:] {
			out = append(out, rest.delta)
		}
		return out, true
	}
	return nil, false
}
