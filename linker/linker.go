// Package linker keeps links between the instances of a deployment. Over them
// instances exchange control records, the age of what they know, loads on
// upstreams and usage counts.
//
// In a small deployment each instance links to each other one. In a larger one
// two instances of each failure domain are hubs: hubs link to all hubs, and the
// other instances to the hubs of their failure domain, so that links and bytes
// at one instance do not grow with the deployment. Hubs are the live members
// that may use the most processor time, by hash among equals, and need no
// agreement: a link that only one side wants is kept all the same.
//
// # Usage
//
//	l := &linker.Linker{Instance: "entry-1", Incarnation: boot, FailureDomain: "a",
//		Address: "10.0.0.1:7100", Seeds: seeds, Dial: dial, Logger: log, Source: parts}
//	go l.Serve(ctx, listener)
//	go l.Run(ctx)
//	if l.IsReader() {
//		// This instance reads the platform's log for the others.
//	}
//
// A status echoes the sequence of the last one that came from the peer, and says
// how long ago that was. So an age that a peer states is counted from when this
// instance sent that last one and the peer's time since it came, and neither
// delay on the way nor a suspended peer can make it seem younger than it is.
package linker

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"savoryloft.example/savoryloft"
)

const (
	defaultInterval = 250 * time.Millisecond  // Between statuses on a link; bounds the age of relayed knowledge.
	silenceLimit    = 1500 * time.Millisecond // Six statuses; a link without a frame for so long is dropped.
	liveLimit       = 1200 * time.Millisecond // A member without a status for so long is not counted on.
	forgetAfter     = 30 * time.Second        // A member that can not be reached for so long is forgotten.
	maintainEvery   = 100 * time.Millisecond
	leastRedial     = 200 * time.Millisecond
	mostRedial      = 3 * time.Second
	dialTimeout     = time.Second
)

// Source provides what statuses tell and takes what they told.
type Source interface {
	// FillStatus sets all fields of a status but Sequence, Echo, Child, Loads and Usage.
	FillStatus(s *savoryloft.LinkStatus)
	// Loads returns this instance's own loads.
	Loads() []savoryloft.LinkLoad
	// UsageSince returns the counts that exceed those in sent, and adds them to it.
	// Unless all is set, only this instance's own counts are wanted.
	UsageSince(sent map[savoryloft.UsageCount]int, all bool) []savoryloft.UsageCount
	// RecordsSince returns the control records that an instance lacks which has a
	// version of the configuration and the registry up to an offset.
	RecordsSince(version, registryRead int) []savoryloft.ControlRecord
	// TakeRecords, TakeUsage and TakeStatus take in what a peer sent. asOf is the
	// uptime at which this instance sent what the peer's status answers; it is 0
	// when the status answers nothing yet.
	TakeRecords(peer string, records []savoryloft.ControlRecord)
	TakeUsage(counts []savoryloft.UsageCount)
	TakeStatus(peer string, s *savoryloft.LinkStatus, asOf time.Duration)
	// TakeParts takes in prompt parts that upstreams hold, and returns those that
	// were not known.
	TakeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart
	// LoadsChanged says that PeerLoads has changed.
	LoadsChanged()
}

// Linker links this instance to the others. Set the exported fields before
// Serve and Run.
type Linker struct {
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string
	Power         int // Processor time that this instance may use, in thousandths of a core.
	Seeds         []string
	Interval      time.Duration // Between statuses; 250 ms when zero.
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Logger        logr.Logger
	Source        Source

	sent     atomic.Int64
	received atomic.Int64

	mu       sync.Mutex
	topology topology
	members  map[string]*member
	total    map[string]savoryloft.LinkLoad // Loads of all peers together.
	totalAt  time.Duration                  // Uptime at which total was worked out.
	leaderAt time.Duration                  // Uptime at which another instance was known to hold the lease; 0 when never.
	seeds    map[string]*dialling           // By address.
	links    map[string]*link               // By instance.
	group    sync.WaitGroup
	once     sync.Once
}

func (l *Linker) init() {
	l.once.Do(func() {
		l.members = map[string]*member{}
		l.links = map[string]*link{}
		l.seeds = map[string]*dialling{}
		for _, s := range l.Seeds {
			if s != l.Address {
				l.seeds[s] = &dialling{}
			}
		}
		if l.Interval == 0 {
			l.Interval = defaultInterval
		}
	})
}

// greeting returns what this instance says of itself.
func (l *Linker) greeting() savoryloft.LinkGreeting {
	return savoryloft.LinkGreeting{
		Instance: l.Instance, Incarnation: l.Incarnation, FailureDomain: l.FailureDomain, Address: l.Address,
		Power: l.Power,
	}
}

// Bytes returns the bytes sent and received on links so far.
func (l *Linker) Bytes() (sent, received int64) { return l.sent.Load(), l.received.Load() }

// Serve accepts links until ctx ends.
func (l *Linker) Serve(ctx context.Context, listener net.Listener) error {
	l.init()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		conn, err := listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		l.group.Go(func() { l.keep(ctx, conn, false) })
	}
}

// Run dials the members that this instance wants links to, until ctx ends.
func (l *Linker) Run(ctx context.Context) error {
	l.init()
	t := time.NewTicker(maintainEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			l.group.Wait()
			return nil
		case <-t.C:
			l.maintain(ctx)
		}
	}
}

// maintain dials what is due and forgets members that are gone for long.
func (l *Linker) maintain(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	if len(l.links) == 0 || len(l.members) == 0 {
		for address, d := range l.seeds {
			l.dialIfDue(ctx, address, d, now)
		}
	}
	l.prune(now)
	for name, m := range l.members {
		if now-max(m.heard, m.known) > forgetAfter {
			delete(l.members, name)
			l.topology.stale = true
			continue
		}
		if l.links[name] == nil && l.wants(name, m, now) {
			l.dialIfDue(ctx, m.greeting.Address, &m.dialling, now)
		}
	}
}

func (l *Linker) dialIfDue(ctx context.Context, address string, d *dialling, now time.Duration) {
	if d.busy || now < d.next {
		return
	}
	d.busy = true
	l.group.Go(func() {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := l.Dial(dialCtx, address)
		cancel()
		if err == nil {
			l.finishDial(d, true)
			l.keep(ctx, conn, true)
			return
		}
		l.finishDial(d, false)
	})
}

func (l *Linker) finishDial(d *dialling, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.busy = false
	d.backoff = min(max(2*d.backoff, leastRedial), mostRedial)
	if ok {
		d.backoff = leastRedial
	}
	d.next = savoryloft.Uptime() + d.backoff
}

// LeaderAge returns the time since another instance was known to hold the
// lease. ok is false when none was.
func (l *Linker) LeaderAge() (age time.Duration, ok bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return savoryloft.Uptime() - l.leaderAt, l.leaderAt > 0
}

// Send passes records on that this instance has read itself, or that came from a
// peer. Configurations are large, and hubs may have little bandwidth, so nobody
// sends what the other side has anyway: only hubs pass on what came from a peer,
// and of what came from a hub only the readers tell other hubs, for the case that
// the two can not reach each other.
func (l *Linker) Send(records []savoryloft.ControlRecord, from string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.arrange(savoryloft.Uptime())
	if from != "" && (t.mesh || !t.hub) {
		return
	}
	for name, k := range l.links {
		if name == from || t.hubs[from] && t.hubs[name] && t.position >= readers {
			continue
		}
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// AddSeeds adds addresses of instances that may be up.
func (l *Linker) AddSeeds(addresses []string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a != l.Address && l.seeds[a] == nil {
			l.seeds[a] = &dialling{}
		}
	}
}

// InMesh tells whether all instances link to each other, so that only the one
// that read a record has to pass it on.
func (l *Linker) InMesh() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.arrange(savoryloft.Uptime()).mesh
}

// Flush sends a status on all links at once.
func (l *Linker) Flush() {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.wake()
	}
}

// Update tells the peers of loads that have changed much, and of prompt parts
// that an upstream has got.
func (l *Linker) Update(parts []savoryloft.HeldPart) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.spreadParts(parts, nil)
	for _, k := range l.links {
		k.urge()
	}
}

// spreadParts queues parts for all links but one. The caller holds the lock.
func (l *Linker) spreadParts(parts []savoryloft.HeldPart, except *link) {
	if len(parts) == 0 {
		return
	}
	for _, k := range l.links {
		if k != except {
			k.parts = append(k.parts, parts...)
		}
	}
}

// PeerLoads returns the loads of all other instances together, by upstream.
func (l *Linker) PeerLoads() map[string]savoryloft.LinkLoad {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sumLoads(nil)
}

// LoadDelay returns the time that a peer's loads may take to get here: none in a
// mesh, where each tells at once, and a pause at each link otherwise.
func (l *Linker) LoadDelay() time.Duration {
	if l.InMesh() {
		return 0
	}
	return hopsBetween * hubUpdatePause
}

// hopsBetween is the links between two instances that are no hubs.
const hopsBetween = 3

// sumLoads adds up what peers sent, but for one of them. The caller holds the lock.
func (l *Linker) sumLoads(except *link) map[string]savoryloft.LinkLoad {
	sum := map[string]savoryloft.LinkLoad{}
	for _, k := range l.links {
		if k == except {
			continue
		}
		for _, load := range k.loads {
			addLoad(sum, load)
		}
	}
	return sum
}

func addLoad(sum map[string]savoryloft.LinkLoad, load savoryloft.LinkLoad) {
	s := sum[load.Upstream]
	s.Upstream = load.Upstream
	s.Running += load.Running
	s.Prefill += load.Prefill
	s.Tokens += load.Tokens
	sum[load.Upstream] = s
}

// ClockOffset returns by how much the time of day of the median instance is
// ahead of this one's. Clocks may be stepped at a minority of the instances.
func (l *Linker) ClockOffset() time.Duration {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	offsets := []time.Duration{0}
	for name, k := range l.links {
		if m := l.members[name]; m != nil && m.live(now) && k.hasOffset {
			offsets = append(offsets, k.offset+k.wallShift())
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
