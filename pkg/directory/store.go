// Package directory maintains a node's view of the mesh: the accepted configuration and the instances. It watches the
// platform's store, fetches from other nodes what it has not received from the store, and publishes the record of its
// own instance. State does no I/O; Follower, Publisher and Peers do.
package directory

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/era"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// Listing holds all objects of a kind as of a position.
type Listing struct {
	Objects []platform.Object
	At      era.Position
}

// Change is one change of an object. For a removed object only the name is meaningful.
type Change struct {
	Object  platform.Object
	Removed bool
}

// Changes holds the changes of the objects of a kind up to a position.
type Changes struct {
	Changes []Change
	At      era.Position
}

// Version names a state of an object. The store may give the same token to another state in a later era.
type Version struct {
	Era   era.Number
	Token string
}

// versionOf returns the version of an object as it was read.
func versionOf(obj platform.Object) Version { return Version{Era: obj.Era, Token: obj.Version} }

// Store is the interface to the platform's store. Errors are fault.Error values: Stale when the store no longer has the history
// since the requested position, or the answer is of an earlier era than the latest known one, Unavailable when the store did not
// answer, Limited when it is rejecting calls temporarily.
//
// A Store tells the era of each answer to an era.Tracker before it returns, also that of an error.
//
// While a Store reads a response, it calls ReportProgress with the context of the call.
type Store interface {
	// List returns all objects of a kind. With allowStale the result may be seconds old, which makes the call
	// cheaper; a watch that starts at the position of the listing delivers the changes since.
	List(ctx context.Context, kind platform.ObjectKind, allowStale bool) (Listing, error)
	// Get returns the current state of an object. The error is of kind NotFound if there is none.
	Get(ctx context.Context, kind platform.ObjectKind, name string) (platform.Object, error)
	// Watch returns the changes after a position. It returns as soon as there is a change, or without one after wait. The error is
	// of kind Stale if the answer is of another era than the position.
	Watch(ctx context.Context, kind platform.ObjectKind, after era.Position, wait time.Duration) (Changes, error)
	// Create writes an object that does not exist yet and returns its version, whose token is empty if the store does not tell it.
	// The error is of kind Conflict if the object exists.
	Create(ctx context.Context, kind platform.ObjectKind, name string, spec []byte) (Version, error)
	// Put replaces the spec of an object that still has the given version, and returns the new one. The error is of kind Conflict
	// if the object has another version or the store is in another era by now, and NotFound if there is no such object.
	Put(ctx context.Context, kind platform.ObjectKind, name string, version Version, spec []byte) (Version, error)
	// Delete removes an object that still has the given version. A missing object is not an error. The error is of kind Conflict if the
	// object has another version or the store is in another era by now.
	Delete(ctx context.Context, kind platform.ObjectKind, name string, version Version) error
}

// Schema describes how the configuration is represented in the store.
type Schema interface {
	// ConfigurationKind is the kind, and ConfigurationName the name, of the object that holds the accepted
	// configuration.
	ConfigurationKind() platform.ObjectKind
	ConfigurationName() string
	// Configuration decodes the spec of that object.
	Configuration(spec []byte) (config.Version, config.Configuration, error)
}
