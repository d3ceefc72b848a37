package journaler

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"savoryloft.example/savoryloft"
)

// BenchmarkApply applies the two records of a call and reports the heap memory
// per key and the log size per call.
func BenchmarkApply(b *testing.B) {
	j := &Journaler{}
	j.init()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	size := 0
	b.ReportAllocs()
	n := 0
	for b.Loop() {
		id := fmt.Sprint("id-", n)
		key := KeyOf("account", "bookings", id)
		for _, r := range []savoryloft.JournalRecord{
			{ID: id, Key: key, Request: key, State: savoryloft.JournalRecordStateStarted, Instance: "entry-1"},
			{ID: id, Key: key, State: savoryloft.JournalRecordStateFinished, StatusCode: 200, Body: "eyJTZWF0cyI6Mn0="},
		} {
			data, _ := json.Marshal(r)
			j.apply(data)
			size += len(data)
		}
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := min(n, maxEntries)
	b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(held), "heap-B/key")
	b.ReportMetric(float64(size)/float64(n), "log-B/call")
	runtime.KeepAlive(j)
}
