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

// Names of the gauges that WatchProcess adds. Their values are determined when the metrics are read.
const (
	// ProcessCPU is the processor time, in user and system mode, that the process has used since its start.
	ProcessCPU = "process.cpu_micros"
	// ProcessResident is the resident memory of the process.
	ProcessResident = "process.resident_bytes"
	// ProcessStarted is the start time in milliseconds since 1970. A changed value indicates a restart.
	ProcessStarted = "process.started_unix_millis"
	// RuntimeHeap is the memory of heap objects that are live or not yet swept.
	RuntimeHeap = "runtime.heap_bytes"
	// RuntimeGoroutines is the number of goroutines.
	RuntimeGoroutines = "runtime.goroutines"
)

// WatchProcess adds gauges for the resources that the process uses to the set.
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

// residentBytes reads the number of resident pages, the second field of /proc/self/statm.
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
