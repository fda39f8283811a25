// Package platform is a stand-in for the platform's object API. It serves versioned objects with conditional updates
// and watches, counts calls and injects faults. Its paths and objects follow custom resources of Kubernetes.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	maxObjectBytes = 1 << 20
	// DefaultBookmarkInterval is the default time between bookmarks on a watch.
	DefaultBookmarkInterval = time.Second
	apiPrefix               = "/apis/monsoonlatch.dev/v1/"
)

// Server is the platform stand-in. Create it with NewServer. It is an http.Handler.
type Server struct {
	bookmarkInterval time.Duration
	mux              *http.ServeMux

	mu         sync.Mutex
	state      *state
	savedState *state
	staleState *state
	faults     Faults
	counts     Counts
	// epoch is incremented by each Restore. Watches from an earlier epoch expire.
	epoch int
	// changed is closed and replaced when watches must check the state and the faults again.
	changed chan struct{}
}

// NewServer returns an empty platform.
func NewServer() *Server {
	s := &Server{
		bookmarkInterval: DefaultBookmarkInterval, state: newState(DefaultHistoryLength), changed: make(chan struct{}),
		mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+apiPrefix+"{kind}", s.listOrWatch)
	s.mux.HandleFunc("POST "+apiPrefix+"{kind}", s.create)
	s.mux.HandleFunc("GET "+apiPrefix+"{kind}/{name}", s.get)
	s.mux.HandleFunc("PUT "+apiPrefix+"{kind}/{name}", s.update)
	s.mux.HandleFunc("DELETE "+apiPrefix+"{kind}/{name}", s.remove)
	s.mux.HandleFunc("GET /_standin/counts", s.serveCounts)
	s.mux.HandleFunc("GET /_standin/faults", s.serveFaults)
	s.mux.HandleFunc("POST /_standin/faults", s.replaceFaults)
	s.mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		s.increment(&s.counts.Other)
		writeFailure(w, &failure{http.StatusNotFound, "path not found"})
	})
	return s
}

// SetBookmarkInterval sets the time between bookmarks on a watch. Call it before the first request.
func (s *Server) SetBookmarkInterval(d time.Duration) { s.bookmarkInterval = d }

// SetHistoryLength sets the minimum number of changes that are kept for watches. Call it before the first request.
func (s *Server) SetHistoryLength(n int) { s.state.minHistory = n }

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) increment(n *int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

// readState returns the state that reads are served from. The caller must hold the lock.
func (s *Server) readState() *state {
	if s.staleState != nil {
		return s.staleState
	}
	return s.state
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Get)
	s.applyRequestFaults()
	s.mu.Lock()
	obj, ok := s.readState().objects[requestKey(r)]
	s.mu.Unlock()
	if !ok {
		writeFailure(w, &failure{http.StatusNotFound, "object " + r.PathValue("name") + " not found"})
		return
	}
	writeJSON(w, http.StatusOK, obj)
}

func (s *Server) listOrWatch(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r)
		return
	}
	s.increment(&s.counts.List)
	s.applyRequestFaults()
	s.mu.Lock()
	items := s.readState().list(r.PathValue("kind"))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"apiVersion": "monsoonlatch.dev/v1", "kind": "List", "items": items})
}

func (s *Server) create(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Create)
	var obj object
	if failed := readBody(w, r, &obj); failed != nil {
		writeFailure(w, failed)
		return
	}
	if obj.Metadata.Name == "" {
		writeFailure(w, &failure{http.StatusUnprocessableEntity, "metadata.name is missing"})
		return
	}
	k := key{r.PathValue("kind"), obj.Metadata.Name}
	s.write(w, http.StatusCreated, func() (object, *failure) { return s.state.create(k, obj) })
}

func (s *Server) update(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Update)
	var obj object
	if failed := readBody(w, r, &obj); failed != nil {
		writeFailure(w, failed)
		return
	}
	k := requestKey(r)
	if obj.Metadata.Name != k.name {
		writeFailure(w, &failure{http.StatusBadRequest, "metadata.name differs from the name in the path"})
		return
	}
	s.write(w, http.StatusOK, func() (object, *failure) { return s.state.update(k, obj) })
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Delete)
	var body struct {
		Preconditions struct {
			ResourceVersion string `json:"resourceVersion"`
		} `json:"preconditions"`
	}
	if failed := readBody(w, r, &body); failed != nil {
		writeFailure(w, failed)
		return
	}
	k := requestKey(r)
	s.write(w, http.StatusOK, func() (object, *failure) {
		return s.state.remove(k, body.Preconditions.ResourceVersion)
	})
}

// write performs one change under the lock and sends the response, unless LoseAnswers applies.
func (s *Server) write(w http.ResponseWriter, code int, change func() (object, *failure)) {
	s.applyRequestFaults()
	s.mu.Lock()
	obj, failed := change()
	lost := false
	if failed == nil {
		lost = s.loseResponse()
		s.notifyWatches()
	}
	s.mu.Unlock()
	switch {
	case failed != nil:
		writeFailure(w, failed)
	case lost:
		abort()
	default:
		writeJSON(w, code, obj)
	}
}

func requestKey(r *http.Request) key { return key{r.PathValue("kind"), r.PathValue("name")} }

func readBody(w http.ResponseWriter, r *http.Request, out any) *failure {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &failure{http.StatusRequestEntityTooLarge, "the object is larger than 1 MiB"}
	}
	if err != nil {
		return &failure{http.StatusBadRequest, err.Error()}
	}
	if len(data) == 0 && r.Method == http.MethodDelete {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &failure{http.StatusBadRequest, "the body is not an object: " + err.Error()}
	}
	return nil
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v) // Fails only if the client has disconnected.
}

func writeFailure(w http.ResponseWriter, f *failure) { writeJSON(w, f.code, statusObject(f)) }

func statusObject(f *failure) map[string]any {
	return map[string]any{"apiVersion": "v1", "kind": "Status", "status": "Failure", "code": f.code, "message": f.message}
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	c := s.Counts()
	writeJSON(w, http.StatusOK, struct {
		Counts
		Total int64 `json:"total"`
	}{c, c.Total()})
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults())
}

// replaceFaults replaces the injected faults. The fields save and restore call Save and Restore once.
func (s *Server) replaceFaults(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Faults
		Save    bool `json:"save"`
		Restore bool `json:"restore"`
	}
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		writeFailure(w, &failure{http.StatusBadRequest, err.Error()})
		return
	}
	if body.Save {
		s.Save()
	}
	if body.Restore {
		s.Restore()
	}
	s.SetFaults(body.Faults)
	writeJSON(w, http.StatusOK, s.Faults())
}
