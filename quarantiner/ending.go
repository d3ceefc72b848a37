package quarantiner

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	probeDelay   = 20 * time.Millisecond // Before each probe; a process that ends closes its connections one by one.
	probeCount   = 2
	probeTimeout = 400 * time.Millisecond
	probePause   = time.Second // After an upstream has accepted a probe, until the next one.
)

// incarnation is one process of an upstream.
type incarnation struct {
	upstream  string
	startedAt int // Unix ms; 0 if the registry does not hold it.
}

// probe is a check whether an upstream has ended.
type probe struct {
	broken []Broken
}

// Broken is a request whose connection broke before the response was complete.
type Broken struct {
	Request                   // Without the parts of its prompt if they are known to be harmless.
	Late     bool             // The upstream had responded for longer than StartingPeriod.
	OnProbed func(ended bool) // Called once, when it is known whether the upstream has ended. It must not block.

	silent bool // There was no response, rather than a broken connection.
}

// StartingPeriod is the time after the first event in which a prompt that crashes an
// upstream usually does so.
const StartingPeriod = 300 * time.Millisecond

// ObserveBroken records that the connection of a request broke. It probes, in the
// background, whether the upstream still accepts connections.
func (q *Quarantiner) ObserveBroken(u savoryloft.RegisteredUpstream, b Broken) {
	key := incarnation{u.ID, u.StartedAtMs}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.init()
	if time.Since(q.alive[key]) < probePause {
		q.keep(u, b.Request, false, time.Now())
		b.OnProbed(false)
		return
	}
	if p := q.probes[key]; p != nil {
		p.broken = append(p.broken, b)
		return
	}
	q.probes[key] = &probe{[]Broken{b}}
	go q.runProbe(u)
}

// runProbe probes an upstream and records that it has ended, if so.
func (q *Quarantiner) runProbe(u savoryloft.RegisteredUpstream) {
	key := incarnation{u.ID, u.StartedAtMs}
	ended := q.hasEnded(u.Address)
	now := time.Now()
	q.mu.Lock()
	p := q.probes[key]
	delete(q.probes, key)
	if !ended {
		q.alive[key] = now
		for _, b := range p.broken {
			q.keep(u, b.Request, false, now)
		}
		for k, at := range q.alive {
			if now.Sub(at) >= probePause {
				delete(q.alive, k)
			}
		}
	}
	q.mu.Unlock()
	for _, b := range p.broken {
		b.OnProbed(ended)
	}
	if !ended {
		return
	}
	q.Logger.Info("upstream has ended while it ran requests", "upstream", key.upstream, "started", key.startedAt,
		"address", u.Address, "requests", len(p.broken))
	metrics.GetOrRegisterCounter("upstreams_ended_total", q.Metrics).Inc(1)
	if c := encodeCrash(key, p.broken); len(c.Parts) > 0 {
		q.Merge(savoryloft.Suspicions{Crashes: []savoryloft.UpstreamCrash{c}}, "")
	}
}

// hasEnded reports whether nothing listens at an address. Only a refused connection
// proves that: no answer can also mean that the network is down.
func (q *Quarantiner) hasEnded(address string) bool {
	for range probeCount {
		time.Sleep(probeDelay)
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		conn, err := q.Dial(ctx, address)
		cancel()
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.Close()
	}
	return false
}
