package metric

import (
	"bytes"
	"os"
	runtimemetrics "runtime/metrics"
	"strconv"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the gauges that WatchProcess adds. They are computed when the metrics are read.
const (
	// ProcessCPU is the processor time used since the start, in user and system mode.
	ProcessCPU = "process.cpu_micros"
	// ProcessResident is the resident memory.
	ProcessResident = "process.resident_bytes"
	// ProcessStarted is the start time in milliseconds since 1970; a reader sees a restart by it.
	ProcessStarted = "process.started_unix_millis"
	// RuntimeHeap is the memory of live and not yet swept heap objects.
	RuntimeHeap = "runtime.heap_bytes"
	// RuntimeGoroutines is the number of goroutines.
	RuntimeGoroutines = "runtime.goroutines"
)

// WatchProcess adds gauges of the process's own use of resources to the set.
func WatchProcess(s *Set) {
	started := time.Now().UnixMilli()
	for name, read := range map[string]func() int64{
		ProcessCPU:        cpuMicros,
		ProcessResident:   residentBytes,
		ProcessStarted:    func() int64 { return started },
		RuntimeHeap:       func() int64 { return readRuntime("/memory/classes/heap/objects:bytes") },
		RuntimeGoroutines: func() int64 { return readRuntime("/sched/goroutines:goroutines") },
	} {
		metrics.NewRegisteredFunctionalGauge(name, s.registry, read)
	}
}

func cpuMicros() int64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Microsecond)
}

// residentBytes reads the second field of /proc/self/statm, the resident pages.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := bytes.Fields(data)
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(string(fields[1]), 10, 64)
	return pages * int64(os.Getpagesize())
}

func readRuntime(name string) int64 {
	sample := []runtimemetrics.Sample{{Name: name}}
	runtimemetrics.Read(sample)
	if sample[0].Value.Kind() != runtimemetrics.KindUint64 {
		return 0
	}
	return int64(sample[0].Value.Uint64())
}
