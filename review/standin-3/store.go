package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and name under one revision counter, lists,
// watches, conditional writes, and a drill in which it is away and comes back from a copy.
type store struct {
	record   *record
	server   *http.Server
	mu       sync.Mutex
	revision uint64
	era      int
	objects  map[string]map[string]storeObject
	history  []storeChange
	changed  chan struct{}
	away     bool
	conns    map[net.Conn]bool
	watchers map[string]int
}

type storeMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
}

type storeObject struct {
	Metadata storeMeta       `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type storeChange struct {
	kind    string
	removed bool
	at      uint64
	object  storeObject
}

// storeCopy is the state of the store at a moment.
type storeCopy struct {
	revision uint64
	objects  map[string]map[string]storeObject
	history  int
}

const listPage = 500

func startStore(address string, rec *record) (*store, error) {
	s := &store{record: rec, revision: 1, era: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{}),
		conns: map[net.Conn]bool{}, watchers: map[string]int{}}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s, ConnState: s.track}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// track keeps the open connections. While the store is away, it resets each new one.
func (s *store) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = true
		if s.away {
			reset(c)
		}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// takeCopy returns a copy of the state.
func (s *store) takeCopy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, objects: map[string]map[string]storeObject{}, history: len(s.history)}
	for kind, objects := range s.objects {
		c.objects[kind] = map[string]storeObject{}
		for name, o := range objects {
			c.objects[kind][name] = o
		}
	}
	s.record.line("store: a copy is taken at revision %d", s.revision)
	return c
}

// goAway makes the store unreachable.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.record.line("store: away, at revision %d", s.revision)
	for c := range s.conns {
		reset(c)
	}
}

// comeBack ends the absence. With a copy the store has lost what it wrote since, and its era rises.
func (s *store) comeBack(c *storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c != nil {
		s.revision, s.objects, s.history = c.revision, c.objects, s.history[:c.history:c.history]
		s.era++
	}
	s.away = false
	s.record.line("store: back, at revision %d, era %d", s.revision, s.era)
}

// put writes an object for the operator and returns the revision at its acknowledgement, or false while the store is away.
func (s *store) put(kind, name, spec string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	o := s.write(kind, storeObject{Metadata: storeMeta{Name: name}, Spec: json.RawMessage(spec), Status: s.objects[kind][name].Status})
	return o.Metadata.Revision, true
}

func (s *store) get(kind, name string) (storeObject, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	return o, ok
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) write(kind string, o storeObject) storeObject {
	s.revision++
	o.Metadata.Revision, o.Metadata.Created = s.revision, s.objects[kind][o.Metadata.Name].Metadata.Created
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	s.objects[kind][o.Metadata.Name] = o
	s.history = append(s.history, storeChange{kind, false, s.revision, o})
	s.notify()
	return o
}

func (s *store) remove(kind, name string) {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	s.history = append(s.history, storeChange{kind, true, s.revision, o})
	s.notify()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			s.answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		s.answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > listPage
	names = names[:min(len(names), listPage)]
	items := []storeObject{}
	for _, name := range names {
		items = append(items, s.objects[kind][name])
	}
	at := s.revision
	s.mu.Unlock()
	s.record.line("store: %s lists %s, revision %d", caller(r), kind, at)
	s.answer(w, http.StatusOK, map[string]any{"items": items, "more": more, "storeRevision": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for first := true; ; first = false {
		s.mu.Lock()
		if after > s.revision {
			at := s.revision
			s.mu.Unlock()
			s.record.line("store: %s watches %s from %d, which is not there (revision %d): 410", caller(r), kind, after, at)
			s.answer(w, http.StatusGone, map[string]any{})
			return
		}
		if first {
			s.noteWatch(caller(r), kind, after)
		}
		events := []map[string]any{}
		for _, c := range s.history {
			if c.at > after && c.kind == kind {
				events = append(events, map[string]any{"removed": c.removed, "object": c.object})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.record.line("store: %s gets %d events of %s after %d, revision %d", caller(r), len(events), kind, after, at)
			s.answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			s.answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// noteWatch records the first watch of a caller in each era.
func (s *store) noteWatch(from, kind string, after uint64) {
	key := fmt.Sprint(from, kind, s.era)
	if s.watchers[key]++; s.watchers[key] == 1 {
		s.record.line("store: %s watches %s from %d, for the first time in era %d (revision %d)", from, kind, after, s.era, s.revision)
	}
}

func caller(r *http.Request) string {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	return host
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o storeObject
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			s.answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
	}
	if r.Method == http.MethodDelete {
		o.Metadata.Revision, _ = strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	}
	s.mu.Lock()
	status, out := s.apply(r.Method, kind, name, o)
	at := s.revision
	s.mu.Unlock()
	s.record.line("store: %s %s %s/%s: %d, revision %d: %s%s", caller(r), r.Method, kind, out.Metadata.Name, status, at, o.Spec, o.Status)
	s.answer(w, status, out)
}

func (s *store) apply(method, kind, name string, o storeObject) (int, storeObject) {
	name, ofStatus := strings.CutSuffix(name, "/status")
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
	written := old
	if ofStatus {
		written.Status = o.Status
	} else {
		written.Spec = o.Spec
	}
	if string(written.Spec) == string(old.Spec) && string(written.Status) == string(old.Status) {
		return http.StatusOK, old
	}
	return http.StatusOK, s.write(kind, written)
}

func (s *store) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // Fails only if the caller has disconnected.
}
