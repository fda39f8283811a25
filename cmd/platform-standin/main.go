// Command platform-standin runs a stand-in for the platform's object API.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/internal/standin/platform"
)

type settings struct {
	Listen           string        `help:"Address to listen on." default:"127.0.0.1:8001" env:"PLATFORM_STANDIN_LISTEN"`
	BookmarkInterval time.Duration `help:"Time between bookmarks on a watch." default:"1s" env:"PLATFORM_STANDIN_BOOKMARK_INTERVAL"`
}

func main() {
	var s settings
	kong.Parse(&s, kong.Name("platform-standin"),
		kong.Description("Stand-in for the platform's object API. "+
			"Call counts: GET /_standin/counts. Fault injection: POST /_standin/faults."))
	log := zerolog.New(os.Stderr).With().Timestamp().Logger()
	if err := run(s, &log); err != nil {
		log.Error().Err(err).Msg("the platform stand-in failed")
		os.Exit(1)
	}
}

func run(s settings, log *zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if s.BookmarkInterval <= 0 {
		return errors.New("--bookmark-interval must be above 0; remedy: set a duration such as 1s")
	}
	standin := platform.NewServer()
	standin.SetBookmarkInterval(s.BookmarkInterval)
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	// Cancelling the base context ends open watches, so that the shutdown does not wait for them.
	server := &http.Server{Handler: standin, ReadHeaderTimeout: 5 * time.Second,
		BaseContext: func(net.Listener) context.Context { return ctx }}
	log.Info().Stringer("address", listener.Addr()).Msg("the platform stand-in is listening")
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = server.Shutdown(shutdownCtx)
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-stopped
	return nil
}
