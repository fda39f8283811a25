package directory

import (
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/clock"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// oddSpecs are specs that another writer may have stored under the name of a node.
var oddSpecs = []string{"", "null", "17", `{"service":7}`, strings.Repeat("[", 20000) + strings.Repeat("]", 20000), `{"slots":1e400}`,
	`{"service":"desk","peers":"10.0.0.1:70000","state":"ready","incarnation":1}`,
	`{"service":"desk","peers":"10.0.0.1:80","state":"ready","incarnation":18446744073709551615}`}

// Guards against an odd record that ends the reading of the others, that makes a known node count as departed, or that
// stays in the store in place of a live node's record.
func TestOddRecordsHideNoNode(t *testing.T) {
	good := instance("good", 1, 2, membership.StateReady)
	spec, err := encodeRecord(good, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, odd := range oddSpecs {
		for _, complete := range []bool{true, false} {
			state, removed := NewState(), 0
			known := instance("known", 1, 2, membership.StateReady)
			state.Merge(known)
			f := &Follower{State: state, Self: "self", Clock: clock.System{}, Log: zerolog.Nop(), OnOwnRecordRemoved: func(era.Number) { removed++ }}
			f.applyInstances([]Change{
				{Object: platform.Object{Name: "known", Spec: []byte(odd)}},
				{Object: platform.Object{Name: "self", Spec: []byte(odd)}},
				{Object: platform.Object{Name: strings.Repeat("x", 1<<20), Spec: []byte(odd)}},
				{Object: platform.Object{Name: "good", Spec: spec}},
			}, era.Position{}, complete)
			live := ""
			for _, in := range state.Instances(good.Service) {
				live += fmt.Sprint(in.ID, " ")
			}
			if live != "good known " {
				t.Errorf("spec %d, complete list %v: the instances are %q, want good and known", i, complete, live)
			}
			if removed != 1 {
				t.Errorf("spec %d, complete list %v: the node learned %d times that its own record is gone, want once", i, complete, removed)
			}
		}
	}
}

// Guards against an odd record that comes from another node instead of the store.
func TestOddRecordsOfPeersAreRefused(t *testing.T) {
	p := &Peers{State: NewState(), Eras: era.NewTracker(), Self: "self", Log: zerolog.Nop()}
	odd, good := instance("odd", 1, 2, membership.StateReady), instance("good", 1, 2, membership.StateReady)
	odd.PeerAddress, odd.Slots = "10.0.0.1:70000", -5
	if n := p.mergeOthers([]membership.Instance{odd, good}); n != 1 || len(p.State.All()) != 1 {
		t.Errorf("%d records merged, %d known, want the good one only", n, len(p.State.All()))
	}
}

// Guards against a panic, or a record out of range, on whatever another writer has stored.
func FuzzDecodeRecord(f *testing.F) {
	for _, s := range oddSpecs {
		f.Add([]byte(s))
	}
	f.Add([]byte(`{"service":"desk","peers":"10.0.0.1:80","control":"[::1]:0","state":"ready","slots":6,"incarnation":1,"sequence":1}`))
	f.Fuzz(func(t *testing.T, spec []byte) {
		in, err := decodeRecord(platform.Object{Name: "a", Spec: spec})
		if err != nil {
			return
		}
		if err := in.Validate(); err != nil {
			t.Errorf("%q is accepted: %v", spec, err)
		}
	})
}
