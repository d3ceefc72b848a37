package soaker

import (
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"savoryloft.example/savoryloft/platform/standin"
)

const (
	crashingBody     = "crash " // And the route: body of a request that comes again and crashes engines.
	crashingRuns     = 5        // After which it must no longer reach engines. Proxies hide some crashes.
	crashingBound    = 3 * time.Second
	crashingArrivals = 3 // That may reach them nevertheless, from instances that were not disturbed.
)

// crashesEngines reports whether a request crashes the engine that runs it.
func crashesEngines(r *http.Request) bool {
	body, _ := io.ReadAll(r.Body)
	return standin.HasPart(r, harmfulPart) || strings.HasPrefix(string(body), crashingBody)
}

// checkCrashingRequests requires that each request that crashes engines no longer reaches
// them some time after it has. Instances of another build may not tell which request ran.
func (s *soakRun) checkCrashingRequests() {
	runs := map[string][]time.Time{} // By body.
	for _, e := range s.everyEngine {
		for _, r := range e.Requests() {
			if sent := s.requests[r.ID]; strings.HasPrefix(r.Body, crashingBody) && r.Started && sent != nil && !sent.instance.other {
				runs[r.Body] = append(runs[r.Body], r.At)
			}
		}
	}
	for body, times := range runs {
		slices.SortFunc(times, time.Time.Compare)
		s.t.Logf("%q ran %d times", body, len(times))
		if len(times) < crashingRuns {
			continue
		}
		from, late := times[crashingRuns-1].Add(crashingBound), 0
		for _, e := range s.everyEngine {
			for _, r := range e.Requests() {
				if r.Body == body && r.At.After(from) && !s.isExcused(r.ID, r.At) {
					late++
				}
			}
		}
		require.LessOrEqual(s.t, late, crashingArrivals, "arrivals of %q", body)
	}
}
