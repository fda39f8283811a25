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
	// logBufferLines is the number of lines that the log buffer holds. When it is full, the oldest lines are dropped
	// and counted.
	logBufferLines = 1000
	// callLinesPerSecond is the maximum number of lines per second about single calls; further lines are suppressed and
	// counted. It limits processor time and log output during a flood of refusals.
	callLinesPerSecond = 50
)

// newLogger returns a logger that never blocks on its output, and the log buffer, which the caller closes at the end.
func newLogger(out io.Writer, level zerolog.Level, set *metric.Set) (zerolog.Logger, io.Closer) {
	dropped := set.Counter("log.dropped")
	buffer := diode.NewWriter(out, logBufferLines, 0, func(missed int) { dropped.Inc(int64(missed)) })
	return zerolog.New(buffer).Level(level).With().Timestamp().Logger(), buffer
}

// suppressionCounter is a sampler that suppresses all lines and counts them.
type suppressionCounter struct{ suppressed metrics.Counter }

func (c suppressionCounter) Sample(zerolog.Level) bool {
	c.suppressed.Inc(1)
	return false
}

// callLogger returns the logger for lines about single calls, with a limit on their rate.
func callLogger(log zerolog.Logger, set *metric.Set) zerolog.Logger {
	return log.Sample(&zerolog.BurstSampler{Burst: callLinesPerSecond, Period: time.Second, NextSampler: suppressionCounter{set.Counter("log.suppressed")}})
}
