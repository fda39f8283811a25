package main

import (
	"sync/atomic"

	"github.com/monsoonlatch/monsoonlatch/pkg/directory"
	"github.com/monsoonlatch/monsoonlatch/pkg/proxy"
	"github.com/monsoonlatch/monsoonlatch/platform"
)

// keyRules holds the rules for API keys that follow from the platform's bounds, which may change while the node runs.
type keyRules struct {
	rules atomic.Pointer[proxy.KeyRules]
}

// set derives the rules. An unknown key is refused for good only by a node whose configuration was confirmed within the
// time in which versions must come into force, plus the time that a confirmation takes from node to node.
func (k *keyRules) set(b platform.Bounds) {
	r := proxy.KeyRules{MaxLag: b.Apply + directory.ConfirmationDelay}
	if b.RevokeFailClosed {
		r.MaxRevocationLag = b.Revoke
	}
	k.rules.Store(&r)
}

func (k *keyRules) current() proxy.KeyRules { return *k.rules.Load() }
