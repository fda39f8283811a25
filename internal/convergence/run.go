package convergence

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/monsoonlatch/monsoonlatch/pkg/config"
	"github.com/monsoonlatch/monsoonlatch/pkg/fault"
	"github.com/monsoonlatch/monsoonlatch/pkg/platform"
	"github.com/monsoonlatch/monsoonlatch/pkg/release"
)

// Limits of a run.
const (
	MaxNotes          = 10_000
	MaxNodes          = 1024
	MaxNotesPerSecond = 100
	MaxDuration       = time.Hour
	minPollInterval   = 10 * time.Millisecond
	// maxConcurrentReads limits the number of nodes whose metrics are read at the same time.
	maxConcurrentReads = 16
)

// Options of a run.
type Options struct {
	// Nodes holds the admin addresses (host:port) of all nodes.
	Nodes []string
	// Platform is the URL of the platform's object API. PlatformCounts states that it is the platform stand-in, so that
	// its call counts are read.
	Platform       string
	PlatformCounts bool
	// NamePrefix is the prefix of the IDs of notes and of the names of the objects in them. A run needs a prefix that
	// was not used on this platform before.
	NamePrefix string
	Seed       uint64
	Notes      int
	// Rate is the number of notes submitted per second.
	Rate float64
	// Routes is the number of routes that the first note adds.
	Routes int
	// PollInterval is the interval between two polls of one node, and thus the resolution of the convergence times.
	PollInterval time.Duration
	// MaxWait is the longest wait for a version to be served by all nodes, after the first and after the last note.
	MaxWait time.Duration
	// MinDuration is the minimum time over which resource use is measured.
	MinDuration time.Duration
}

// Check returns an error that names the first option that is out of range.
func (o Options) Check() error {
	bad := func(name, remedy string) error { return fault.New(fault.Invalid, "--"+name, "out of range", remedy) }
	switch {
	case len(o.Nodes) < 1 || len(o.Nodes) > MaxNodes:
		return bad("node", fmt.Sprintf("give 1 to %d admin addresses", MaxNodes))
	case o.Notes < 0 || o.Notes > MaxNotes:
		return bad("notes", fmt.Sprintf("give 0 to %d", MaxNotes))
	case o.Rate <= 0 || o.Rate > MaxNotesPerSecond:
		return bad("rate", fmt.Sprintf("give a number above 0, at most %d", MaxNotesPerSecond))
	case o.Routes < 0 || o.Routes > config.MaxRoutes/2:
		return bad("routes", fmt.Sprintf("give 0 to %d", config.MaxRoutes/2))
	case o.PollInterval < minPollInterval || o.MaxWait < o.PollInterval:
		return bad("poll", fmt.Sprintf("give at least %s and at most --wait", minPollInterval))
	case o.MaxWait > MaxDuration || o.MinDuration < 0 || o.MinDuration > MaxDuration:
		return bad("duration", fmt.Sprintf("give at most %s for --duration and --wait", MaxDuration))
	}
	return nil
}

// run is the state of one call of Run.
type run struct {
	Options
	client    *http.Client
	store     platform.Store
	histories []*pollHistory
	// versions holds the version that each node served in its last poll, 0 after a failed poll. Unlike the histories,
	// it can be read during the polls.
	versions []atomic.Uint64
	notes    []acceptedNote
	refused  int
}

// Run submits the notes and measures convergence and resource use. The first note of the series sets up the
// configuration that the others change; it is not measured.
func Run(ctx context.Context, o Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	store, err := platform.NewClient(platform.Settings{BaseURL: o.Platform})
	if err != nil {
		return nil, err
	}
	defer store.Close()
	r := &run{Options: o, client: newClient(), store: store, versions: make([]atomic.Uint64, len(o.Nodes))}
	defer r.client.CloseIdleConnections()
	for _, address := range o.Nodes {
		r.histories = append(r.histories, &pollHistory{address: address})
	}
	series := NewSeries(o.NamePrefix, o.Seed)
	if o.Notes > 0 {
		if err := r.submitFirstNote(ctx, series); err != nil {
			return nil, err
		}
	}
	return r.measure(ctx, series)
}

// submitFirstNote submits the first note of the series and waits until every node serves it.
func (r *run) submitFirstNote(ctx context.Context, series *Series) error {
	head, err := release.ReadHead(ctx, r.store)
	if err != nil {
		return err
	}
	var services []string
	for _, address := range r.Nodes {
		s, err := readState(ctx, r.client, address)
		if err != nil {
			return fmt.Errorf("read state of node %s: %w", address, err)
		}
		if _, ok := head.Configuration.Services[s.Service]; !ok && !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
	}
	result, err := release.Submit(ctx, r.store, series.First(services, r.Routes))
	if err != nil {
		return err
	}
	stop := r.startPolling(ctx)
	defer stop()
	if !r.awaitVersion(ctx, result.Record.Version) {
		return fault.New(fault.Unavailable, "wait for first note", fmt.Sprintf("not in force at every node after %s", r.MaxWait),
			"list the nodes with: monsoonlatch nodes")
	}
	return nil
}

func (r *run) measure(ctx context.Context, series *Series) (*Report, error) {
	before, err := r.sample(ctx)
	if err != nil {
		return nil, err
	}
	if r.Notes > 0 {
		stop := r.startPolling(ctx)
		r.submitNotes(ctx, series)
		if len(r.notes) > 0 {
			r.awaitVersion(ctx, r.notes[len(r.notes)-1].version)
		}
		stop()
	}
	pollsEnded := time.Now()
	sleepUntil(ctx, before.at.Add(r.MinDuration))
	after, err := r.sample(context.WithoutCancel(ctx))
	if err != nil {
		return nil, err
	}
	return r.report(before, after, pollsEnded), nil
}

// submitNotes submits the notes at the configured rate. The due times are fixed at the start, so a slow submit does not
// shift those of later notes.
func (r *run) submitNotes(ctx context.Context, series *Series) {
	start := time.Now()
	for i := range r.Notes {
		sleepUntil(ctx, start.Add(time.Duration(float64(i)*float64(time.Second)/r.Rate)))
		if ctx.Err() != nil {
			return
		}
		result, err := release.Submit(ctx, r.store, series.Next())
		if err != nil {
			r.refused++
			continue
		}
		r.notes = append(r.notes, acceptedNote{result.Record.Version, time.Now()})
	}
}

// startPolling polls all nodes in the background. stop ends the polls and waits for those in progress.
func (r *run) startPolling(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var pollers sync.WaitGroup
	for i, history := range r.histories {
		pollers.Go(func() {
			sleepUntil(ctx, time.Now().Add(r.PollInterval*time.Duration(i)/time.Duration(len(r.histories)))) // spreads the polls
			ticker := time.NewTicker(r.PollInterval)
			defer ticker.Stop()
			for ctx.Err() == nil {
				r.poll(ctx, i, history)
				select {
				case <-ticker.C:
				case <-ctx.Done():
				}
			}
		})
	}
	return func() { cancel(); pollers.Wait() }
}

func (r *run) poll(ctx context.Context, i int, history *pollHistory) {
	s, err := readState(ctx, r.client, history.address)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		history.failedPolls = append(history.failedPolls, time.Now())
		r.versions[i].Store(0)
	default:
		history.recordAnswer(time.Now(), s.ID, config.Version(s.Version))
		r.versions[i].Store(s.Version)
	}
}

// awaitVersion blocks until every node serves v or a later version. It returns false if that takes longer than MaxWait.
func (r *run) awaitVersion(ctx context.Context, v config.Version) bool {
	ctx, cancel := context.WithTimeout(ctx, r.MaxWait)
	defer cancel()
	for ctx.Err() == nil {
		if !slices.ContainsFunc(r.polledVersions(), func(n uint64) bool { return n < uint64(v) }) {
			return true
		}
		sleepUntil(ctx, time.Now().Add(minPollInterval))
	}
	return false
}

func (r *run) polledVersions() []uint64 {
	out := make([]uint64, len(r.versions))
	for i := range r.versions {
		out[i] = r.versions[i].Load()
	}
	return out
}

func sleepUntil(ctx context.Context, until time.Time) {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// sample holds the resource use of all nodes and the call counts of the platform stand-in at one point in time. A node
// that does not answer has a zero usage.
type sample struct {
	at       time.Time
	nodes    []usage
	platform platformCalls
}

func (r *run) sample(ctx context.Context) (sample, error) {
	s := sample{at: time.Now(), nodes: make([]usage, len(r.Nodes))}
	var g errgroup.Group
	g.SetLimit(maxConcurrentReads)
	for i, address := range r.Nodes {
		g.Go(func() error {
			s.nodes[i], _ = readUsage(ctx, r.client, address) // report counts a node without a usage as restarted
			return nil
		})
	}
	_ = g.Wait()
	if !r.PlatformCounts {
		return s, nil
	}
	var err error
	s.platform, err = readPlatformCalls(ctx, r.client, r.Platform)
	return s, err
}
