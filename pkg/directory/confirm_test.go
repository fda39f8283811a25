package directory

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/membership"
)

// Guards against a node without access to the store and to fresh nodes that goes on to believe that its configuration is the
// newest one, and against one that never learns that it is.
func TestConfigurationAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		f := startFollower(t, m, neverSkipWatch)
		if age := f.State.ConfigurationAge(); age != math.MaxInt64 {
			t.Errorf("age %v before the first response of the store", age)
		}
		time.Sleep(2 * time.Second)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age := f.State.ConfigurationAge(); age > 2*time.Second {
				t.Fatalf("age %v while the store answers, want at most the 2 s of two watches", age)
			}
		}
		m.update(func(m *memoryStore) { m.down, m.hangWatches = true, true })
		time.Sleep(10 * time.Second)
		if age := f.State.ConfigurationAge(); age < 8*time.Second || age > 12*time.Second {
			t.Errorf("age %v after 10 s of silence", age)
		}
	})
}

// Guards against a listing that may be seconds old and counts as a confirmation.
func TestStaleListingConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		m.hangWatches = true
		f := startFollower(t, m, neverSkipWatch)
		time.Sleep(500 * time.Millisecond)
		if age := f.State.ConfigurationAge(); f.State.Version() != 3 || age != math.MaxInt64 {
			t.Errorf("age %v of version %d after a listing that may be old", age, f.State.Version())
		}
	})
}

// Guards against a newest configuration that could not be put in force, after which the older one counts as confirmed.
func TestRefusedConfigurationIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryStore()
		m.set(testConfigurationKind, "main", "3")
		f := startFollower(t, m, neverSkipWatch)
		time.Sleep(5 * time.Second)
		m.set(testConfigurationKind, "main", "bad")
		time.Sleep(10 * time.Second)
		if age := f.State.ConfigurationAge(); age < 8*time.Second {
			t.Errorf("age %v although the newest configuration cannot be read", age)
		}
		m.set(testConfigurationKind, "main", "5")
		time.Sleep(3 * time.Second)
		if age := f.State.ConfigurationAge(); age > 2*time.Second || f.State.Version() != 5 {
			t.Errorf("age %v of version %d after a valid configuration", age, f.State.Version())
		}
	})
}

// Guards against confirmations that get younger on their way between nodes without the store, and against one that is taken
// over although the newer configuration that came with it was not applied.
func TestConfirmationsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &fakeCaller{peers: make(map[string]*Peers)}
		a, b := newPeer(c, "a1", "a:81", time.Hour), newPeer(c, "b1", "b:81", time.Hour)
		b.State.confirm(time.Now())
		for range 10 {
			time.Sleep(time.Second)
			a.pullFrom(t.Context(), "b:81")
			b.pullFrom(t.Context(), "a:81")
		}
		for _, p := range []*Peers{a, b} {
			if age := p.State.ConfigurationAge(); age != 10*time.Second {
				t.Errorf("%s: age %v, want the 10 s since the store confirmed the configuration", p.Self, age)
			}
		}
		old := newPeer(c, "c1", "c:81", time.Hour)
		old.State.confirm(time.Now().Add(-time.Hour))
		a.pullFrom(t.Context(), "c:81")
		if age := a.State.ConfigurationAge(); age != 10*time.Second {
			t.Errorf("age %v after a node gave an older confirmation, want still 10 s", age)
		}
		log := zerolog.Nop()
		if err := b.State.validateAndAccept(&log, 5, config.Configuration{}, nil, "store"); err != nil {
			t.Fatal(err)
		}
		b.State.confirm(time.Now())
		c.modifyReply = func(r *PullReply) {
			r.Configuration.Routes = map[string]config.Route{"r": {Name: "r", Service: "missing"}}
		}
		a.pullFrom(t.Context(), "b:81")
		if age := a.State.ConfigurationAge(); a.State.Version() == 5 || age < 10*time.Second {
			t.Errorf("age %v of version %d after a configuration that was refused", age, a.State.Version())
		}
	})
}

// Guards against a configuration without tenants from a node of an earlier build that replaces one with tenants: requests
// would be served without their keys.
func TestConfigurationFromEarlierBuildIsIgnored(t *testing.T) {
	c := &fakeCaller{peers: make(map[string]*Peers)}
	a, b := newPeer(c, "a1", "a:81", time.Hour), newPeer(c, "b1", "b:81", 0)
	log := zerolog.Nop()
	withTenants := config.Configuration{Tenants: map[string]config.Tenant{"acme": {Name: "acme", Keys: []string{config.KeyDigest("k")}}}}
	for _, state := range []*State{a.State, b.State} {
		if err := state.validateAndAccept(&log, 5, withTenants, nil, "store"); err != nil {
			t.Fatal(err)
		}
	}
	if err := b.State.validateAndAccept(&log, 6, withTenants, nil, "store"); err != nil {
		t.Fatal(err)
	}
	b.State.Merge(instance("x", 1, 1, membership.StateReady))
	c.modifyReply = func(r *PullReply) {
		r.Format, r.Confirmed, r.ConfirmedAge = 0, false, 0
		r.Changes, r.Configuration.Tenants = nil, nil
	}
	if a.pullFrom(t.Context(), "b:81") || a.State.Version() != 5 || !a.State.Current().HasTenants() {
		t.Errorf("version %d with tenants %v is in force, want version 5 with tenants and no fresh reply", a.State.Version(), a.State.Current().HasTenants())
	}
	if len(a.State.All()) != 1 {
		t.Error("the instance records of the earlier build were ignored too")
	}
	c.modifyReply = nil
	if !a.pullFrom(t.Context(), "b:81") || a.State.Version() != 6 || !a.State.Current().HasTenants() {
		t.Errorf("version %d with tenants %v is in force, want version 6 with tenants", a.State.Version(), a.State.Current().HasTenants())
	}
}
