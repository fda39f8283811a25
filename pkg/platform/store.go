// Package platform is a client of the platform's object API, which offers versioned objects, conditional updates and
// watches. Only http.go and watch.go depend on the wire format.
package platform

import (
	"context"
	"encoding/json"

	"github.com/monsoonlatch/monsoonlatch/pkg/era"
)

// ObjectKind is the plural name of an object kind, as used in the paths of the API.
type ObjectKind string

// Object kinds that monsoonlatch stores on the platform.
const (
	KindConfiguration ObjectKind = "configurations"
	KindRelayLease    ObjectKind = "relayleases"
	KindZoneStatus    ObjectKind = "zonestatuses"
	KindKeyClaim      ObjectKind = "keyclaims"
	KindInstance      ObjectKind = "instances"
)

// HeadName is the name of the configuration object that holds the accepted configuration.
const HeadName = "head"

// MaxObjectBytes is the largest object that the platform accepts.
const MaxObjectBytes = 1 << 20

// Object is one versioned object. Version is an opaque token that the platform sets on each write.
type Object struct {
	Kind    ObjectKind
	Name    string
	Version string
	Spec    json.RawMessage
	// Created, Status, Deleting and Era are set only by stores that tell them. Era is that of the store when the object was read:
	// Version names a state of the object only together with it.
	Created  string
	Era      era.Number
	Status   json.RawMessage
	Deleting bool
}

// Store reads and writes objects. Errors are fault.Error values: Conflict when a precondition failed, NotFound,
// Unavailable when the platform gave no usable response (a write may have taken effect), Limited when the local rate
// limit or the platform throttles the call, Invalid when the object is too large or malformed, Forbidden when the
// platform denies access.
type Store interface {
	Get(ctx context.Context, kind ObjectKind, name string) (Object, error)
	List(ctx context.Context, kind ObjectKind) ([]Object, error)
	// Create stores a new object, or returns Conflict if the name exists.
	Create(ctx context.Context, obj Object) (Object, error)
	// Update replaces the object if its version is still obj.Version, or returns Conflict.
	Update(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its version is still the given one, or returns Conflict.
	Delete(ctx context.Context, kind ObjectKind, name, version string) error
	// Watch calls handle with each state of the object newer than version, until ctx ends, handle fails, or the
	// platform ends the watch. If the watch expires or receives nothing in time, it returns Unavailable: read the
	// object, then watch again.
	Watch(ctx context.Context, kind ObjectKind, name, version string, handle func(Object) error) error
}
