package announce

import (
	"encoding/json"
	"net/http"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// maxBodyBytes is the maximum size of a request body. A valid announcement is far smaller.
const maxBodyBytes = 4 << 10

// ServeHTTP handles POST /v1/announce. It accepts requests from this VM only.
func (t *BackendTracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := t.handle(w, r); err != nil {
		event.AnnouncementRefused.Write(event.AnnouncementRefused.Log(&t.settings.Log).Err(err).Str("remote", r.RemoteAddr))
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(httpStatus(err))
		_ = json.NewEncoder(w).Encode(map[string]string{"error": err.Error()})
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (t *BackendTracker) handle(w http.ResponseWriter, r *http.Request) error {
	if !t.isAllowedRemote(r.RemoteAddr) {
		return fault.New(fault.Forbidden, "announce", "the sender is not on this VM",
			"send the announcement from a loopback address, or configure the backend server's address")
	}
	if r.Method != http.MethodPost {
		return fault.New(fault.Invalid, "announce", "unsupported method "+r.Method, "use POST")
	}
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		return fault.Wrap(fault.Invalid, "announce", err, "send a JSON object with service, address, slots and state")
	}
	return t.Announce(a)
}

func httpStatus(err error) int {
	switch fault.KindOf(err) {
	case fault.Forbidden:
		return http.StatusForbidden
	case fault.Conflict:
		return http.StatusConflict
	case fault.Unavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}
