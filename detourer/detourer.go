// Package detourer decides when an instance has lost its way to the upstreams, and knows
// the instances through which it can send requests on meanwhile.
//
// A partition between an instance and all upstreams leaves its clients, its peers and the
// log within reach. An instance therefore counts the upstreams that it fails to reach until
// it hears from one again. Once there are several, it is cut off: it sends the requests that
// it accepts to other instances and dials upstreams only to find out when the partition
// ends.
//
// Each instance announces the address at which it takes such requests, with a token that
// they have to bear, on its links. Hubs pass a sample of what they know on, so that each
// instance knows some of other failure domains, however many instances there are: those of
// its own may be cut off as well.
//
// # Usage
//
//	d := &detourer.Detourer{Instance: "entry-1", Incarnation: incarnation, Address: "10.0.0.1:7340",
//		Upstreams: upstreams, Dial: dial, Broadcast: links.BroadcastDetours, Logger: log, Metrics: registry}
//	go d.Run(ctx)
//	if d.CutOff() {
//		target, ok := d.Choose(tried)
//	}
package detourer

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rcrowley/go-metrics"

	"savoryloft.example/savoryloft"
)

const (
	// cutOffFailures is the number of upstreams without a sign of life in between that an
	// instance fails to reach before it counts as cut off.
	cutOffFailures  = 3
	probeInterval   = 200 * time.Millisecond // Between probes of upstreams while cut off.
	probeTimeout    = 400 * time.Millisecond
	probedUpstreams = 2 // At a time.
	// silenceLimit is the time after a request without a sign of life of any upstream from
	// which on upstreams are probed. Connections that hang fail only after seconds.
	silenceLimit     = 800 * time.Millisecond
	announceInterval = 10 * time.Second // Between announcements on the links.
	targetTTL        = 45 * time.Second // Of an announcement, since its instance made it.
	maxSample        = 3                // Announcements that a hub passes on at a time.
	failurePause     = 2 * time.Second  // For which a target that could not take a request is not chosen.
	tokenBytes       = 16
)

// Detourer keeps the state of one instance. Set the exported fields before Run.
type Detourer struct {
	Instance    string
	Incarnation int
	Address     string // At which this instance takes requests of others; empty if it takes none.
	// Upstreams returns the registered upstreams of all services.
	Upstreams func() []savoryloft.RegisteredUpstream
	Dial      func(ctx context.Context, address string) (net.Conn, error)
	// PassesOn reports whether this instance passes on what others announce.
	PassesOn func() bool
	// Accepting reports whether this instance may announce itself.
	Accepting func() bool
	// Broadcast sends Announcements on all links.
	Broadcast func()
	Logger    logr.Logger
	Metrics   metrics.Registry

	mu          sync.Mutex
	token       string
	failed      map[string]bool // Upstreams that could not be reached since the last sign of life of any.
	cutOff      bool
	cutOffAt    time.Duration // Uptime.
	connectedAt time.Duration // Uptime of the last new connection to an upstream; 0 if there was none.
	sentAt      time.Duration // Uptime of the first request since the last sign of life; 0 if there is none.
	targets     map[string]*target
	once        sync.Once
}

// target is another instance that takes requests.
type target struct {
	savoryloft.Detour
	madeAt      time.Duration // Uptime of the announcement.
	pausedUntil time.Duration // Uptime until which it is not chosen.
}

func (d *Detourer) init() {
	d.once.Do(func() {
		var b [tokenBytes]byte
		_, _ = rand.Read(b[:]) // It never fails.
		d.token = base64.RawURLEncoding.EncodeToString(b[:])
		d.failed, d.targets = map[string]bool{}, map[string]*target{}
	})
}

// Authorize reports whether a request bears the token of this instance.
func (d *Detourer) Authorize(token string) bool {
	d.init()
	return subtle.ConstantTimeCompare([]byte(token), []byte(d.token)) == 1
}

// CutOff reports whether this instance has lost its way to the upstreams.
func (d *Detourer) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// ObserveConnection records that an upstream could be connected to.
func (d *Detourer) ObserveConnection() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connectedAt = savoryloft.Uptime()
}

// ConnectedLately reports whether upstreams could be connected to within the last second.
// While old connections live on and new ones are refused there is contact all the time.
func (d *Detourer) ConnectedLately() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connectedAt > 0 && savoryloft.Uptime()-d.connectedAt < time.Second
}

// ObserveSend records that a request is sent to an upstream.
func (d *Detourer) ObserveSend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.sentAt == 0 {
		d.sentAt = savoryloft.Uptime()
	}
}

// silent reports whether the upstreams have been silent since a request for too long.
func (d *Detourer) silent() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.sentAt > 0 && savoryloft.Uptime()-d.sentAt > silenceLimit
}

// ObserveContact records a sign of life of an upstream.
func (d *Detourer) ObserveContact() {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.failed)
	d.sentAt = 0
	if d.cutOff {
		d.cutOff = false
		d.Logger.Info("an upstream can be reached again", "after", (savoryloft.Uptime() - d.cutOffAt).Milliseconds())
	}
}

// ObserveFailure records that an upstream could not be reached, or that the connection to
// it broke before it responded.
func (d *Detourer) ObserveFailure(upstream string) {
	d.init()
	known := len(d.Upstreams())
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed[upstream] = true
	if d.cutOff || len(d.failed) < min(cutOffFailures, known) {
		return
	}
	d.cutOff, d.cutOffAt = true, savoryloft.Uptime()
	metrics.GetOrRegisterCounter("cut_off_total", d.Metrics).Inc(1)
	d.Logger.Info("no upstream can be reached; requests are sent on through other instances", "failed", len(d.failed), "upstreams", known)
}

// Choose returns an instance to send a request to that is not among those tried.
func (d *Detourer) Choose(tried map[string]bool) (target savoryloft.Detour, ok bool) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now, seen := savoryloft.Uptime(), 0
	for _, t := range d.targets {
		if tried[t.Instance] || now-t.madeAt > targetTTL || now < t.pausedUntil {
			continue
		}
		if seen++; mathrand.IntN(seen) == 0 {
			target = t.Detour
		}
	}
	return target, seen > 0
}

// Pause keeps requests away from an instance that could not take one.
func (d *Detourer) Pause(instance string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[instance]; t != nil {
		t.pausedUntil = savoryloft.Uptime() + failurePause
	}
}

// Announcements returns what to announce on a link: this instance or, if it passes on what
// others announce, a sample of these and itself.
func (d *Detourer) Announcements() []savoryloft.Detour {
	d.init()
	var list []savoryloft.Detour
	if d.Address != "" && d.Accepting() {
		list = append(list, savoryloft.Detour{Instance: d.Instance, Incarnation: d.Incarnation, Address: d.Address, Token: d.token})
	}
	if !d.PassesOn() {
		return list
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := savoryloft.Uptime()
	for _, t := range d.targets {
		if age := now - t.madeAt; age < targetTTL {
			t.Age = int(age / time.Millisecond)
			list = append(list, t.Detour)
		}
	}
	mathrand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxSample)]
}

// Merge takes over what a peer announces.
func (d *Detourer) Merge(list []savoryloft.Detour) {
	d.init()
	d.mu.Lock()
	defer d.mu.Unlock()
	now := savoryloft.Uptime()
	for _, a := range list {
		madeAt := now - time.Duration(a.Age)*time.Millisecond
		old := d.targets[a.Instance]
		if a.Instance == d.Instance || now-madeAt > targetTTL ||
			old != nil && (old.Incarnation > a.Incarnation || old.Incarnation == a.Incarnation && old.madeAt >= madeAt) {
			continue
		}
		t := &target{Detour: a, madeAt: madeAt}
		if old != nil && old.Incarnation == a.Incarnation {
			t.pausedUntil = old.pausedUntil
		}
		d.targets[a.Instance] = t
	}
}

// Run announces this instance, and probes the upstreams while it is cut off, until ctx ends.
// It always returns nil.
func (d *Detourer) Run(ctx context.Context) error {
	d.init()
	for announced := time.Duration(0); ctx.Err() == nil; {
		savoryloft.Sleep(ctx, probeInterval)
		if now := savoryloft.Uptime(); now-announced >= announceInterval {
			announced = now
			d.prune(now)
			d.Broadcast()
		}
		switch {
		case d.CutOff():
			d.probe(ctx, probedUpstreams)
		case d.silent() && !d.probe(ctx, 1):
			d.probe(ctx, cutOffFailures)
		}
	}
	return nil
}

func (d *Detourer) prune(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, t := range d.targets {
		if now-t.madeAt > targetTTL {
			delete(d.targets, name)
		}
	}
}

// probe dials n upstreams and reports whether one can be reached.
func (d *Detourer) probe(ctx context.Context, n int) bool {
	upstreams := slices.DeleteFunc(d.Upstreams(), func(u savoryloft.RegisteredUpstream) bool { return u.Draining })
	mathrand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reached atomic.Bool
	var group sync.WaitGroup
	for _, u := range upstreams[:min(n, len(upstreams))] {
		group.Go(func() {
			conn, err := d.Dial(ctx, u.Address)
			switch {
			case err == nil:
				_ = conn.Close()
				reached.Store(true)
				d.ObserveContact()
				cancel()
			case !reached.Load():
				d.ObserveFailure(u.ID)
			}
		})
	}
	group.Wait()
	return reached.Load()
}
