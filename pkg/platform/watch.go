package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

const watchRemedy = "read the object, then watch again"

var (
	// errWatchIdle is the cancellation cause of a watch that received nothing for WatchIdleTimeout.
	errWatchIdle = errors.New("no event or bookmark arrived in time")
	// errUnknownStart is returned for a watch that starts at a version outside the platform's history.
	errUnknownStart = errors.New("the platform's history does not include the start version")
)

type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// watch is the state of one Watch call.
type watch struct {
	client *Client
	op     string
	kind   ObjectKind
	name   string
	// version is the version of the latest state that the caller has.
	version string
	handle  func(Object) error
}

// Watch implements Store. The platform keeps its change history for minutes only, and an object that changes less often
// may have a version older than that. The watch is then retried from the current state, which costs one more call.
func (c *Client) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	w := &watch{client: c, op: fmt.Sprintf("platform watch %s/%s", kind, name), kind: kind, name: name, version: version, handle: handle}
	start := c.resume.start(kind, name, version)
	err := w.stream(ctx, start)
	if start != "" && errors.Is(err, errUnknownStart) {
		err = w.stream(ctx, "")
	}
	return err
}

// stream runs one watch request from the version start. If start is empty, the platform sends the current state first.
func (w *watch) stream(ctx context.Context, start string) error {
	settings := w.client.settings
	streamCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(settings.WatchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	query := url.Values{"watch": {"true"}, "allowWatchBookmarks": {"true"}, "fieldSelector": {"metadata.name=" + w.name},
		"timeoutSeconds": {strconv.Itoa(int(max(settings.WatchDuration, time.Second) / time.Second))}}
	if start != "" {
		query.Set("resourceVersion", start)
	}
	resp, err := w.client.send(streamCtx, w.client.unpooled, http.MethodGet, collectionPath(w.kind)+"?"+query.Encode(), nil)
	if err != nil {
		return w.failure(ctx, streamCtx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if isUnknownStart(resp.StatusCode) {
		return fault.Wrap(fault.Unavailable, w.op, errUnknownStart, watchRemedy)
	}
	if err := statusError(w.op, resp); err != nil {
		return err
	}
	body := &boundedReader{r: resp.Body}
	for dec := json.NewDecoder(body); ; {
		body.remaining = maxResponseBytes
		var e wireEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return w.failure(ctx, streamCtx, err)
		}
		// The time that handle takes does not count towards WatchIdleTimeout.
		idleTimer.Stop()
		if err := w.handleEvent(e); err != nil {
			return err
		}
		idleTimer.Reset(settings.WatchIdleTimeout)
	}
}

// isUnknownStart reports whether a status says that the start version is too old (410), or newer than the platform's
// state (504), as after the platform was restored from a backup.
func isUnknownStart(code int) bool {
	return code == http.StatusGone || code == http.StatusGatewayTimeout
}

func (w *watch) failure(callerCtx, streamCtx context.Context, err error) error {
	if callerCtx.Err() != nil {
		return callerCtx.Err()
	}
	if cause := context.Cause(streamCtx); cause != nil {
		err = cause
	}
	return fault.Wrap(fault.Unavailable, w.op, err, watchRemedy)
}

// handleEvent handles one event of the stream. A deletion ends the watch with an error; the caller's next read returns
// NotFound.
func (w *watch) handleEvent(e wireEvent) error {
	switch e.Type {
	case "ADDED", "MODIFIED", "BOOKMARK":
		var obj wireObject
		if err := json.Unmarshal(e.Object, &obj); err != nil {
			return fault.Wrap(fault.Unavailable, w.op, err, watchRemedy)
		}
		return w.handleState(e.Type, obj)
	case "DELETED":
		return fault.New(fault.Unavailable, w.op, "the object was deleted", watchRemedy)
	}
	var status wireStatus
	_ = json.Unmarshal(e.Object, &status) // An unreadable status leaves the code at 0, which is Unavailable too.
	if isUnknownStart(status.Code) {
		return fault.Wrap(fault.Unavailable, w.op, errUnknownStart, watchRemedy)
	}
	return fault.New(fault.Unavailable, w.op, fmt.Sprintf("the platform ended the watch with status %d: %s", status.Code, status.Message), watchRemedy)
}

// handleState calls handle if the caller does not have this state yet, and records the position of the watch.
func (w *watch) handleState(eventType string, obj wireObject) error {
	resourceVersion := obj.Metadata.ResourceVersion
	if eventType != "BOOKMARK" && obj.Metadata.Name == w.name && resourceVersion != w.version {
		if err := w.handle(obj.object(w.kind)); err != nil {
			return err
		}
		w.version = resourceVersion
	}
	w.client.resume.record(w.kind, w.name, w.version, resourceVersion)
	return nil
}

// watchPositions holds the position of the latest watch on each object. A process watches only a few objects.
type watchPositions struct {
	mu     sync.Mutex
	byKind map[ObjectKind]map[string]watchPosition
}

// watchPosition states that the object with this version was unchanged up to the resource version latest.
type watchPosition struct{ version, latest string }

func (p *watchPositions) record(kind ObjectKind, name, version, latest string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byKind == nil {
		p.byKind = make(map[ObjectKind]map[string]watchPosition)
	}
	if p.byKind[kind] == nil {
		p.byKind[kind] = make(map[string]watchPosition)
	}
	p.byKind[kind][name] = watchPosition{version, latest}
}

// start returns the resource version at which a watch can start if its caller has the given version of the object.
func (p *watchPositions) start(kind ObjectKind, name, version string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pos, ok := p.byKind[kind][name]; ok && pos.version == version {
		return pos.latest
	}
	return version
}

// boundedReader fails after remaining bytes, so that one event cannot exhaust the memory.
type boundedReader struct {
	r         io.Reader
	remaining int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, fmt.Errorf("event exceeds %d bytes", maxResponseBytes)
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}
