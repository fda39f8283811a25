package main

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/network"
)

// listener is the kernel service of one HTTP address of the data path. The duties run beside it until Stop.
type listener struct {
	name    string
	address string
	filter  *network.Listener
	server  *http.Server
	duties  []background
	log     zerolog.Logger
	cancel  context.CancelFunc
}

// newListener returns a service that takes connections from the filter's networks; a nil filter takes all.
func newListener(name, address string, filter *network.Listener, server *http.Server, log zerolog.Logger, duties ...background) *listener {
	return &listener{name: name, address: address, filter: filter, server: server, duties: duties, log: log}
}

func (l *listener) Name() string { return l.name }

func (l *listener) Start(context.Context) error {
	ln, err := net.Listen("tcp", l.address)
	if err != nil {
		return fault.Wrap(fault.Unavailable, "listen for "+l.name, err, "free the address or set --"+l.name+" to another one")
	}
	if l.filter != nil {
		l.filter.Listener, ln = ln, l.filter
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	for _, duty := range l.duties {
		go duty(ctx)
	}
	go func() {
		if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			event.ListenerFailed.Write(event.ListenerFailed.Log(&l.log).Err(err).Str("listener", l.name))
		}
	}()
	return nil
}

// Stop waits for the requests in progress.
func (l *listener) Stop(ctx context.Context) error {
	err := l.server.Shutdown(ctx)
	l.cancel()
	return err
}
