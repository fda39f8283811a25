package platform

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
)

// DefaultHistoryLength is the default minimum number of changes that are kept for watches. A watch from an earlier
// revision fails with 410.
const DefaultHistoryLength = 4096

type meta struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type object struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   meta            `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

// key identifies an object by its kind, in plural, and its name.
type key struct{ kind, name string }

type change struct {
	revision  uint64
	eventType string
	key       key
	object    object
}

// state holds the objects and the recent changes. Its user must hold the lock of the Server.
type state struct {
	revision uint64
	objects  map[key]object
	history  []change
	// minHistory is the minimum number of changes kept in history. At most twice as many are kept.
	minHistory int
}

func newState(minHistory int) *state {
	return &state{objects: make(map[key]object), minHistory: minHistory}
}

// clone copies the state. The copy shares the objects, which are replaced and never modified in place.
func (s *state) clone() *state {
	return &state{
		revision: s.revision, objects: maps.Clone(s.objects), history: slices.Clone(s.history), minHistory: s.minHistory,
	}
}

// failure is an error response.
type failure struct {
	code    int
	message string
}

func (s *state) create(k key, obj object) (object, *failure) {
	if _, ok := s.objects[k]; ok {
		return object{}, &failure{http.StatusConflict, "object " + k.name + " already exists"}
	}
	return s.store("ADDED", k, obj), nil
}

func (s *state) update(k key, obj object) (object, *failure) {
	old, ok := s.objects[k]
	switch {
	case obj.Metadata.ResourceVersion == "":
		return object{}, &failure{http.StatusUnprocessableEntity, "metadata.resourceVersion must be given for an update"}
	case !ok:
		return object{}, &failure{http.StatusNotFound, "object " + k.name + " not found"}
	case old.Metadata.ResourceVersion != obj.Metadata.ResourceVersion:
		return object{}, &failure{http.StatusConflict, "object " + k.name + " has been modified"}
	}
	return s.store("MODIFIED", k, obj), nil
}

func (s *state) remove(k key, version string) (object, *failure) {
	old, ok := s.objects[k]
	if !ok {
		return object{}, &failure{http.StatusNotFound, "object " + k.name + " not found"}
	}
	if version != "" && old.Metadata.ResourceVersion != version {
		return object{}, &failure{http.StatusConflict, "the precondition on resourceVersion does not hold"}
	}
	delete(s.objects, k)
	s.appendChange("DELETED", k, old)
	return old, nil
}

func (s *state) store(eventType string, k key, obj object) object {
	obj.Metadata = meta{Name: k.name, ResourceVersion: strconv.FormatUint(s.revision+1, 10)}
	s.objects[k] = obj
	s.appendChange(eventType, k, obj)
	return obj
}

func (s *state) appendChange(eventType string, k key, obj object) {
	s.revision++
	s.history = append(s.history, change{s.revision, eventType, k, obj})
	if len(s.history) > 2*s.minHistory {
		s.history = slices.Clone(s.history[s.minHistory:])
	}
}

func (s *state) list(kind string) []object {
	var out []object
	for k, obj := range s.objects {
		if k.kind == kind {
			out = append(out, obj)
		}
	}
	slices.SortFunc(out, func(a, b object) int {
		if a.Metadata.Name < b.Metadata.Name {
			return -1
		}
		return 1
	})
	return out
}

// changesSince returns the changes after a revision. It returns false if the history no longer covers them, or if the
// revision is in the future.
func (s *state) changesSince(revision uint64) ([]change, bool) {
	oldest := s.revision - uint64(len(s.history))
	if revision < oldest || revision > s.revision {
		return nil, false
	}
	return s.history[revision-oldest:], true
}
