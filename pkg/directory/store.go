// Package directory keeps what a node knows of the mesh: the accepted configuration and the instances. It follows the
// platform's store, takes from other nodes what it misses there, and publishes the record of its own instance. State is
// pure; Follower, Publisher and Peers do the I/O.
package directory

import (
	"context"
	"time"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// Revision is a point in the history of the store.
type Revision uint64

// Listing is all objects of a kind as of a revision.
type Listing struct {
	Objects  []platform.Object
	Revision Revision
}

// Change is one change of an object. A removed object has a name only.
type Change struct {
	Object  platform.Object
	Removed bool
}

// Changes is what happened to a kind up to a revision.
type Changes struct {
	Changes  []Change
	Revision Revision
}

// Store is the platform's store as the directory uses it. Errors are fault.Error values: Stale when the history since a
// revision is gone, Unavailable when the store did not answer, Limited when it refuses calls for now.
type Store interface {
	// List returns all objects of a kind. With mayBeOld they may be seconds old, and the call costs less; a watch from the
	// revision of the listing makes up for it.
	List(ctx context.Context, kind platform.ObjectKind, mayBeOld bool) (Listing, error)
	// Watch returns the changes after a revision, as soon as there is one or after wait.
	Watch(ctx context.Context, kind platform.ObjectKind, after Revision, wait time.Duration) (Changes, error)
	// Create makes an object that should not exist yet; one that exists is replaced.
	Create(ctx context.Context, kind platform.ObjectKind, name string, spec []byte) error
	// Put replaces an object; one that does not exist is created.
	Put(ctx context.Context, kind platform.ObjectKind, name string, spec []byte) error
	// Delete removes an object; one that does not exist is no error.
	Delete(ctx context.Context, kind platform.ObjectKind, name string) error
}

// Schema tells how the store holds the configuration.
type Schema interface {
	// ConfigurationKind is the kind whose object ConfigurationName holds the accepted configuration.
	ConfigurationKind() platform.ObjectKind
	ConfigurationName() string
	// Configuration decodes the spec of that object.
	Configuration(spec []byte) (config.Version, config.Configuration, error)
}
