package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name under one revision counter.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	events   []event
	changed  chan struct{}
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type event struct {
	revision uint64
	kind     string
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// pageSize is the number of items in a response to a list.
const pageSize = 500

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{})}
}

// put writes an object as the operator does.
func (s *store) put(kind, name string, spec any) {
	data, _ := json.Marshal(spec) // The operator's values can be encoded.
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, data)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	s.revision++
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.add(event{revision: s.revision, kind: kind, Object: o})
	return o
}

func (s *store) add(e event) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond) // the time of an answer in the pages
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		if o, ok := s.objects[kind][name]; ok {
			answer(w, http.StatusOK, o)
			return
		}
		answer(w, http.StatusNotFound, map[string]any{})
		return
	}
	var names []string
	for n := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	items := []object{}
	for _, n := range names[:min(pageSize, len(names))] {
		items = append(items, s.objects[kind][n])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "more": len(names) > pageSize, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.events {
			if e.revision > after && e.kind == kind {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
		return
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = o.Metadata.Name
	}
	known, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		answer(w, http.StatusConflict, known)
	case r.Method == http.MethodPost:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	case !ok:
		answer(w, http.StatusNotFound, map[string]any{})
	case r.Method == http.MethodPut && string(known.Spec) == string(o.Spec):
		answer(w, http.StatusOK, known)
	case r.Method == http.MethodPut:
		answer(w, http.StatusOK, s.write(kind, name, o.Spec))
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.add(event{revision: s.revision, kind: kind, Removed: true, Object: known})
		answer(w, http.StatusOK, map[string]any{})
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the caller has left.
}

// route is a route as the operator writes it.
type route struct {
	name, host, prefix, kind, service          string
	timeoutMs, targetMs, priority, maxAttempts int
}

// putConfig writes the configuration. The store's answer is the ack, and it is given when this function returns.
func (w *world) putConfig(version int, routes []route, services ...string) {
	resources := []any{}
	add := func(kind string, meta, spec map[string]any) {
		resources = append(resources, map[string]any{"type": kind, "metadata": meta, "spec": spec})
	}
	for _, r := range routes {
		add("routes", map[string]any{"name": r.name}, map[string]any{"host": r.host, "pathPrefix": r.prefix, "kind": r.kind,
			"timeoutMs": r.timeoutMs, "targetLatencyMs": r.targetMs, "priority": r.priority, "service": r.service, "maxAttempts": r.maxAttempts})
	}
	for _, s := range services {
		add("services", map[string]any{"name": s}, map[string]any{"healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	add("limits", map[string]any{}, map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	w.store.put("config", "main", map[string]any{"version": version, "resources": resources})
	w.logf("operator", "configuration %d with %d routes is acknowledged", version, len(routes))
}
