// Package detourer decides when an instance has lost its way to the upstreams, and knows
// the instances through which it can send requests on meanwhile.
//
// A partition between an instance and all upstreams leaves its clients, its peers and the
// log within reach. An instance therefore counts the upstreams that it fails to reach until
// it hears from one again. Once there are several, it dials others, since those may have
// ended. If it reaches none it is cut off: it sends the requests that it accepts to other
// instances and dials upstreams only to find out when the partition ends.
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
	// instance fails to reach before it probes others, and the number of these.
	cutOffFailures  = 3
	connectionLife  = 500 * time.Millisecond // For which a connection shows that upstreams can be connected to.
	probeLife       = 300 * time.Millisecond // Of the result of a probe that has failed.
	probeInterval   = 200 * time.Millisecond // Between probes of upstreams while cut off.
	probeTimeout    = 400 * time.Millisecond
	probedUpstreams = 2 // At a time.
	// silenceLimit is the time after a request without a sign of life of any upstream from
	// which on upstreams are probed. Connections that hang fail only after seconds.
	silenceLimit     = 800 * time.Millisecond
	announceInterval = 20 * time.Second // Between announcements on the links.
	targetTTL        = 90 * time.Second // Of an announcement, since its instance made it.
	maxPassedAge     = targetTTL / 3    // Of announcements that are passed on, so that they hold for a while there.
	maxSample        = 2                // Announcements that a hub passes on at a time.
	// RefusalPause is the time for which a target is not chosen that did not take a request.
	RefusalPause = 2 * time.Second
	// SilencePause is the same for a target that could not be reached.
	SilencePause = 10 * time.Second
	tokenBytes   = 16
)

// Detourer keeps the state of one instance. Set the exported fields before Run.
type Detourer struct {
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string // At which this instance takes requests of others; empty if it takes none.
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

	mu            sync.Mutex
	token         string
	failed        map[string]bool // Upstreams that could not be reached since the last sign of life of any.
	cutOff        bool
	cutOffAt      time.Duration // Uptime.
	connectedAt   time.Duration // Uptime of the last new connection to an upstream; 0 if there was none.
	sentAt        time.Duration // Uptime of the first request since the last sign of life; 0 if there is none.
	probeFailedAt time.Duration // Uptime of the last probe that reached no upstream; 0 if there was none.
	targets       map[string]*target
	once          sync.Once
	suspect       chan struct{} // Receives when there are cutOffFailures.
	probing       sync.Mutex    // Held during a probe.
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
		d.suspect = make(chan struct{}, 1)
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

// connectedLately reports whether upstreams could be connected to just now.
// While old connections live on and new ones are refused there is contact all the time.
func (d *Detourer) connectedLately() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.connectedAt > 0 && savoryloft.Uptime()-d.connectedAt < connectionLife
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
	select {
	case d.suspect <- struct{}{}:
	default:
	}
}

// setCutOff records that no upstream can be reached.
func (d *Detourer) setCutOff() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cutOff {
		return
	}
	d.cutOff, d.cutOffAt = true, savoryloft.Uptime()
	metrics.GetOrRegisterCounter("cut_off_total", d.Metrics).Inc(1)
	d.Logger.Info("no upstream can be reached; requests are sent on through other instances", "failed", len(d.failed))
}

// CanConnect reports whether upstreams can be connected to. It probes some unless that is
// known.
func (d *Detourer) CanConnect(ctx context.Context) bool {
	d.init()
	d.probing.Lock()
	defer d.probing.Unlock()
	if d.connectedLately() {
		return true
	}
	d.mu.Lock()
	known := d.probeFailedAt > 0 && savoryloft.Uptime()-d.probeFailedAt < probeLife
	d.mu.Unlock()
	return !known && d.probe(ctx, cutOffFailures)
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

// Pause keeps requests away from an instance for a time.
func (d *Detourer) Pause(instance string, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[instance]; t != nil {
		t.pausedUntil = max(t.pausedUntil, savoryloft.Uptime()+pause)
	}
}

// Announcements returns what to announce on a link: this instance or, if it passes on what
// others announce, a sample of these and itself, with one of another failure domain.
func (d *Detourer) Announcements() []savoryloft.Detour {
	d.init()
	var list []savoryloft.Detour
	if d.Address != "" && d.Accepting() {
		list = append(list, savoryloft.Detour{Instance: d.Instance, Incarnation: d.Incarnation, FailureDomain: d.FailureDomain, Address: d.Address, Token: d.token})
	}
	if !d.PassesOn() {
		return list
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := savoryloft.Uptime()
	for _, t := range d.targets {
		if age := now - t.madeAt; age < maxPassedAge {
			t.Age = int(age / time.Millisecond)
			list = append(list, t.Detour)
		}
	}
	mathrand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	if i := slices.IndexFunc(list, func(a savoryloft.Detour) bool { return a.FailureDomain != d.FailureDomain }); i > 0 {
		list[0], list[i] = list[i], list[0]
	}
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
// It always returns nil. Instances that start together announce themselves at different times.
func (d *Detourer) Run(ctx context.Context) error {
	d.init()
	announced := savoryloft.Uptime() - time.Duration(mathrand.Float64()*float64(announceInterval))
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-d.suspect:
			if !d.confirm(ctx, cutOffFailures) {
				d.setCutOff()
			}
			continue
		case <-time.After(probeInterval):
		}
		if now := savoryloft.Uptime(); now-announced >= announceInterval {
			announced = now
			d.prune(now)
			d.Broadcast()
		}
		switch {
		case d.CutOff():
			d.confirm(ctx, probedUpstreams)
		case d.silent() && !d.confirm(ctx, 1) && !d.confirm(ctx, cutOffFailures):
			d.setCutOff()
		}
	}
	return nil
}

// confirm is probe, one at a time.
func (d *Detourer) confirm(ctx context.Context, n int) bool {
	d.probing.Lock()
	defer d.probing.Unlock()
	return d.probe(ctx, n)
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

// probe dials n upstreams and reports whether one can be reached. The caller holds probing.
func (d *Detourer) probe(ctx context.Context, n int) bool {
	upstreams := slices.DeleteFunc(d.Upstreams(), func(u savoryloft.RegisteredUpstream) bool { return u.Draining })
	mathrand.Shuffle(len(upstreams), func(i, j int) { upstreams[i], upstreams[j] = upstreams[j], upstreams[i] })
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reached atomic.Bool
	var group sync.WaitGroup
	for _, u := range upstreams[:min(n, len(upstreams))] {
		group.Go(func() {
			if conn, err := d.Dial(ctx, u.Address); err == nil {
				_ = conn.Close()
				reached.Store(true)
				d.ObserveConnection()
				d.ObserveContact()
				cancel()
			}
		})
	}
	group.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !reached.Load() {
		d.probeFailedAt = savoryloft.Uptime()
	}
	return reached.Load()
}
