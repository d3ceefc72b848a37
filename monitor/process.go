package monitor

import (
	"fmt"
	"runtime"
	"syscall"
)

// ProcessMetrics returns metrics of this process in the Prometheus text exposition
// format, one per line: CPU time, allocations, memory and goroutines. The CPU time
// is 0 if getrusage fails.
func ProcessMetrics() []string {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	cpu := 0.0
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		const microsecondsPerSecond = 1e6
		cpu = float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/microsecondsPerSecond
	}
	return []string{
		fmt.Sprintf("savoryloft_process_cpu_seconds_total %.6f", cpu),
		fmt.Sprintf("savoryloft_process_mallocs_total %d", m.Mallocs),
		fmt.Sprintf("savoryloft_process_heap_bytes %d", m.HeapAlloc),
		fmt.Sprintf("savoryloft_process_memory_bytes %d", m.Sys),
		fmt.Sprintf("savoryloft_process_goroutines %d", runtime.NumGoroutine()),
	}
}
