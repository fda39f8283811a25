package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// Guards against a hash that nodes of earlier builds do not compute for a configuration without tenants: they and newer
// nodes run side by side, and a delta whose result has another hash is refused.
func TestHashWithoutTenantsIsUnchanged(t *testing.T) {
	c := sampleHead(t).Configuration
	const earlier = `{"services":{"lookup":{"name":"lookup"}},"policies":{"urgent":{"name":"urgent","rank":0,"target":"250ms","worth":10,` +
		`"guaranteedShare":0.5,"deadline":"2s","maxRetries":1}},"routes":{"search":{"name":"search","pathPrefix":"/capsules",` +
		`"methods":["GET","POST"],"service":"lookup","policy":"urgent","idempotent":true}}}`
	sum := sha256.Sum256([]byte(earlier))
	if got, err := c.Hash(); err != nil || got != hex.EncodeToString(sum[:]) {
		t.Errorf("hash %s, error %v, want %x", got, err, sum)
	}
	if data, err := json.Marshal(c); err != nil || string(data) != earlier {
		t.Errorf("stored form %s, error %v", data, err)
	}
	withTenant := c.Clone()
	withTenant.Tenants["acme"] = Tenant{Name: "acme"}
	if got, _ := withTenant.Hash(); got == hex.EncodeToString(sum[:]) {
		t.Error("a tenant does not change the hash")
	}
}

const tenantNote = `id: second
author: ops
change:
  policies:
    - {name: urgent, rank: 1, target: 250ms, deadline: 2s, maxRetries: 1, classRanks: {gold: 0, bulk: 6}}
add:
  routes:
    - {name: open, pathPrefix: /open, service: lookup, policy: urgent, public: true, idempotent: false}
  tenants:
    - {name: acme, keys: [KEY1, KEY2], priorityClass: gold, rate: 12.5, burst: 30}
    - {name: plain, keys: [KEY3]}
`

func noteWithKeys() string {
	return strings.NewReplacer("KEY1", KeyDigest("k1"), "KEY2", KeyDigest("k2"), "KEY3", KeyDigest("k3")).Replace(tenantNote)
}

// Guards against tenants that a release note, a delta, or the encoding of the head object loses, and against lookups that
// find a tenant by a revoked key or not by a valid one.
func TestTenantsInReleaseNotes(t *testing.T) {
	first := sampleHead(t)
	note, err := ParseNote([]byte(noteWithKeys()))
	if err != nil {
		t.Fatal(err)
	}
	second, err := first.Accept(note)
	if err != nil {
		t.Fatal(err)
	}
	if got := note.Touched().String(); got != "policy urgent, route open, tenant acme, tenant plain" {
		t.Errorf("touched items %q", got)
	}
	data, err := json.Marshal(second)
	if err != nil {
		t.Fatal(err)
	}
	if second, err = ParseHead(data); err != nil {
		t.Fatal(err)
	}
	delta := NewDelta(first.Version, first.Configuration, second.Version, second.Hash, second.Configuration)
	if applied, err := delta.Apply(first.Configuration); err != nil || !applied.Tenants["acme"].Equal(second.Configuration.Tenants["acme"]) || delta.Size() != 4 {
		t.Errorf("delta of size %d gives tenants %+v, error %v", delta.Size(), applied.Tenants, err)
	}
	snap, err := Build(second.Version, second.Hash, second.Configuration)
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]string{"k1": "acme", "k2": "acme", "k3": "plain", "k4": "", "": "", KeyDigest("k1"): ""}
	for key, name := range want {
		got, ok := snap.TenantByKey(key)
		if ok != (name != "") || ok && got.Name != name {
			t.Errorf("key %q belongs to %+v, want %q", key, got, name)
		}
	}
	m, _ := snap.Match("", "GET", "/open")
	if !m.Route.Public || m.Policy.RankFor("gold") != 0 || m.Policy.RankFor("bulk") != 6 || m.Policy.RankFor("other") != 1 || m.Policy.RankFor("") != 1 {
		t.Errorf("route %+v with ranks %v", m.Route, m.Policy.ClassRanks)
	}
	if acme, _ := snap.TenantByKey("k1"); acme.Rate != 12.5 || acme.Burst != 30 || acme.PriorityClass != "gold" {
		t.Errorf("tenant %+v", acme)
	}
	revoke := ReleaseNote{ID: "third", Author: "ops", Withdraw: Names{Tenants: []string{"plain"}},
		Change: Items{Tenants: []Tenant{{Name: "acme", Keys: []string{KeyDigest("k2")}}}}}
	third, err := second.Accept(revoke)
	if err != nil {
		t.Fatal(err)
	}
	snap, err = Build(third.Version, third.Hash, third.Configuration)
	if err != nil {
		t.Fatal(err)
	}
	for key, held := range map[string]bool{"k1": false, "k2": true, "k3": false} {
		if _, ok := snap.TenantByKey(key); ok != held {
			t.Errorf("after the revocation, key %q is valid: %v, want %v", key, ok, held)
		}
	}
	delta = NewDelta(second.Version, second.Configuration, third.Version, third.Hash, third.Configuration)
	if applied, err := delta.Apply(second.Configuration); err != nil || len(applied.Tenants) != 1 || delta.Size() != 2 {
		t.Errorf("delta of size %d gives tenants %+v, error %v", delta.Size(), applied.Tenants, err)
	}
}

// Guards against release notes with mistakes in tenants that are accepted, and against an error message that shows a key
// which was entered in place of its digest.
func TestTenantErrors(t *testing.T) {
	for name, c := range map[string]struct{ old, with, op string }{
		"plain key":        {KeyDigest("k1"), "hhacruddedev3nax7u27", "tenant acme"},
		"upper case":       {KeyDigest("k1"), strings.ToUpper(KeyDigest("k1")), "tenant acme"},
		"key listed twice": {KeyDigest("k2"), KeyDigest("k1"), "tenant acme"},
		"key of another":   {KeyDigest("k3"), KeyDigest("k1"), "tenant plain"},
		"negative rate":    {"rate: 12.5", "rate: -1", "tenant acme"},
		"infinite burst":   {"burst: 30", "burst: .inf", "tenant acme"},
		"no number":        {"burst: 30", "burst: .nan", "tenant acme"},
		"bad name":         {"name: plain", "name: 'a b'", "tenant a b"},
		"bad class rank":   {"gold: 0", "gold: 8", "policy urgent"},
	} {
		note, err := ParseNote([]byte(strings.Replace(noteWithKeys(), c.old, c.with, 1)))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		_, err = sampleHead(t).Accept(note)
		if err == nil || !strings.Contains(err.Error(), c.op) || strings.Contains(err.Error(), "hhacruddedev3nax7u27") {
			t.Errorf("%s: error %v, want one about %s that does not show a key", name, err, c.op)
		}
	}
}

// Guards against a key in two accepted tenants that nodes assign differently, and against a malformed digest that makes a
// node refuse a configuration which the store has accepted.
func TestAcceptedTenants(t *testing.T) {
	c := Configuration{Tenants: map[string]Tenant{"b": {Name: "b", Keys: []string{KeyDigest("k"), "zz"}}, "a": {Name: "a", Keys: []string{KeyDigest("k")}}}}
	for range 20 {
		snap, err := BuildAccepted(1, "", c)
		if err != nil {
			t.Fatal(err)
		}
		if got, ok := snap.TenantByKey("k"); !ok || got.Name != "a" {
			t.Fatalf("the key belongs to %+v", got)
		}
	}
}

// configurationWithKeys returns a configuration with 1,000 tenants and the given number of keys.
func configurationWithKeys(keys int) Configuration {
	c := Configuration{}.Clone()
	for i := range keys {
		name := fmt.Sprintf("tenant-%03d", i%1000)
		t := c.Tenants[name]
		t.Name, t.Keys = name, append(t.Keys, KeyDigest(fmt.Sprint("key-", i)))
		c.Tenants[name] = t
	}
	return c
}

// maxKeyMemory is the memory that a node may spend on control at the size to design for; docs/design.md, 1.6.
const maxKeyMemory = 32 << 20

// Guards against a table of keys that does not fit into the memory of a node. The figure is in docs/CAPACITY.md.
func TestMemoryOfKeys(t *testing.T) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	snap, err := BuildAccepted(1, "", configurationWithKeys(100_000))
	if err != nil {
		t.Fatal(err)
	}
	used := heap() - before
	if used > maxKeyMemory {
		t.Errorf("100,000 keys take %d bytes, more than %d", used, maxKeyMemory)
	}
	t.Logf("100,000 keys take %.1f MB", float64(used)/1e6)
	runtime.KeepAlive(snap)
}

func BenchmarkTenantByKey(b *testing.B) {
	snap, err := BuildAccepted(1, "", configurationWithKeys(100_000))
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := snap.TenantByKey("key-77777"); !ok {
			b.Fatal("the key is unknown")
		}
	}
}
