// Package metastore is a stand-in for the users' metadata store. It holds objects by kind and name under one revision
// counter, serves watches, comes back from a copy of itself and injects faults on demand. Store is an http.Handler.
package metastore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the maximum number of objects in one response to a list. It is small so that tests get several pages.
const pageSize = 5

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Created is the revision at which the object was created.
	Created uint64 `json:"created"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type change struct {
	revision uint64
	kind     string
	removed  bool
	object   object
}

// Faults are the faults that tests inject. The zero value is a store without faults.
type Faults struct {
	// Away resets all connections.
	Away bool
	// Status is the HTTP status with which all calls are rejected, if not zero.
	Status int
	// Silent leaves all calls without a response until the client disconnects.
	Silent bool
	// LoseWriteResponses performs writes but closes their connections without a response.
	LoseWriteResponses bool
	// DelayWrites closes the connections of writes without a response and performs the writes after this time, if their
	// conditions still hold then.
	DelayWrites time.Duration
	// HangWatches leaves watches without a response, even if objects change.
	HangWatches bool
	// Era, if set, returns the era that an answer names instead of the store's own; empty for none.
	Era func() string
}

// Store is the metadata store stand-in. Create it with New.
type Store struct {
	// restore is held by Restore, and shared by the calls whose answers name the era.
	restore  sync.RWMutex
	mu       sync.Mutex
	revision uint64
	// era counts how often the store has come back from a copy.
	era     uint64
	objects map[string]map[string]object
	history []change
	// compacted is the revision up to which the history was compacted.
	compacted uint64
	faults    Faults
	// changed is closed and replaced when open watches must check the history again.
	changed chan struct{}
	calls   map[string]int
}

// New returns an empty store.
func New() *Store {
	return &Store{
		revision: 1, era: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), calls: make(map[string]int),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Copy is the state of a store at a moment.
type Copy struct {
	revision  uint64
	objects   map[string]map[string]object
	history   []change
	compacted uint64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.revision, cloneObjects(s.objects), slices.Clone(s.history), s.compacted}
}

// Get returns the spec of an object in the copy, or an empty string if there is no such object.
func (c *Copy) Get(kind, name string) string { return string(c.objects[kind][name].Spec) }

// Restore brings the store back from a copy: what was written since is gone, and its revisions are given out again. Pending
// watches end without a response. It may be called several times with the same copy.
func (s *Store) Restore(c *Copy) {
	s.restore.Lock()
	defer s.restore.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.objects, s.history, s.compacted = c.revision, cloneObjects(c.objects), slices.Clone(c.history), c.compacted
	s.era++
	s.notifyWatches()
}

func cloneObjects(objects map[string]map[string]object) map[string]map[string]object {
	out := make(map[string]map[string]object, len(objects))
	for kind, byName := range objects {
		out[kind] = maps.Clone(byName)
	}
	return out
}

// Era returns the number of times that the store has come back from a copy, plus one.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Revision returns the revision of the latest change.
func (s *Store) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Compact drops the history. A watch from an earlier revision, including a pending one, fails with 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
	s.notifyWatches()
}

// Calls returns the number of calls received with an HTTP method.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put writes an object on behalf of an operator or another program. Injected faults do not apply.
func (s *Store) Put(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: json.RawMessage(spec), Status: s.objects[kind][name].Status})
}

// Status returns the status of an object, or an empty string if it has none.
func (s *Store) Status(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Status)
}

// Get returns the spec of an object, or an empty string if there is no such object.
func (s *Store) Get(kind, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.objects[kind][name].Spec)
}

// Remove removes an object on behalf of an operator. Injected faults do not apply.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) write(kind string, o object) object {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.Created = s.objects[kind][o.Metadata.Name].Metadata.Created; o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, change{s.revision, kind, false, o})
	s.notifyWatches()
	return o
}

func (s *Store) remove(kind, name string) {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, change{s.revision, kind, true, o})
	s.notifyWatches()
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.calls[r.Method]++
	f := s.faults
	s.mu.Unlock()
	switch {
	case f.Away:
		panic(http.ErrAbortHandler)
	case f.Silent:
		<-r.Context().Done()
	case f.Status != 0:
		eraWriter{w, s.Era(), f}.WriteHeader(f.Status)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind, f)
	default:
		s.restore.RLock()
		defer s.restore.RUnlock()
		s.serveCall(eraWriter{w, s.Era(), f}, r, kind, name, f)
	}
}

// serveCall serves all calls but watches, between two restores.
func (s *Store) serveCall(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	switch {
	case r.Method == http.MethodGet && name != "":
		s.serveObject(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.serveWrite(w, r, kind, name, f)
	}
}

// eraWriter names the era in the header of each answer.
type eraWriter struct {
	http.ResponseWriter
	era    uint64
	faults Faults
}

func (w eraWriter) WriteHeader(status int) {
	named := strconv.FormatUint(w.era, 10)
	if w.faults.Era != nil {
		named = w.faults.Era()
	}
	if named != "" {
		w.Header().Set("Store-Era", named)
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *Store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > pageSize
	names = names[:min(len(names), pageSize)]
	items := make([]object, 0, len(names))
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, f Faults) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64) // Zero watches from the first revision.
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if f.HangWatches {
		<-r.Context().Done()
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	began := s.Era()
	w = eraWriter{w, began, f}
	for {
		s.mu.Lock()
		if s.era != began || s.faults.Away {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.revision > after && c.kind == kind {
				events = append(events, map[string]any{"removed": c.removed, "object": c.object})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string, f Faults) {
	var o object
	if r.Method == http.MethodDelete {
		o.Metadata.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64) // Without one, any revision is removed.
	} else if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	apply := func() (int, object) {
		if name, ok := strings.CutSuffix(name, "/status"); ok && r.Method == http.MethodPut {
			return s.applyStatus(kind, name, o)
		}
		return s.apply(r.Method, kind, name, o)
	}
	if f.DelayWrites > 0 {
		time.AfterFunc(f.DelayWrites, func() { apply() })
		panic(http.ErrAbortHandler)
	}
	status, response := apply()
	if f.LoseWriteResponses {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, response)
}

// applyStatus replaces the status of an object if its revision is that of the request, and returns the object as it is then.
func (s *Store) applyStatus(kind, name string, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.objects[kind][name]
	switch {
	case !ok:
		return http.StatusNotFound, known
	case o.Metadata.Revision != known.Metadata.Revision:
		return http.StatusConflict, known
	}
	known.Status = o.Status
	return http.StatusOK, s.write(kind, known)
}

// apply performs a write and returns the object as it is then.
func (s *Store) apply(method, kind, name string, o object) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if method == http.MethodPost {
		name = o.Metadata.Name
	}
	old, ok := s.objects[kind][name]
	switch {
	case ok && method == http.MethodPost, ok && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
		return http.StatusConflict, old
	case method == http.MethodPost:
		return http.StatusOK, s.write(kind, o)
	case !ok:
		return http.StatusNotFound, old
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, old
	}
	o.Metadata.Name, o.Status = name, old.Status
	if string(old.Spec) == string(o.Spec) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.write(kind, o)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the client has disconnected.
}
