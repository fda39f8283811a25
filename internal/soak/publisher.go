package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// publisher publishes configurations to the store as operators do. Each generation has the routes of all earlier ones
// and one more, so that a caller can tell from the routes which generations are in force.
type publisher struct {
	store      *metastore.Store
	mu         sync.Mutex
	generation int
	published  time.Time
}

// keyPrefix begins all API keys of a run, so that a search finds each of them in the logs.
const keyPrefix = "soak-key-"

// credential is an API key and the workspace that holds it.
type credential struct{ key, tenant string }

// lasting is the credential that all generations have.
var lasting = credential{keyPrefix + "lasting", "lasting"}

// rotating returns the credential that only the given generation and the next one have.
func rotating(generation int) credential {
	return credential{fmt.Sprintf("%s%d", keyPrefix, generation), "rotating"}
}

func generationPath(n int) string { return fmt.Sprintf("/generation/%d/", n) }

// publish writes the next generation to the store. Its version exceeds the one before by 1 or 4.
func (p *publisher) publish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.generation++
	p.store.Put("config", "main", configDocument(p.generation))
	p.published = time.Now()
}

// publishAgain writes the latest generation to the store once more.
func (p *publisher) publishAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store.Put("config", "main", configDocument(p.generation))
}

// latest returns the latest generation and when it was published.
func (p *publisher) latest() (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generation, p.published
}

func configDocument(generation int) string {
	var resources []string
	for _, service := range []string{"desk", "office"} {
		resources = append(resources, fmt.Sprintf(`{"type":"services","metadata":{"name":%q},"spec":{"healthPath":%q}}`, service, healthPath))
	}
	route := func(name, path, kind, service string) {
		resources = append(resources, fmt.Sprintf(
			`{"type":"routes","metadata":{"name":%q},"spec":{"host":%q,"pathPrefix":%q,"kind":%q,`+
				`"timeoutMs":1900,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":3}}`,
			name, routeHost, path, kind, service))
	}
	tenant := func(c credential, keys ...string) {
		resources = append(resources, fmt.Sprintf(`{"type":"tenants","metadata":{"name":%q},"spec":{"apiKeys":["%s"],"priority":1,"ratePerS":0,"burst":0}}`,
			c.tenant, strings.Join(keys, `","`)))
	}
	tenant(lasting, lasting.key)
	tenant(rotating(generation), rotating(generation).key, rotating(generation-1).key)
	route("safe", "/safe/", "safe", "desk")
	route("lodge", "/lodge/", "unsafe", "office")
	for n := 1; n <= generation; n++ {
		route(fmt.Sprint("generation-", n), generationPath(n), "safe", "desk")
	}
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, 3*generation+generation%3, strings.Join(resources, ","))
}
