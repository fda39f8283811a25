package main

import (
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"

	"github.com/monsoonlatch/monsoonlatch/pkg/metric"
)

const (
	// logRing is how many lines may wait for the output. When it is full, the oldest are dropped and counted.
	logRing = 1000
	// callLines is how many lines a second tell of single calls; further ones are counted. It bounds the processor time
	// and the output in a flood of refusals.
	callLines = 50
)

// newLogger returns a logger that never blocks on its output, and the ring to close at the end.
func newLogger(out io.Writer, level zerolog.Level, set *metric.Set) (zerolog.Logger, io.Closer) {
	dropped := set.Counter("log.dropped")
	ring := diode.NewWriter(out, logRing, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return zerolog.New(ring).Level(level).With().Timestamp().Logger(), ring
}

// counter is a sampler that lets nothing pass and counts it.
type counter struct{ suppressed metrics.Counter }

func (c counter) Sample(zerolog.Level) bool {
	c.suppressed.Inc(1)
	return false
}

// forCalls bounds the lines about single calls.
func forCalls(log zerolog.Logger, set *metric.Set) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: callLines, Period: time.Second, NextSampler: counter{set.Counter("log.suppressed")}})
}
