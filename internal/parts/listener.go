// Package parts contains the kernel services and adapters that the node programs share.
package parts

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/intake"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// Listener is the kernel service that serves HTTP on one address of a node. Its background tasks run from Start until
// Stop.
type Listener struct {
	name    string
	address string
	filter  *network.Listener
	server  *http.Server
	class   *intake.Class
	tasks   []func(context.Context)
	log     zerolog.Logger
	cancel  context.CancelFunc
}

// NewListener returns a service that accepts connections from the networks of filter, or from everywhere if filter is
// nil. Its connections belong to class, for which the server must be set up with Class.Protect.
func NewListener(name, address string, filter *network.Listener, server *http.Server, class *intake.Class, log zerolog.Logger,
	tasks ...func(context.Context)) *Listener {
	return &Listener{name: name, address: address, filter: filter, server: server, class: class, tasks: tasks, log: log}
}

// Name implements kernel.Service.
func (l *Listener) Name() string { return l.name }

// Start opens the listener and starts the server and the background tasks.
func (l *Listener) Start(context.Context) error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "listen for "+l.name, err, "free the address or set --"+l.name+" to another one")
	}
	if l.filter != nil {
		l.filter.Listener, ln = ln, l.filter
	}
	ln = l.class.Listener(ln)
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for _, task := range l.tasks {
		go task(ctx)
	}
	go func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Write(event.ListenerFailed.Log(&l.log).Err(err).Str("listener", l.name))
		}
	}()
	return nil
}

// Stop closes the listener, waits for the requests in progress and then stops the background tasks.
func (l *Listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	l.cancel()
	return err
}
