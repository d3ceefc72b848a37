// Package linker maintains persistent connections, called links, between the
// instances of a deployment. Instances use them to exchange control records, the
// age of their control data, upstream loads and usage counts.
//
// A deployment of up to 16 instances is a full mesh. In a larger one, two
// instances of each failure domain are hubs: hubs link to all other hubs, and
// the other instances link to the hubs of their failure domain, which bounds the
// number of links and the traffic of an instance that is not a hub. Hubs are the
// live members with the highest CPU limit; ties are broken by a hash of the
// name. Instances choose hubs independently and may temporarily disagree, so a
// link stays up as long as either side needs it.
//
// # Usage
//
//	l := &linker.Linker{Instance: "entry-1", Incarnation: incarnation, FailureDomain: "a",
//		Address: "10.0.0.1:7100", Seeds: seeds, Dial: dial, Logger: log, Source: source}
//	go l.Serve(ctx, listener)
//	go l.Run(ctx)
//	if l.IsReader() {
//		// This instance reads the platform's log and relays the records.
//	}
//
// # Ages
//
// A status echoes the sequence number of the last status received from the peer
// and carries the time since its receipt. The receiver adds this time to the send
// time of the echoed status. The sum is never later than the creation of the
// received status, and the receiver treats the ages as measured at that sum.
// Network delay or a suspended peer can therefore make data seem older, but never
// newer, than it is.
package linker

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"savoryloft.example/savoryloft"
)

const (
	defaultInterval  = 250 * time.Millisecond  // Between statuses on a link; bounds the age of relayed data.
	linkTimeout      = 1500 * time.Millisecond // Six statuses; a link with no frame for this long is closed.
	liveTimeout      = 1200 * time.Millisecond // A member with no status for this long is not considered live.
	memberTimeout    = 30 * time.Second        // A member with no status for this long is removed.
	maintainInterval = 100 * time.Millisecond
	expiryInterval   = time.Second // Between searches for expired members.
	minRedialBackoff = 200 * time.Millisecond
	maxRedialBackoff = 3 * time.Second
	dialTimeout      = time.Second
)

// Source provides the data that this instance sends to its peers and processes
// the data that it receives from them.
type Source interface {
	// FillStatus sets the fields of a status except Sequence, Echo, EchoAge, Child,
	// Instances, DomainInstances, LeavingUpstreams, Loads, Whole, Parts and Usage.
	FillStatus(s *savoryloft.LinkStatus)
	// Loads returns this instance's own loads.
	Loads() []savoryloft.LinkLoad
	// UsageSince returns the usage counts of a scope that have changed after a cursor,
	// and the next cursor. The first cursor is 0.
	UsageSince(cursor int, scope savoryloft.UsageScope) (counts []savoryloft.UsageBatch, next int)
	// RegistryState returns the state of this instance's copy of the registry.
	RegistryState() savoryloft.RegistryState
	// RecordsSince returns the control records that an instance may lack that has the
	// given configuration version and the registry up to the given position, which is -1
	// for all of it.
	RecordsSince(version, registryRead int) []savoryloft.ControlRecord
	// ApplyRecords applies control records received from a peer.
	ApplyRecords(peer string, records []savoryloft.ControlRecord)
	// MergeUsage merges usage counts received from a peer. relay is whether this
	// instance has to relay them to other hubs.
	MergeUsage(counts []savoryloft.UsageBatch, relay bool)
	// ApplyStatus processes a status received from a peer. registry is the peer's copy of
	// the registry, or nil if its build does not send it. asOf is the local uptime
	// to which the ages in the status are relative, or 0 if the send time of the
	// echoed status is not stored; see Ages in the package documentation.
	ApplyStatus(peer string, s *savoryloft.LinkStatus, registry *savoryloft.RegistryState, asOf time.Duration)
	// MergeParts stores which prompt parts upstreams have cached and returns the
	// entries that should be relayed to other peers.
	MergeParts(parts []savoryloft.HeldPart) []savoryloft.HeldPart
	// LeavingSince returns the upstreams that became known to leave after a cursor,
	// and the next cursor. The first cursor is 0.
	LeavingSince(cursor int) (list []savoryloft.LeavingUpstream, next int)
	// MergeLeaving stores which upstreams leave according to a peer.
	MergeLeaving(list []savoryloft.LeavingUpstream)
	// DutyFacts returns the records of the duties topic that a hub is sent when a link
	// to it comes up.
	DutyFacts() savoryloft.DutyFacts
	// LearnDuties stores the records of the duties topic that a peer knows.
	LearnDuties(f savoryloft.DutyFacts)
	// Evacuations returns the records of the evacuations that are known, for a peer whose
	// link comes up.
	Evacuations() []savoryloft.ControlRecord
	// Detours returns announcements of instances that take requests of others, for one link.
	Detours() []savoryloft.Detour
	// MergeDetours takes over such announcements of a peer.
	MergeDetours(list []savoryloft.Detour)
	// Suspicions returns what is known about prompt parts that crash upstreams, for a
	// peer whose link comes up.
	Suspicions() savoryloft.Suspicions
	// MergeSuspicions stores what a peer has found out about prompt parts.
	MergeSuspicions(peer string, s savoryloft.Suspicions)
	// Limits returns the limits of upstreams that are known, for a peer whose link comes
	// up.
	Limits() []savoryloft.UpstreamLimit
	// HandleLimits processes limits, and requests and replies for tokens, from a peer.
	HandleLimits(peer string, e savoryloft.LimitExchange)
	// Origins returns where streams began, for a peer whose link comes up. The log need
	// not hold those in begun.
	Origins() (o savoryloft.StreamOrigins, begun []savoryloft.OriginBatch)
	// MergeOrigins processes where streams began, and what is asked, from a peer.
	MergeOrigins(peer string, o savoryloft.StreamOrigins)
	// MergeBegun processes where streams began that the log need not hold.
	MergeBegun(begun []savoryloft.OriginBatch)
	// LoadsChanged is called when the result of PeerLoads may have changed.
	LoadsChanged()
}

// Linker maintains the links of this instance. Set the exported fields before
// calling Serve and Run.
type Linker struct {
	Instance      string
	Incarnation   int
	FailureDomain string
	Address       string        // At which peers dial this instance.
	CPUMillicores int           // CPU limit of this instance in millicores.
	Seeds         []string      // Addresses to dial while there is no link or no known member.
	Interval      time.Duration // Between statuses; 250 ms if zero.
	Dial          func(ctx context.Context, address string) (net.Conn, error)
	Logger        logr.Logger
	Source        Source

	sentBytes     atomic.Int64
	receivedBytes atomic.Int64

	mu             sync.Mutex
	topology       topology
	members        map[string]*member
	totalLoads     loadSums                 // Of all peers.
	childLoads     loadSums                 // Of the instances that rely on this one to relay their loads.
	recentParts    []timedPart              // Parts that were queued lately, for links that come up.
	expiredAt      time.Duration            // Uptime of the last search for expired members.
	lost           map[string]time.Duration // Uptimes of the last statuses of removed members that may still serve, by name.
	registrations  map[string]registration  // By instance.
	expired        map[string]int           // Incarnations of the members that were removed after memberTimeout.
	rejected       map[string]bool          // Peers whose protocol was found to differ, to log each only once.
	leaderSeenAt   time.Duration            // Latest uptime at which another instance is known to have held the lease; 0 if never.
	seeds          map[string]*dialState    // By address.
	links          map[string]*link         // By instance.
	knownInstances int                      // Instances that may send requests to upstreams; see updateKnownInstances.
	knownAt        time.Duration            // Uptime of the last time that there were as many.
	stopped        bool                     // Run waits for the links, and no further ones start.
	wg             sync.WaitGroup
	once           sync.Once
}

func (l *Linker) init() {
	l.once.Do(func() {
		l.members = map[string]*member{}
		l.links = map[string]*link{}
		l.totalLoads, l.childLoads = loadSums{}, loadSums{}
		l.expired, l.rejected = map[string]int{}, map[string]bool{}
		l.lost, l.registrations = map[string]time.Duration{}, map[string]registration{}
		l.seeds = map[string]*dialState{}
		for _, s := range l.Seeds {
			if s != l.Address {
				l.seeds[s] = &dialState{}
			}
		}
		if l.Interval == 0 {
			l.Interval = defaultInterval
		}
	})
}

// greeting returns the greeting of this instance.
func (l *Linker) greeting() savoryloft.LinkGreeting {
	return savoryloft.LinkGreeting{
		Instance: l.Instance, Incarnation: l.Incarnation, FailureDomain: l.FailureDomain, Address: l.Address,
		Power: l.CPUMillicores, Protocol: protocol,
	}
}

// Bytes returns the number of bytes sent and received on all links.
func (l *Linker) Bytes() (sent, received int64) { return l.sentBytes.Load(), l.receivedBytes.Load() }

// Serve accepts links until ctx ends. It returns the listener's error if
// accepting fails earlier.
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
		l.serveLink(ctx, conn)
	}
}

// serveLink runs the link on a connection that a peer has opened, unless Run has ended.
func (l *Linker) serveLink(ctx context.Context, conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		_ = conn.Close()
		return
	}
	l.wg.Go(func() { l.runLink(ctx, conn, false) })
}

// Run dials the members that this instance needs links to until ctx ends, then
// waits for all dial attempts and links to end. It always returns nil.
func (l *Linker) Run(ctx context.Context) error {
	l.init()
	for ctx.Err() == nil {
		savoryloft.Sleep(ctx, maintainInterval)
		l.maintain(ctx)
	}
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	l.wg.Wait()
	return nil
}

// maintain dials members that are due, removes expired members and closes links
// that are no longer needed. It dials seeds only while there is no link or no
// known member.
func (l *Linker) maintain(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	if len(l.links) == 0 || len(l.members) == 0 {
		for address, d := range l.seeds {
			l.dialIfDue(ctx, address, d, now)
		}
	}
	if now-l.expiredAt > expiryInterval {
		l.expiredAt = now
		l.removeExpiredMembers(now)
		l.updateKnownInstances(l.currentTopology(now), now)
	}
	l.pruneLinks(now)
	for name := range l.currentTopology(now).hubs { // Others are never dialed.
		if m := l.members[name]; m != nil && l.links[name] == nil && l.shouldDial(name, m, now) {
			l.dialIfDue(ctx, m.greeting.Address, &m.dialState, now)
		}
	}
}

// removeExpiredMembers removes the members that have been silent for
// memberTimeout. The caller holds the lock.
func (l *Linker) removeExpiredMembers(now time.Duration) {
	for name, m := range l.members {
		if now-max(m.lastStatusAt, m.addedAt) > memberTimeout {
			delete(l.members, name)
			l.lose(m)
			l.expired[name] = max(l.expired[name], m.greeting.Incarnation)
			l.topology.stale = true
		}
	}
}

func (l *Linker) dialIfDue(ctx context.Context, address string, d *dialState, now time.Duration) {
	if d.dialing || now < d.nextAttempt {
		return
	}
	d.dialing = true
	l.wg.Go(func() {
		dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := l.Dial(dialCtx, address)
		cancel()
		if err == nil {
			l.finishDial(d, true)
			l.runLink(ctx, conn, true)
			return
		}
		l.finishDial(d, false)
	})
}

func (l *Linker) finishDial(d *dialState, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.dialing = false
	d.backoff = min(max(2*d.backoff, minRedialBackoff), maxRedialBackoff)
	if ok {
		d.backoff = minRedialBackoff
	}
	d.nextAttempt = savoryloft.Uptime() + d.backoff
}

// LeaderAge returns the time since another instance was last known to hold the
// lease. ok is false if none was.
func (l *Linker) LeaderAge() (age time.Duration, ok bool) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return savoryloft.Uptime() - l.leaderSeenAt, l.leaderSeenAt > 0
}

// BroadcastRecords sends records to the peers. from is the peer that sent them, or
// empty if this instance read them from the log.
//
// Configurations are large and hubs may have little bandwidth, so instances avoid
// sending records that a peer already has: only hubs relay records received from
// a peer, and only readers relay records from one hub to another, in case those
// two hubs cannot reach each other.
func (l *Linker) BroadcastRecords(records []savoryloft.ControlRecord, from string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	if from != "" && (t.mesh || !t.hub) {
		return
	}
	for name, k := range l.links {
		if name == from || t.hubs[from] && t.hubs[name] && t.readerRank >= readerCount {
			continue
		}
		k.send(savoryloft.LinkFrame{Records: records})
	}
}

// BroadcastDuties sends records of the duties topic to the hubs, which are the
// instances that may act on them.
func (l *Linker) BroadcastDuties(f savoryloft.DutyFacts) {
	l.sendToHubs(savoryloft.LinkFrame{Duties: &f})
}

// sendToHubs sends a frame on all links to hubs.
func (l *Linker) sendToHubs(f savoryloft.LinkFrame) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.currentTopology(savoryloft.Uptime())
	for name, k := range l.links {
		if t.hubs[name] {
			k.send(f)
		}
	}
}

// BroadcastSuspicions sends what is known about prompt parts on all links except the
// one to the peer that it was received from. Instances send only what is new to them,
// so each receives it once on each link.
func (l *Linker) BroadcastSuspicions(s savoryloft.Suspicions, from string) {
	l.sendToAll(savoryloft.LinkFrame{Suspicions: &s}, from)
}

// BroadcastEvacuations sends the records of evacuations on all links except the one to the
// peer that they were received from. Instances pass them on only if one has started or
// ended, and send all of them when a link comes up, so that none depends on one path.
func (l *Linker) BroadcastEvacuations(records []savoryloft.ControlRecord, from string) {
	l.sendToAll(savoryloft.LinkFrame{Records: records}, from)
}

// BroadcastDetours sends announcements of instances that take requests of others on all
// links, different ones on each, so that the requests spread.
func (l *Linker) BroadcastDetours() {
	l.init()
	l.mu.Lock()
	links := slices.Collect(maps.Values(l.links))
	l.mu.Unlock()
	for _, k := range links {
		if list := l.Source.Detours(); len(list) > 0 {
			k.send(savoryloft.LinkFrame{Detours: list})
		}
	}
}

// sendToAll sends a frame on all links except the one to a peer.
func (l *Linker) sendToAll(f savoryloft.LinkFrame, except string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, k := range l.links {
		if name != except {
			k.send(f)
		}
	}
}

// AddSeeds adds addresses to dial while there is no link or no known member.
func (l *Linker) AddSeeds(addresses []string) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range addresses {
		if a != l.Address && l.seeds[a] == nil {
			l.seeds[a] = &dialState{}
		}
	}
}

// InMesh reports whether the deployment is a full mesh, in which only the
// instance that read a record has to send it.
func (l *Linker) InMesh() bool {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.currentTopology(savoryloft.Uptime()).mesh
}

// BroadcastStatus sends a status on all links immediately.
func (l *Linker) BroadcastStatus() {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.links {
		k.requestStatus()
	}
}

// BroadcastUpdate sends the peers changed loads and newly cached prompt parts. In a
// mesh they are sent after a short coalescing delay. In a larger deployment, where
// an update would pass through hubs to all instances, they are sent with the next
// status.
func (l *Linker) BroadcastUpdate(parts []savoryloft.HeldPart) {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queueParts(parts, nil)
	if !l.currentTopology(savoryloft.Uptime()).mesh {
		return
	}
	for _, k := range l.links {
		k.requestUpdate()
	}
}

// PeerLoads returns the sum of the loads of all other instances, by upstream.
func (l *Linker) PeerLoads() map[string]savoryloft.LinkLoad {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.totalLoads)
}

// LoadDelay returns the expected propagation delay of other instances' loads. In a
// mesh it is zero, because the short coalescing delay is ignored. Otherwise loads
// travel with the statuses, so it is half of the status interval times the number
// of links on the longest path.
func (l *Linker) LoadDelay() time.Duration {
	if l.InMesh() {
		return 0
	}
	return maxLoadHops * l.Interval / 2
}

// maxLoadHops is the number of links between two instances that are not hubs and
// are in different failure domains.
const maxLoadHops = 3

// ClockOffset returns the median offset of the wall clocks of this instance and
// its live linked peers from this instance's wall clock. The median tolerates
// wrong clocks at a minority of the instances.
func (l *Linker) ClockOffset() time.Duration {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := savoryloft.Uptime()
	offsets := []time.Duration{0}
	for name, k := range l.links {
		if m := l.members[name]; m != nil && m.isLive(now) && k.hasClockOffset {
			offsets = append(offsets, k.clockOffset+k.clockStep())
		}
	}
	slices.Sort(offsets)
	return offsets[len(offsets)/2]
}
