package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// defaultWatchTimeout ends a watch whose client does not set timeoutSeconds.
const defaultWatchTimeout = 5 * time.Minute

// watcher is one open watch.
type watcher struct {
	s        *Server
	w        http.ResponseWriter
	kind     string
	name     string
	revision uint64
	epoch    int
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	s.increment(&s.counts.Watch)
	s.applyRequestFaults()
	q := r.URL.Query()
	v := &watcher{s: s, w: w, kind: r.PathValue("kind"),
		name: strings.TrimPrefix(q.Get("fieldSelector"), "metadata.name=")}
	timeout := defaultWatchTimeout
	if n, err := strconv.Atoi(q.Get("timeoutSeconds")); err == nil && n > 0 {
		timeout = time.Duration(n) * time.Second
	}
	initial, failed := v.start(q.Get("resourceVersion"))
	if failed != nil {
		writeFailure(w, failed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	v.flush()
	for _, obj := range initial {
		v.send("ADDED", obj)
	}
	v.run(r, timeout)
}

// start sets the revision from which the watch sends changes. Without a version it returns the current objects, to be
// sent first.
func (v *watcher) start(version string) ([]object, *failure) {
	v.s.mu.Lock()
	defer v.s.mu.Unlock()
	state := v.s.state
	v.epoch = v.s.epoch
	if v.s.faults.ExpireWatches {
		return nil, &failure{http.StatusGone, "the watch has expired"}
	}
	if version == "" || version == "0" {
		v.revision = state.revision
		var initial []object
		for _, obj := range state.list(v.kind) {
			if v.s.faults.SilentWatches {
				break
			}
			if v.name == "" || obj.Metadata.Name == v.name {
				initial = append(initial, obj)
			}
		}
		return initial, nil
	}
	n, err := strconv.ParseUint(version, 10, 64)
	if err != nil {
		return nil, &failure{http.StatusBadRequest, "resourceVersion is not a number"}
	}
	if _, ok := state.changesSince(n); !ok {
		return nil, &failure{http.StatusGone, "resourceVersion " + version + " is not available"}
	}
	v.revision = n
	return nil, nil
}

func (v *watcher) run(r *http.Request, timeout time.Duration) {
	end := time.NewTimer(timeout)
	defer end.Stop()
	bookmark := time.NewTicker(v.s.bookmarkInterval)
	defer bookmark.Stop()
	for {
		changed, silent, ok := v.sendChanges()
		if !ok {
			return
		}
		ended, ticks := end.C, bookmark.C
		if silent {
			ended, ticks = nil, nil
		}
		select {
		case <-changed:
		case <-ticks:
			v.send("BOOKMARK", object{APIVersion: "monsoonlatch.dev/v1", Kind: v.kind,
				Metadata: meta{ResourceVersion: strconv.FormatUint(v.revision, 10)}})
		case <-ended:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// sendChanges sends the changes since the last call. It returns the channel that is closed at the next change, whether
// SilentWatches is set, and false if the watch has ended.
func (v *watcher) sendChanges() (changed <-chan struct{}, silent, ok bool) {
	v.s.mu.Lock()
	f, st := v.s.faults, v.s.state
	changed = v.s.changed
	var changes []change
	unexpired := v.epoch == v.s.epoch && !f.ExpireWatches
	if unexpired && !f.SilentWatches {
		changes, unexpired = st.changesSince(v.revision)
		v.revision = st.revision
	}
	v.s.mu.Unlock()
	switch {
	case f.Down:
		abort()
	case f.SilentWatches:
		return changed, true, true
	case !unexpired:
		v.send("ERROR", statusObject(&failure{http.StatusGone, "the watch has expired"}))
		return changed, false, false
	}
	for _, c := range changes {
		if c.key.kind == v.kind && (v.name == "" || c.key.name == v.name) {
			v.send(c.eventType, c.object)
		}
	}
	return changed, false, true
}

func (v *watcher) send(eventType string, obj any) {
	// An error means that the client has disconnected, which ends run.
	_ = json.NewEncoder(v.w).Encode(map[string]any{"type": eventType, "object": obj})
	v.flush()
}

func (v *watcher) flush() {
	_ = http.NewResponseController(v.w).Flush()
}
