package monitor

import (
	"fmt"
	"runtime"
	"syscall"
)

// ProcessLines returns what this process has used: processor time, memory and
// allocations.
func ProcessLines() []string {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var u syscall.Rusage
	cpu := 0.0
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) == nil {
		const microseconds = 1e6
		cpu = float64(u.Utime.Sec+u.Stime.Sec) + float64(u.Utime.Usec+u.Stime.Usec)/microseconds
	}
	return []string{
		fmt.Sprintf("savoryloft_process_cpu_seconds_total %.6f", cpu),
		fmt.Sprintf("savoryloft_process_mallocs_total %d", m.Mallocs),
		fmt.Sprintf("savoryloft_process_heap_bytes %d", m.HeapAlloc),
		fmt.Sprintf("savoryloft_process_memory_bytes %d", m.Sys),
		fmt.Sprintf("savoryloft_process_goroutines %d", runtime.NumGoroutine()),
	}
}
