package directory

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
)

// Guards against a configuration that the store has accepted, but that a node refuses because it is beyond a limit of release
// notes, whether it comes from the store or from another node.
func TestAcceptedConfigurationHasNoLimits(t *testing.T) {
	large := config.Configuration{Services: map[string]config.Service{"desk": {Name: "desk"}}, Policies: make(map[string]config.Policy),
		Routes: make(map[string]config.Route)}
	for i := range config.MaxPolicies + 1 {
		name := fmt.Sprint("p-", i)
		large.Policies[name] = config.Policy{Name: name, Target: 1, Deadline: config.MaxDeadline + config.Duration(i)}
		large.Routes[name] = config.Route{Name: name, PathPrefix: fmt.Sprintf("/%d/", i), Service: "desk", Policy: name}
	}
	if large.Check() == nil {
		t.Fatal("the configuration is within the limits of release notes")
	}
	log := zerolog.Nop()
	fromStore, fromPeer := NewState(), &Peers{State: NewState(), Eras: era.NewTracker()}
	if err := fromStore.validateAndAccept(&log, 9, large, nil, "store"); err != nil || fromStore.Version() != 9 {
		t.Errorf("version %d is in force after the store offered 9: %v", fromStore.Version(), err)
	}
	if err := fromPeer.applyReply(PullReply{Version: 9, Configuration: large}, "peer"); err != nil || fromPeer.State.Version() != 9 {
		t.Errorf("version %d is in force after another node offered 9: %v", fromPeer.State.Version(), err)
	}
	hash, err := large.Hash()
	if err != nil {
		t.Fatal(err)
	}
	small := &Peers{State: NewState(), Eras: era.NewTracker()}
	if err := small.State.validateAndAccept(&log, 5, config.Configuration{}, nil, "store"); err != nil {
		t.Fatal(err)
	}
	delta := config.NewDelta(5, config.Configuration{}, 9, hash, large)
	if err := small.applyReply(PullReply{Version: 9, Changes: []config.Delta{delta}}, "peer"); err != nil || small.State.Version() != 9 {
		t.Errorf("version %d is in force after changes up to 9: %v", small.State.Version(), err)
	}
}
