// Command backend-standin is a backend server for tests and measurements. It listens on the loopback interface by
// default.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/backend"
)

type settings struct {
	Listen           []string      `help:"Addresses to listen on. One backend server runs at each; its node is given at the same position of --node-admin and --node-callers." default:"127.0.0.1:0" env:"STANDIN_LISTEN"`
	Service          string        `help:"Service to announce." required:"" env:"STANDIN_SERVICE"`
	Slots            int           `help:"Maximum number of concurrent requests." default:"20" env:"STANDIN_SLOTS"`
	ServiceTime      time.Duration `help:"Service time of a request." default:"5ms" env:"STANDIN_SERVICE_TIME"`
	ColdStart        time.Duration `help:"Time after the start during which requests take longer." env:"STANDIN_COLD_START"`
	ColdFactor       int           `help:"Factor by which requests take longer during --cold-start." default:"5" env:"STANDIN_COLD_FACTOR"`
	Shed             bool          `help:"Reject requests with 503 and Ml-Not-Run when no slot is free." env:"STANDIN_SHED"`
	MisleadingHealth bool          `help:"Report healthy in every state, even while draining." env:"STANDIN_MISLEADING_HEALTH"`
	NodeAdmin        []string      `help:"Admin address of the server's node, for announcements." env:"STANDIN_NODE_ADMIN"`
	NodeCallers      []string      `help:"Callers address of the server's node, for nested calls." env:"STANDIN_NODE_CALLERS"`
	Grace            time.Duration `help:"Maximum duration of a graceful shutdown, after --drain-delay." default:"10s" env:"STANDIN_GRACE"`
	DrainDelay       time.Duration `help:"Time during which requests are still served after the drain is announced." default:"1s" env:"STANDIN_DRAIN_DELAY"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Description("Backend server for tests and measurements."))
	if err := run(s); err != nil {
		fmt.Fprintln(os.Stderr, "backend-standin:", err)
		os.Exit(1)
	}
}

// instance is one of the backend servers of the process.
type instance struct {
	settings   settings
	server     *backend.Server
	httpServer *http.Server
}

func run(s settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	announceCtx, endAnnounce := context.WithCancel(context.Background())
	defer endAnnounce()
	serveErrors := make(chan error, len(s.Listen))
	var instances []*instance
	for i := range s.Listen {
		in, listener, err := newInstance(s, i)
		if err != nil {
			return err
		}
		instances = append(instances, in)
		go func() { serveErrors <- in.httpServer.Serve(listener) }()
		go in.server.Announce(announceCtx)
		fmt.Println("listening on", listener.Addr())
	}
	select {
	case err := <-serveErrors:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	var shutdowns errgroup.Group
	for _, in := range instances {
		shutdowns.Go(in.shutdown)
	}
	return shutdowns.Wait()
}

// newInstance listens on the i-th address and returns its backend server and the listener.
func newInstance(s settings, i int) (*instance, net.Listener, error) {
	listener, err := net.Listen("tcp", s.Listen[i])
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	server := backend.New(backend.Settings{
		Service: s.Service, Address: listener.Addr().String(), Slots: s.Slots, ServiceTime: s.ServiceTime,
		ColdStart: s.ColdStart, ColdFactor: s.ColdFactor, Shed: s.Shed, MisleadingHealth: s.MisleadingHealth,
		NodeAdmin: elementOrEmpty(s.NodeAdmin, i), NodeCallers: elementOrEmpty(s.NodeCallers, i),
	})
	httpServer := &http.Server{Handler: server, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute}
	return &instance{settings: s, server: server, httpServer: httpServer}, listener, nil
}

// elementOrEmpty returns the i-th element of list, or an empty string if list is shorter.
func elementOrEmpty(list []string, i int) string {
	if i < len(list) {
		return list[i]
	}
	return ""
}

// shutdown announces the drain, still serves requests while the other nodes learn of it, and then waits for the running
// requests to complete and announces the departure.
func (in *instance) shutdown() error {
	in.server.Drain()
	time.Sleep(in.settings.DrainDelay)
	ctx, cancel := context.WithTimeout(context.Background(), in.settings.Grace)
	defer cancel()
	if err := in.httpServer.Shutdown(ctx); err != nil {
		return fmt.Errorf("shutdown: %w", err)
	}
	_ = in.server.Depart(ctx)
	in.server.Close()
	return nil
}
