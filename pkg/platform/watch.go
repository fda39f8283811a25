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
	// errSilent is the cancellation cause of a watch that received nothing for WatchSilence.
	errSilent = errors.New("no event or bookmark arrived in time")
	// errGone is returned for a watch that starts at a version outside the platform's history.
	errGone = errors.New("the platform's history does not include the start version")
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

// Watch implements Store. The platform keeps its change history for minutes only. The version of an object that changes
// less often is older than the history, so the watch is retried from the current state, which costs one more call.
func (c *Client) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	w := &watch{client: c, op: fmt.Sprintf("platform watch %s/%s", kind, name), kind: kind, name: name, version: version, handle: handle}
	start := c.resume.start(kind, name, version)
	err := w.stream(ctx, start)
	if start != "" && errors.Is(err, errGone) {
		err = w.stream(ctx, "")
	}
	return err
}

// stream runs one watch request from the version start. If start is empty, the platform sends the current state first.
func (w *watch) stream(ctx context.Context, start string) error {
	settings := w.client.settings
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(settings.WatchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	query := url.Values{"watch": {"true"}, "allowWatchBookmarks": {"true"}, "fieldSelector": {"metadata.name=" + w.name},
		"timeoutSeconds": {strconv.Itoa(int(max(settings.WatchDuration, time.Second) / time.Second))}}
	if start != "" {
		query.Set("resourceVersion", start)
	}
	resp, err := w.client.send(inner, w.client.single, http.MethodGet, collection(w.kind)+"?"+query.Encode(), nil)
	if err != nil {
		return w.failure(ctx, inner, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if gone(resp.StatusCode) {
		return fault.Wrap(fault.Unavailable, w.op, errGone, watchRemedy)
	}
	if err := statusError(w.op, resp); err != nil {
		return err
	}
	body := &boundedReader{r: resp.Body}
	for dec := json.NewDecoder(body); ; {
		body.left = maxAnswerBytes
		var e wireEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return w.failure(ctx, inner, err)
		}
		// The time that handle takes does not count towards WatchSilence.
		silence.Stop()
		if err := w.event(e); err != nil {
			return err
		}
		silence.Reset(settings.WatchSilence)
	}
}

// gone reports whether a status says that the start version is too old (410), or newer than the platform's state (504),
// as after the platform was restored from a backup.
func gone(code int) bool { return code == http.StatusGone || code == http.StatusGatewayTimeout }

func (w *watch) failure(outer, inner context.Context, err error) error {
	if outer.Err() != nil {
		return outer.Err()
	}
	if cause := context.Cause(inner); cause != nil {
		err = cause
	}
	return fault.Wrap(fault.Unavailable, w.op, err, watchRemedy)
}

// event handles one event of the stream. A deletion ends the watch with an error; the caller's next read returns
// NotFound.
func (w *watch) event(e wireEvent) error {
	switch e.Type {
	case "ADDED", "MODIFIED", "BOOKMARK":
		var obj wireObject
		if err := json.Unmarshal(e.Object, &obj); err != nil {
			return fault.Wrap(fault.Unavailable, w.op, err, watchRemedy)
		}
		return w.state(e.Type, obj)
	case "DELETED":
		return fault.New(fault.Unavailable, w.op, "the object was deleted", watchRemedy)
	}
	var status wireStatus
	_ = json.Unmarshal(e.Object, &status) // An unreadable status leaves the code at 0, which is Unavailable too.
	if gone(status.Code) {
		return fault.Wrap(fault.Unavailable, w.op, errGone, watchRemedy)
	}
	return fault.New(fault.Unavailable, w.op, fmt.Sprintf("the platform ended the watch with status %d: %s", status.Code, status.Message), watchRemedy)
}

// state calls handle if the caller does not have this state yet, and records the position of the watch.
func (w *watch) state(verb string, obj wireObject) error {
	at := obj.Metadata.ResourceVersion
	if verb != "BOOKMARK" && obj.Metadata.Name == w.name && at != w.version {
		if err := w.handle(obj.object(w.kind)); err != nil {
			return err
		}
		w.version = at
	}
	w.client.resume.reached(w.kind, w.name, w.version, at)
	return nil
}

// positions holds the position of the latest watch on each object. A process watches only a few objects.
type positions struct {
	mu sync.Mutex
	at map[ObjectKind]map[string]position
}

// position states that the object with this version was unchanged up to the resource version at.
type position struct{ version, at string }

func (p *positions) reached(kind ObjectKind, name, version, at string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.at == nil {
		p.at = make(map[ObjectKind]map[string]position)
	}
	if p.at[kind] == nil {
		p.at[kind] = make(map[string]position)
	}
	p.at[kind][name] = position{version, at}
}

// start returns the resource version at which a watch can start if its caller has the given version of the object.
func (p *positions) start(kind ObjectKind, name, version string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.at[kind][name]; ok && known.version == version {
		return known.at
	}
	return version
}

// boundedReader fails after left bytes, so that one event cannot exhaust the memory.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("event exceeds %d bytes", maxAnswerBytes)
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}
