package relay

import (
	"github.com/monsoonlatch/monsoonlatch/pkg/config"
)

// chainLength is how many deltas a relay keeps. At 2,800 changes a day a node that was away for half an hour still
// gets deltas.
const chainLength = 64

type chainLink struct {
	delta    config.Delta
	fromHash string
}

// chain is the deltas between the last configurations that a relay accepted, oldest first.
type chain []chainLink

// add appends the delta from the configuration with the given hash.
func (c chain) add(d config.Delta, fromHash string) chain {
	if len(c) > 0 && c[len(c)-1].delta.To != d.From {
		c = nil
	}
	c = append(c, chainLink{d, fromHash})
	if len(c) > chainLength {
		c = append(chain(nil), c[len(c)-chainLength:]...)
	}
	return c
}

// from returns the deltas that lead from a version to the newest one; false if there are none.
func (c chain) from(v config.Version, hash string) ([]config.Delta, bool) {
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
