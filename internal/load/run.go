package load

import (
	"context"
	"iter"
	"sync"
	"time"
)

// Options of a run.
type Options struct {
	// Targets are the addresses of the ingresses; requests go to them in turn.
	Targets     []string
	MaxInFlight int
	// Run is part of every request id and key, so that two runs do not share them.
	Run string
	// Done receives each record at its end, from one goroutine.
	Done func(Record)
}

// Run sends the arrivals at their times, whatever happened to earlier ones, and returns when all have ended. When the
// context ends, no more are sent.
func Run(ctx context.Context, arrivals iter.Seq[Record], o Options) {
	s := newSender(o.Targets, o.Run, o.MaxInFlight)
	defer s.close()
	// Finished requests wait here for the collector; a full channel delays only the end of their goroutines, after
	// their latency has been taken.
	ended := make(chan Record, 1024)
	collected := make(chan struct{})
	go func() {
		defer close(collected)
		for r := range ended {
			o.Done(r)
		}
	}()
	dispatch(ctx, arrivals, o, s, ended)
	close(ended)
	<-collected
}

func dispatch(ctx context.Context, arrivals iter.Seq[Record], o Options, s *sender, ended chan<- Record) {
	var senders sync.WaitGroup
	defer senders.Wait()
	places := make(chan struct{}, o.MaxInFlight)
	start := time.Now()
	n := 0
	for r := range arrivals {
		r.Outcome, r.Reason, r.Status, r.LatencyUs = "", "", 0, 0 // a replayed record holds the end of its first run
		due := start.Add(r.At())
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case places <- struct{}{}:
		default:
			r.Outcome = Dropped
			ended <- r
			continue
		}
		turn := n
		n++
		senders.Go(func() {
			// Requests in flight end on their own timeout, so that a stopped run still counts them.
			ended <- s.send(context.WithoutCancel(ctx), turn, r, due)
			<-places
		})
	}
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	d := time.Until(due)
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
