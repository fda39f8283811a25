package load

import (
	"context"
	"iter"
	"sync"
	"time"
)

// Options of a run.
type Options struct {
	// Targets holds the addresses (host:port) of the ingresses. Requests are sent to them in turn.
	Targets     []string
	MaxInFlight int
	// RunID is the prefix of every request ID and idempotency key, so that two runs do not share them.
	RunID string
	// OnFinished is called with the record of each finished or dropped request, always from the same goroutine.
	OnFinished func(Record)
}

// Run sends each request at its arrival time, whether or not earlier ones have finished, and returns when all have
// finished. When the context ends, no more are sent.
func Run(ctx context.Context, arrivals iter.Seq[Record], o Options) {
	s := newSender(o.Targets, o.RunID, o.MaxInFlight)
	defer s.close()
	// Buffers finished requests for the collector. A full channel does not affect the measured latency, since a request
	// is added after its latency was measured.
	finished := make(chan Record, 1024)
	collectorDone := make(chan struct{})
	go func() {
		defer close(collectorDone)
		for r := range finished {
			o.OnFinished(r)
		}
	}()
	dispatch(ctx, arrivals, o, s, finished)
	close(finished)
	<-collectorDone
}

func dispatch(ctx context.Context, arrivals iter.Seq[Record], o Options, s *sender, finished chan<- Record) {
	var sending sync.WaitGroup
	defer sending.Wait()
	inFlight := make(chan struct{}, o.MaxInFlight)
	start := time.Now()
	sent := 0
	for r := range arrivals {
		r.Outcome, r.Reason, r.Status, r.LatencyUs = "", "", 0, 0 // a replayed record has the results of the recorded run
		due := start.Add(r.ArrivalTime())
		if !sleepUntil(ctx, due) {
			return
		}
		select {
		case inFlight <- struct{}{}:
		default:
			r.Outcome = Dropped
			finished <- r
			continue
		}
		sendIndex := sent
		sent++
		sending.Go(func() {
			// Requests in flight continue until their own timeout, so that a cancelled run still counts them.
			finished <- s.send(context.WithoutCancel(ctx), sendIndex, r, due)
			<-inFlight
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
