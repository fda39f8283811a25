package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
)

// Wire names of the object API. They follow custom resources of Kubernetes.
const (
	apiVersion = "monsoonlatch.dev/v1"
	apiPath    = "/apis/monsoonlatch.dev/v1/"

	// maxListBytes bounds the answer to one List.
	maxListBytes = 64 << 20
	// maxAnswerBytes bounds any other answer: an object of MaxObjectBytes and its metadata.
	maxAnswerBytes = 2 * MaxObjectBytes
	maxErrorBytes  = 4 << 10
)

var wireKinds = map[ObjectKind]string{
	KindConfiguration: "Configuration",
	KindRelayLease:    "RelayLease",
	KindZoneStatus:    "ZoneStatus",
	KindKeyClaim:      "KeyClaim",
}

// Client is a Store over HTTP.
type Client struct {
	settings Settings
	// reads keeps connections; a GET that net/http sends again is harmless.
	reads *http.Client
	// single uses a connection of its own for each request. http.Transport sends a request again only when a reused
	// connection fails, so a write is sent once.
	single *http.Client
}

var _ Store = (*Client)(nil)

// NewClient returns a client, or Invalid when the address cannot be used.
func NewClient(settings Settings) (*Client, error) {
	settings = settings.withDefaults()
	u, err := url.Parse(settings.BaseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fault.New(fault.Invalid, "platform address", fmt.Sprintf("%q is not an HTTP address", settings.BaseURL),
			"set an address such as http://10.0.0.5:8001")
	}
	return &Client{settings: settings, reads: newHTTPClient(true), single: newHTTPClient(false)}, nil
}

func newHTTPClient(keep bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // The HTTP/2 transport has further rules for sending requests again.
	return &http.Client{
		Transport: &http.Transport{
			Proxy:               http.ProxyFromEnvironment,
			DisableKeepAlives:   !keep,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     10 * time.Second,
			Protocols:           protocols,
		},
		// A redirect with status 307 or 308 would send a write again.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.reads.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

type wireMeta struct {
	Name            string `json:"name,omitempty"`
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

type wireObject struct {
	APIVersion string          `json:"apiVersion"`
	Kind       string          `json:"kind"`
	Metadata   wireMeta        `json:"metadata"`
	Spec       json.RawMessage `json:"spec,omitempty"`
}

type wireList struct {
	Items []wireObject `json:"items"`
}

type wireDelete struct {
	Preconditions struct {
		ResourceVersion string `json:"resourceVersion"`
	} `json:"preconditions"`
}

type wireStatus struct {
	Message string `json:"message"`
	Code    int    `json:"code"`
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, kind ObjectKind, name string) (Object, error) {
	return c.object(ctx, http.MethodGet, kind, name, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind ObjectKind) ([]Object, error) {
	op := "platform list " + string(kind)
	var list wireList
	if err := c.call(ctx, op, http.MethodGet, collection(kind), nil, maxListBytes, &list); err != nil {
		return nil, err
	}
	objects := make([]Object, 0, len(list.Items))
	for _, w := range list.Items {
		objects = append(objects, w.object(kind))
	}
	return objects, nil
}

// Create implements Store.
func (c *Client) Create(ctx context.Context, obj Object) (Object, error) {
	obj.Version = ""
	return c.write(ctx, http.MethodPost, obj)
}

// Update implements Store.
func (c *Client) Update(ctx context.Context, obj Object) (Object, error) {
	if obj.Version == "" {
		return Object{}, fault.New(fault.Invalid, "platform update "+string(obj.Kind)+"/"+obj.Name,
			"the version is missing", "update with the version that was read")
	}
	return c.write(ctx, http.MethodPut, obj)
}

// Delete implements Store.
func (c *Client) Delete(ctx context.Context, kind ObjectKind, name, version string) error {
	var condition wireDelete
	condition.Preconditions.ResourceVersion = version
	body, err := json.Marshal(condition)
	if err != nil {
		return err
	}
	op := fmt.Sprintf("platform delete %s/%s", kind, name)
	return c.call(ctx, op, http.MethodDelete, item(kind, name), body, maxAnswerBytes, nil)
}

func (c *Client) write(ctx context.Context, method string, obj Object) (Object, error) {
	op := fmt.Sprintf("platform write %s/%s", obj.Kind, obj.Name)
	body, err := json.Marshal(wireObject{APIVersion: apiVersion, Kind: wireKinds[obj.Kind], Spec: obj.Spec,
		Metadata: wireMeta{Name: obj.Name, ResourceVersion: obj.Version}})
	if err != nil {
		return Object{}, fault.Wrap(fault.Invalid, op, err, "write a spec that is JSON")
	}
	if len(body) > MaxObjectBytes {
		return Object{}, fault.New(fault.Invalid, op, fmt.Sprintf("the object has %d bytes, more than %d", len(body), MaxObjectBytes),
			"make the object smaller")
	}
	return c.object(ctx, method, obj.Kind, obj.Name, body)
}

func (c *Client) object(ctx context.Context, method string, kind ObjectKind, name string, body []byte) (Object, error) {
	path := item(kind, name)
	if method == http.MethodPost {
		path = collection(kind)
	}
	op := fmt.Sprintf("platform %s %s/%s", strings.ToLower(method), kind, name)
	var w wireObject
	if err := c.call(ctx, op, method, path, body, maxAnswerBytes, &w); err != nil {
		return Object{}, err
	}
	if w.Metadata.Name != name || w.Metadata.ResourceVersion == "" {
		return Object{}, fault.New(fault.Unavailable, op, fmt.Sprintf("the platform answered with object %q", w.Metadata.Name),
			"check what stands between this process and the platform")
	}
	return w.object(kind), nil
}

// call runs one request with a deadline and reads its answer into out.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, limit int64, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	client := c.single
	if method == http.MethodGet {
		client = c.reads
	}
	resp, err := c.send(ctx, client, method, path, body)
	if err != nil {
		return unavailable(op, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(op, resp); err != nil {
		return err
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return unavailable(op, err)
	}
	if int64(len(data)) > limit {
		return fault.New(fault.Unavailable, op, fmt.Sprintf("the answer has more than %d bytes", limit), "check the platform")
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(fault.Unavailable, op, err, "check what stands between this process and the platform")
	}
	return nil
}

func (c *Client) send(ctx context.Context, client *http.Client, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.settings.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.GetBody = nil // Without it net/http cannot send the body a second time.
	}
	req.Header.Set("Accept", "application/json")
	if c.settings.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.Token)
	}
	return client.Do(req)
}

func unavailable(op string, err error) error {
	return fault.Wrap(fault.Unavailable, op, err, "check the platform's address and the network, then read before writing again")
}

// statusError turns an answer that is not a success into an error.
func statusError(op string, resp *http.Response) error {
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return nil
	}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	status := wireStatus{Code: resp.StatusCode}
	if json.Unmarshal(data, &status) != nil || status.Message == "" {
		status.Message = http.StatusText(resp.StatusCode)
	}
	return codeError(op, resp.StatusCode, status.Message)
}

func codeError(op string, code int, message string) error {
	detail := fmt.Sprintf("status %d: %s", code, message)
	switch code {
	case http.StatusConflict:
		return fault.New(fault.Conflict, op, detail, "read the object and try again")
	case http.StatusNotFound:
		return fault.New(fault.NotFound, op, detail, "check the name")
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusRequestEntityTooLarge:
		return fault.New(fault.Invalid, op, detail, "correct the object")
	case http.StatusUnauthorized, http.StatusForbidden:
		return fault.New(fault.Forbidden, op, detail, "check the token and the platform's access rules")
	case http.StatusTooManyRequests:
		return fault.New(fault.Limited, op, detail, "try again later")
	}
	return fault.New(fault.Unavailable, op, detail, "check the platform, then read before writing again")
}

func collection(kind ObjectKind) string { return apiPath + url.PathEscape(string(kind)) }

func item(kind ObjectKind, name string) string { return collection(kind) + "/" + url.PathEscape(name) }

func (w wireObject) object(kind ObjectKind) Object {
	return Object{Kind: kind, Name: w.Metadata.Name, Version: w.Metadata.ResourceVersion, Spec: w.Spec}
}

// boundedReader fails after left bytes, so that one event cannot fill the memory.
type boundedReader struct {
	r    io.Reader
	left int
}

func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("an event has more than %d bytes", maxAnswerBytes)
	}
	n, err := b.r.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

type wireEvent struct {
	Type   string          `json:"type"`
	Object json.RawMessage `json:"object"`
}

// errSilent is the cause of a watch that ended because no event and no bookmark came in time.
var errSilent = errors.New("no event and no bookmark came in time")

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error {
	op := fmt.Sprintf("platform watch %s/%s", kind, name)
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(c.settings.WatchSilence, func() { cancel(errSilent) })
	defer silence.Stop()
	query := url.Values{"watch": {"true"}, "allowWatchBookmarks": {"true"}, "resourceVersion": {version},
		"fieldSelector":  {"metadata.name=" + name},
		"timeoutSeconds": {strconv.Itoa(int(max(c.settings.WatchDuration, time.Second) / time.Second))}}
	resp, err := c.send(inner, c.single, http.MethodGet, collection(kind)+"?"+query.Encode(), nil)
	if err != nil {
		return watchError(ctx, inner, op, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if err := statusError(op, resp); err != nil {
		return err
	}
	w := watch{op: op, kind: kind, name: name, handle: handle}
	body := &boundedReader{r: resp.Body}
	for dec := json.NewDecoder(body); ; {
		body.left = maxAnswerBytes
		var e wireEvent
		if err := dec.Decode(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return watchError(ctx, inner, op, err)
		}
		// The time that handle takes does not count as silence.
		silence.Stop()
		if err := w.event(e); err != nil {
			return err
		}
		silence.Reset(c.settings.WatchSilence)
	}
}

func watchError(outer, inner context.Context, op string, err error) error {
	if outer.Err() != nil {
		return outer.Err()
	}
	if cause := context.Cause(inner); cause != nil {
		err = cause
	}
	return fault.Wrap(fault.Unavailable, op, err, "read the object, then watch again")
}

type watch struct {
	op     string
	kind   ObjectKind
	name   string
	handle func(Object) error
}

// event handles one event of the stream. A deleted object is not a state; the caller's next read finds it missing.
func (w watch) event(e wireEvent) error {
	switch e.Type {
	case "BOOKMARK":
		return nil
	case "ADDED", "MODIFIED":
		var obj wireObject
		if err := json.Unmarshal(e.Object, &obj); err != nil {
			return fault.Wrap(fault.Unavailable, w.op, err, "read the object, then watch again")
		}
		if obj.Metadata.Name != w.name {
			return nil
		}
		return w.handle(obj.object(w.kind))
	case "DELETED":
		return fault.New(fault.Unavailable, w.op, "the object was deleted", "read the object, then watch again")
	}
	var status wireStatus
	_ = json.Unmarshal(e.Object, &status) // An unreadable status leaves the code at 0, which is Unavailable too.
	return fault.New(fault.Unavailable, w.op, fmt.Sprintf("the platform ended the watch: %d %s", status.Code, status.Message),
		"read the object, then watch again")
}
