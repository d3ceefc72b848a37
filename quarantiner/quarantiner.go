// Package quarantiner detects upstreams that end while they run requests.
//
// # Usage
//
//	q := &quarantiner.Quarantiner{Dial: pool.Dial, Logger: log}
//	q.ObserveBroken(upstream, parts, func() { ended.Add(1) })
package quarantiner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Quarantiner probes upstreams whose connections broke. Set the exported fields
// before the first call.
type Quarantiner struct {
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Logger logr.Logger

	mu     sync.Mutex
	probes map[incarnation]*probe
	alive  map[incarnation]time.Time // Upstreams that accepted a probe lately.
}

// init makes the maps. The caller holds the lock.
func (q *Quarantiner) init() {
	if q.probes == nil {
		q.probes, q.alive = map[incarnation]*probe{}, map[incarnation]time.Time{}
	}
}
