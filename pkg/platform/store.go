// Package platform is the client side of the platform's object API: versioned objects, conditional updates and
// watches. The wire format is known to http.go and watch.go.
package platform

import (
	"context"
	"encoding/json"
)

// ObjectKind is the plural name of a kind of object in the API.
type ObjectKind string

// Kinds of objects that monsoonlatch keeps on the platform.
const (
	KindConfiguration ObjectKind = "configurations"
	KindRelayLease    ObjectKind = "relayleases"
	KindZoneStatus    ObjectKind = "zonestatuses"
	KindKeyClaim      ObjectKind = "keyclaims"
	KindInstance      ObjectKind = "instances"
)

// HeadName is the name of the configuration object that holds the accepted configuration.
const HeadName = "head"

// MaxObjectBytes is the largest value that the platform holds.
const MaxObjectBytes = 1 << 20

// Object is one versioned value. Version is opaque, set by the platform on each write.
type Object struct {
	Kind    ObjectKind
	Name    string
	Version string
	Spec    json.RawMessage
}

// Store reads and writes objects. Errors are fault.Error values: Conflict when a condition did not hold, NotFound,
// Unavailable when the platform did not answer (a write may have taken effect), Limited when the local call budget
// is spent, Invalid when the value is too large or malformed.
type Store interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	List(ctx context.Context, kind ObjectKind) ([]Object, error)
	// Create stores a new object, or returns Conflict if the name exists.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update replaces an object whose version is still obj.Version, or returns Conflict.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes an object whose version is still the given one, or returns Conflict.
	Delete(ctx context.Context, kind ObjectKind, name, version string) error
	// Watch calls handle with each state of the object newer than version, until ctx ends, handle fails, or the
	// platform ends the watch. An expired or silent watch is an Unavailable error: read the object, then watch again.
	Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error
}
