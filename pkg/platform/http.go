package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/strict"
)

// Names and limits of the object API. The names follow Kubernetes custom resources.
const (
	apiVersion = "monsoonlatch.dev/v1"
	apiPath    = "/apis/monsoonlatch.dev/v1/"

	// maxListBytes limits the response to a List.
	maxListBytes = 64 << 20
	// maxResponseBytes limits any other response, which is at most an object of MaxObjectBytes with its metadata.
	maxResponseBytes = 2 * MaxObjectBytes
)

var wireKinds = map[ObjectKind]string{
	KindConfiguration: "Configuration",
	KindRelayLease:    "RelayLease",
	KindZoneStatus:    "ZoneStatus",
	KindKeyClaim:      "KeyClaim",
}

// Client implements Store over HTTP.
type Client struct {
	settings Settings
	// pooled reuses connections. It is used for GET requests only, which net/http may safely repeat.
	pooled *http.Client
	// unpooled opens a new connection for each request. http.Transport repeats a request only when a reused connection
	// fails, so a write is sent only once.
	unpooled *http.Client
	// resume lets a watch continue where the previous watch on the same object ended.
	resume watchPositions
}

var _ Store = (*Client)(nil)

// NewClient returns a client, or Invalid if the base URL is not an HTTP address.
func NewClient(settings Settings) (*Client, error) {
	settings = settings.withDefaults()
	u, err := url.Parse(settings.BaseURL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, fault.New(fault.Invalid, "platform address", fmt.Sprintf("%q is not an HTTP address", settings.BaseURL),
			"set an address such as http://10.0.0.5:8001")
	}
	return &Client{settings: settings, pooled: newHTTPClient(settings, true), unpooled: newHTTPClient(settings, false)}, nil
}

func newHTTPClient(settings Settings, keepAlive bool) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true) // The HTTP/2 transport repeats requests in further cases.
	return &http.Client{
		Transport: strict.NewTransport(&http.Transport{
			Proxy:               http.ProxyFromEnvironment,
			DialContext:         settings.Dial,
			DisableKeepAlives:   !keepAlive,
			MaxIdleConnsPerHost: 4,
			IdleConnTimeout:     10 * time.Second,
			Protocols:           protocols,
		}),
		// Following a redirect with status 307 or 308 would repeat a write.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
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
	return c.callObject(ctx, http.MethodGet, kind, name, nil)
}

// List implements Store.
func (c *Client) List(ctx context.Context, kind ObjectKind) ([]Object, error) {
	op := "platform list " + string(kind)
	var list wireList
	if err := c.call(ctx, op, http.MethodGet, collectionPath(kind), nil, maxListBytes, &list); err != nil {
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
			"the object has no version", "set the version of the object that was read")
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
	return c.call(ctx, op, http.MethodDelete, objectPath(kind, name), body, maxResponseBytes, nil)
}

func (c *Client) write(ctx context.Context, method string, obj Object) (Object, error) {
	op := fmt.Sprintf("platform write %s/%s", obj.Kind, obj.Name)
	body, err := json.Marshal(wireObject{APIVersion: apiVersion, Kind: wireKinds[obj.Kind], Spec: obj.Spec,
		Metadata: wireMeta{Name: obj.Name, ResourceVersion: obj.Version}})
	if err != nil {
		return Object{}, fault.Wrap(fault.Invalid, op, err, "make the spec valid JSON")
	}
	if len(body) > MaxObjectBytes {
		return Object{}, fault.New(fault.Invalid, op, fmt.Sprintf("object of %d bytes exceeds the limit of %d", len(body), MaxObjectBytes),
			"make the object smaller")
	}
	return c.callObject(ctx, method, obj.Kind, obj.Name, body)
}

func (c *Client) callObject(ctx context.Context, method string, kind ObjectKind, name string, body []byte) (Object, error) {
	path := objectPath(kind, name)
	if method == http.MethodPost {
		path = collectionPath(kind)
	}
	op := fmt.Sprintf("platform %s %s/%s", strings.ToLower(method), kind, name)
	var w wireObject
	if err := c.call(ctx, op, method, path, body, maxResponseBytes, &w); err != nil {
		return Object{}, err
	}
	if w.Metadata.Name != name || w.Metadata.ResourceVersion == "" {
		return Object{}, fault.New(fault.Unavailable, op, fmt.Sprintf("response has object name %q, or no version", w.Metadata.Name),
			"check for a proxy between this process and the platform")
	}
	return w.object(kind), nil
}

// call sends one request with CallTimeout as its time limit and decodes the response into out, unless out is nil.
func (c *Client) call(ctx context.Context, op, method, path string, body []byte, limit int64, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.settings.CallTimeout)
	defer cancel()
	client := c.unpooled
	if method == http.MethodGet {
		client = c.pooled
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
		return fault.New(fault.Unavailable, op, fmt.Sprintf("response exceeds %d bytes", limit), "check the platform")
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fault.Wrap(fault.Unavailable, op, err, "check for a proxy between this process and the platform")
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
		req.GetBody = nil // Without GetBody, net/http cannot send the body a second time.
	}
	req.Header.Set("Accept", "application/json")
	if c.settings.Token != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.Token)
	}
	return client.Do(req)
}

func unavailable(op string, err error) error {
	return fault.Wrap(fault.Unavailable, op, err, "check the platform's address and the network; read the object before writing again")
}

// statusError returns an error for a response whose status is not 2xx. It reads the body to its end, since the status of a
// broken response says nothing.
func statusError(op string, resp *http.Response) error {
	if resp.StatusCode >= 200 && resp.StatusCode < 300 {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return unavailable(op, err)
	}
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
	return fault.New(fault.Unavailable, op, detail, "check the platform; read the object before writing again")
}

func collectionPath(kind ObjectKind) string { return apiPath + url.PathEscape(string(kind)) }

func objectPath(kind ObjectKind, name string) string {
	return collectionPath(kind) + "/" + url.PathEscape(name)
}

func (w wireObject) object(kind ObjectKind) Object {
	return Object{Kind: kind, Name: w.Metadata.Name, Version: w.Metadata.ResourceVersion, Spec: w.Spec}
}
