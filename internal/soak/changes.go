package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/metastore"
)

// changes publishes configurations to the store as operators do. Each generation has the routes of all earlier ones and
// one more, so that a caller can tell from the routes which generations are in force.
type changes struct {
	store      *metastore.Store
	mu         sync.Mutex
	generation int
	accepted   time.Time
}

func generationPath(n int) string { return fmt.Sprintf("/generation/%d/", n) }

// accept writes the next generation to the store. Its version exceeds the one before by 1 or 4.
func (c *changes) accept() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.generation++
	c.store.Put("config", "main", document(c.generation))
	c.accepted = time.Now()
}

// newest returns the latest generation and when it was published.
func (c *changes) newest() (int, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.generation, c.accepted
}

func document(generation int) string {
	resources := []string{`{"type":"services","metadata":{"name":"desk"},"spec":{}}`, `{"type":"services","metadata":{"name":"office"},"spec":{}}`}
	route := func(name, path, kind, service string) {
		resources = append(resources, fmt.Sprintf(`{"type":"routes","metadata":{"name":%q},"spec":{"host":%q,"pathPrefix":%q,"kind":%q,`+
			`"timeoutMs":1900,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":3}}`, name, host, path, kind, service))
	}
	route("safe", "/safe/", "safe", "desk")
	route("lodge", "/lodge/", "unsafe", "office")
	for n := 1; n <= generation; n++ {
		route(fmt.Sprint("generation-", n), generationPath(n), "safe", "desk")
	}
	return fmt.Sprintf(`{"version":%d,"resources":[%s]}`, 3*generation+generation%3, strings.Join(resources, ","))
}
