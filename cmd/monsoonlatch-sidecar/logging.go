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
	// logRing is the number of lines that the log buffer holds. When it is full, the oldest lines are dropped and counted.
	logRing = 1000
	// callLines is the maximum number of lines per second about single calls; further lines are suppressed and counted.
	// It limits processor time and log output during a flood of refusals.
	callLines = 50
)

// newLogger returns a logger that never blocks on its output, and the log buffer, which the caller closes at the end.
func newLogger(out io.Writer, level zerolog.Level, set *metric.Set) (zerolog.Logger, io.Closer) {
	dropped := set.Counter("log.dropped")
	ring := diode.NewWriter(out, logRing, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return zerolog.New(ring).Level(level).With().Timestamp().Logger(), ring
}

// counter is a sampler that suppresses all lines and counts them.
type counter struct{ suppressed metrics.Counter }

func (c counter) Sample(zerolog.Level) bool {
	c.suppressed.Inc(1)
	return false
}

// forCalls returns the logger for lines about single calls, with a limit on their rate.
func forCalls(log zerolog.Logger, set *metric.Set) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: callLines, Period: time.Second, NextSampler: counter{set.Counter("log.suppressed")}})
}
