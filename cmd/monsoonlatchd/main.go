// Command monsoonlatchd is the mesh node that runs beside a backend server. It forwards callers' requests to the
// instances of the services, passes other nodes' calls to its backend server, and takes part in the distribution of the
// configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/event"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	var s Settings
	if code, ok := parseSettings(&s, args); !ok {
		return code
	}
	level, _ := zerolog.ParseLevel(s.LogLevel)
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("node", s.ID).Logger()
	k, err := newNode(&s, log)
	if err == nil {
		err = runNode(k, &s, log)
	}
	if err != nil {
		event.NodeFailed.Write(event.NodeFailed.Log(&log).Err(err))
		return exitFailed
	}
	return 0
}

// parseSettings reads the settings from the command line and the environment. It prints one line for each invalid
// setting.
func parseSettings(s *Settings, args []string) (code int, ok bool) {
	parser, err := kong.New(s, kong.Name("monsoonlatchd"),
		kong.Description("Node of the mesh, beside one backend server. Settings are flags or environment variables."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed, false
	}
	if _, err := parser.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "monsoonlatchd: %v; remedy: see --help for the settings\n", err)
		return exitBadSettings, false
	}
	problems := s.check()
	sort.Strings(problems)
	for _, line := range problems {
		fmt.Fprintln(os.Stderr, line)
	}
	return exitBadSettings, len(problems) == 0
}

// signalContext returns a context that ends at SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}
