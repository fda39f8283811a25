// Command monsoonlatch is the operators' command line tool. It checks and submits release notes and shows on which
// nodes they are in force.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"

	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitNotInForce = 3
)

var (
	// errNotInForce is returned by a command whose output already shows which nodes do not serve the version.
	errNotInForce = errors.New("the release note is not in force everywhere")
	// errInvalidNote is returned by a command that has already written the errors of the release note.
	errInvalidNote = errors.New("the release note is invalid")
)

// usageError is an error in the flags, the environment variables or the files that they name.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func (e usageError) Unwrap() error { return e.err }

// errShown is an error that was written beside output for scripts.
type errShown struct{ error }

func (e errShown) Unwrap() error { return e.error }

type globals struct {
	Platform      string        `help:"Address of the platform's object API, such as http://10.0.0.5:8001." env:"MONSOONLATCH_PLATFORM" placeholder:"URL"`
	PlatformToken string        `help:"Bearer token for the platform." env:"MONSOONLATCH_PLATFORM_TOKEN" placeholder:"TOKEN"`
	CallTimeout   time.Duration `help:"Deadline of one platform call." default:"2s" env:"MONSOONLATCH_CALL_TIMEOUT"`
	Timeout       time.Duration `help:"Deadline of the command, without the time of --wait." default:"30s" env:"MONSOONLATCH_TIMEOUT"`
	JSON          bool          `help:"Write JSON for scripts." env:"MONSOONLATCH_JSON"`
	LogLevel      string        `help:"Minimum level of log entries on standard error (${enum})." enum:"debug,info,warn,error" default:"warn" env:"MONSOONLATCH_LOG_LEVEL"`
}

type cli struct {
	globals

	Note struct {
		Check  noteCheck  `cmd:"" help:"Check a release note and print each error with its line and remedy."`
		Submit noteSubmit `cmd:"" help:"Submit a release note."`
		Status noteStatus `cmd:"" help:"Show where a release note is in force."`
		List   noteList   `cmd:"" help:"List accepted release notes, latest first."`
	} `cmd:"" help:"Work with release notes."`
	Nodes    nodes          `cmd:"" help:"List nodes with the version that they serve."`
	Services services       `cmd:"" help:"List services with their routes and nodes."`
	Rollout  rolloutCommand `cmd:"" help:"Show the roll-outs of versions in progress."`
	Explain  explainCommand `cmd:"" help:"Show where a node would send a request now, and why, without sending it."`
	Tenants  tenantsCommand `cmd:"" help:"Show the tenants with the most use at a node, and what it refused."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	var c cli
	helpShown := false
	parser, err := kong.New(&c, kong.Name("monsoonlatch"), kong.Writers(stdout, stderr),
		kong.Description("Checks and submits release notes and shows where they are in force. "+
			"Exit codes: 0 success, 1 failed or rejected, 2 usage error or invalid settings, 3 not in force everywhere."),
		kong.Exit(func(int) { helpShown = true }))
	if err != nil {
		return printError(stderr, err)
	}
	parsed, err := parser.Parse(args)
	if helpShown {
		return exitOK
	}
	if err == nil {
		err = c.validate()
	}
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "monsoonlatch: %v; see monsoonlatch --help\n", err)
		return exitUsage
	}
	e := &env{ctx: ctx, globals: c.globals, in: stdin, out: stdout, errOut: stderr, log: newLog(c.globals, stderr)}
	err = parsed.Run(e)
	if err != nil && c.JSON && !alreadyShown(err) {
		_ = e.writeJSON(map[string]any{"error": map[string]any{"kind": fault.KindOf(err), "message": err.Error()}})
	}
	return printError(stderr, err)
}

// validate checks the values that the flag library does not.
func (g globals) validate() error {
	if g.CallTimeout <= 0 || g.Timeout <= 0 {
		return errors.New("--call-timeout and --timeout must be above 0")
	}
	return nil
}

func newLog(g globals, stderr io.Writer) *zerolog.Logger {
	if !g.JSON {
		stderr = zerolog.ConsoleWriter{Out: stderr, TimeFormat: time.TimeOnly, NoColor: true}
	}
	level, err := zerolog.ParseLevel(g.LogLevel)
	if err != nil {
		level = zerolog.WarnLevel // The flag library admits only known levels.
	}
	log := zerolog.New(stderr).Level(level).With().Timestamp().Logger()
	return &log
}

// alreadyShown reports whether the command's output already shows the error.
func alreadyShown(err error) bool {
	var shown errShown
	return errors.Is(err, errNotInForce) || errors.Is(err, errInvalidNote) || errors.As(err, &shown)
}

// printError writes the error as text, unless the output already shows it, and returns its exit code.
func printError(stderr io.Writer, err error) int {
	if err == nil {
		return exitOK
	}
	if !alreadyShown(err) {
		_, _ = fmt.Fprintf(stderr, "monsoonlatch: %v\n", err)
	}
	var usage usageError
	switch {
	case errors.Is(err, errNotInForce):
		return exitNotInForce
	case errors.As(err, &usage):
		return exitUsage
	}
	return exitFailed
}

// env holds the settings, streams and logger of a command.
type env struct {
	globals
	ctx context.Context
	in  io.Reader
	out io.Writer
	// errOut receives the messages that are not part of the command's output.
	errOut io.Writer
	log    *zerolog.Logger
}

// callContext returns the context for the platform calls of a command.
func (e *env) callContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(e.ctx, e.Timeout)
}

// newPlatformClient returns a client for the platform given in the settings.
func (e *env) newPlatformClient() (*platform.Client, error) {
	if e.Platform == "" {
		return nil, usageError{errors.New("no platform address is set; remedy: set --platform or MONSOONLATCH_PLATFORM")}
	}
	client, err := platform.NewClient(platform.Settings{BaseURL: e.Platform, Token: e.PlatformToken, CallTimeout: e.CallTimeout})
	if err != nil {
		return nil, usageError{err}
	}
	return client, nil
}

// withStore calls f with a platform client and the deadline of the command, and closes the client afterwards.
func withStore[T any](e *env, f func(context.Context, platform.Store) (T, error)) (T, error) {
	store, err := e.newPlatformClient()
	if err != nil {
		var none T
		return none, err
	}
	defer store.Close()
	ctx, cancel := e.callContext()
	defer cancel()
	return f(ctx, store)
}
